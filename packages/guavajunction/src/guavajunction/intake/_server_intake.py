"""Decides whether an instance may send a request to a backend server now."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.quarantine import BackendId

from . import _events as events
from ._cold_servers import USE_SECONDS, ColdServers
from ._limit_book import LimitBook
from ._server_paces import ServerPaces


class ReturnedServer(NamedTuple):
    """A backend server of a data centre whose evacuation has ended."""

    backend: BackendId
    service: str
    slots: int


class Turn(NamedTuple):
    """How one instance hands out the sends to a backend server."""

    rate: float
    """Requests a second."""
    first_share: float = 0.0
    """Part of the rate in the first second beside another instance that may use it."""


class _Question:
    """A question for one send, for one request."""

    def __init__(self, asker: str, asked_at: float) -> None:
        self.asker = asker
        self.asked_at = asked_at


class ServerIntake:
    """One instance's permissions to send to backend servers that have a rate.

    The rate of a backend server is the lowest of those that apply to it. A request
    that would go to a backend server with a rate is held for some milliseconds while
    the instance that hands out the sends is asked, and goes elsewhere if there is none.
    One question is open for each backend server at a time.
    """

    HOLD_SECONDS = 0.1
    """Time for which a request is held for an answer; instances are a few milliseconds
    apart."""
    VALID_SECONDS = 0.3
    """Time within which a granted send must be made."""
    UNANSWERED_SECONDS = 0.3
    """Pause after a question without an answer."""
    FIRST_PACE_SHARE = 0.5
    """Part of a pace that an instance hands out in the second in which it begins."""
    ACQUIRE_POLL_SECONDS = 0.02
    """Interval at which `acquire` looks for an answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.book = LimitBook()
        """The limits that backend servers have named."""
        self.cold = ColdServers(clock)
        """The backend servers that are cold."""
        self.paces = ServerPaces(clock)
        """The backend servers that ramp up."""
        self._questions: dict[BackendId, _Question] = {}
        self._asked_at: dict[BackendId, float] = {}
        self._granted_until: dict[BackendId, float] = {}
        self._ask_again_at: dict[BackendId, float] = {}
        self._acquired = 0
        self.ask: Callable[[BackendId], None] = lambda _: None
        """Asks for one send; the answer is passed to `on_answer`."""
        self.on_answered: Callable[[], None] = lambda: None
        """Called after each answer, as a held request may be sent or go elsewhere."""

    def rate(self, backend: BackendId) -> float | None:
        """Return the requests a second that a backend server takes; None for any."""
        rates = (
            self.book.rate(backend),
            self.cold.rate(backend),
            self.paces.rate(backend),
        )
        return min((rate for rate in rates if rate is not None), default=None)

    def turn(self, backend: BackendId, cold_rate: float | None) -> Turn | None:
        """Return how to hand out the sends to a backend server; None without a rate.

        Args:
            backend: The backend server.
            cold_rate: Its rate while it is cold, as the instance that asks knows it.
        """
        own = self.cold.rate(backend)
        cold = min((r for r in (own, cold_rate) if r is not None), default=None)
        turns = []
        named, pace = self.book.rate(backend), self.paces.rate(backend)
        if named is not None:
            turns.append(Turn(named))
        if cold is not None:
            bounds = self.cold.bounds
            share = bounds.first_share(cold)
            turns.append(Turn(bounds.granted_rate(cold), share))
        if pace is not None:
            turns.append(Turn(pace, self.FIRST_PACE_SHARE))
        return min(turns, default=None)

    def is_limited(self, backend: BackendId) -> bool:
        """Return whether a backend server has a rate."""
        return self.rate(backend) is not None

    def note_returned(
        self, data_centre: str, servers: Iterable[ReturnedServer]
    ) -> None:
        """Treat the backend servers of a data centre as cold after its evacuation.

        Args:
            data_centre: The data centre that takes requests again.
            servers: Its backend servers.
        """
        returned = list(servers)
        for backend, service, slots in returned:
            self.cold.note_returned(backend, service)
            self.paces.begin(backend, slots, "evacuation ended")
        events.RETURNED.log(data_centre=data_centre, backends=len(returned))

    def may_send(self, backend: BackendId) -> bool:
        """Return whether a request may be sent to a backend server now."""
        if not self.is_limited(backend):
            return True
        return self._granted_until.get(backend, 0.0) > self._clock.monotonic()

    def ask_to_send(self, backend: BackendId, asker: str) -> bool:
        """Ask for a permission, and return whether to hold the request for the answer.

        Nobody is asked, and the request not held, if a permission was refused a moment
        ago or another request has asked. If the answer is known at once, `may_send`
        has it.

        Args:
            backend: A limited backend server to which the request may not be sent.
            asker: Id of the request.
        """
        now = self._clock.monotonic()
        question = self._questions.get(backend)
        if question is not None:
            if now - question.asked_at < self.HOLD_SECONDS:
                return question.asker == asker
            del self._questions[backend]
            self._ask_again_at[backend] = now + self.UNANSWERED_SECONDS
        if self._ask_again_at.get(backend, 0.0) > now:
            return False
        self._questions[backend] = _Question(asker, now)
        self._asked_at[backend] = now
        self.ask(backend)
        return backend in self._questions

    def on_answer(self, backend: BackendId, wait: float | None) -> None:
        """Apply the answer to a question.

        Args:
            backend: The backend server.
            wait: 0 if a request may be sent, else seconds until the next send; None if
                nobody answered.
        """
        now = self._clock.monotonic()
        self._questions.pop(backend, None)
        if wait == 0.0:
            until = now + self.VALID_SECONDS
            if self.cold.rate(backend) is not None:
                # The bound holds in each second, so sends must not be saved up.
                until = self._asked_at.get(backend, now) + USE_SECONDS
            self._granted_until[backend] = until
        else:
            pause = self.UNANSWERED_SECONDS if wait is None else wait
            self._ask_again_at[backend] = now + pause
        self.on_answered()

    def on_sent(self, backend: BackendId) -> None:
        """Use up the permission for one request."""
        self._granted_until.pop(backend, None)

    async def acquire(self, backend: BackendId, patience: float) -> bool:
        """Wait for a permission, and use it up, for a call that has no queue.

        Args:
            backend: Where to send.
            patience: Longest wait in seconds.
        """
        self._acquired += 1
        asker = f"call {self._acquired}"
        ends_at = self._clock.monotonic() + patience
        while not self.may_send(backend):
            if self._clock.monotonic() >= ends_at:
                return False
            self.ask_to_send(backend, asker)
            if not self.may_send(backend):
                await self._clock.sleep(self.ACQUIRE_POLL_SECONDS)
        self.on_sent(backend)
        return True

    def keep_only(self, backends: set[BackendId]) -> None:
        """Forget the backend servers that have left or restarted."""
        self.book.keep_only(backends)
        self.cold.keep_only(backends)
        self.paces.keep_only(backends)
        limited = {b for b in backends if self.is_limited(b)}
        for known in (
            self._questions,
            self._asked_at,
            self._granted_until,
            self._ask_again_at,
        ):
            for backend in known.keys() - limited:
                del known[backend]
