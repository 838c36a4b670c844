"""Decides whether an instance may send a request to a brittle backend server."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple, Protocol

from guavajunction.clock import Clock
from guavajunction.intake import LimitBook, LimitStatement
from guavajunction.quarantine import BackendId

from . import _events as events
from ._desk import PlaceQuestion


class Server(Protocol):
    """A backend server, as far as its places are concerned."""

    @property
    def identity(self) -> BackendId:
        """Return name and incarnation."""
        ...

    @property
    def service(self) -> str:
        """Return the name of its service."""
        ...

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs at once."""
        ...


class _OpenQuestion(NamedTuple):
    number: int
    asker: str
    """Id of the request that caused the question."""
    asked_at: float


class _Place(NamedTuple):
    backend: BackendId
    number: int
    """Number of the question that got it."""
    is_own: bool
    """Whether this instance took it itself, as no instance answered."""


class _Wait(NamedTuple):
    since: float
    """When the first of its questions was asked, on the monotonic clock."""
    asked_at: float
    """When the latest one was asked."""


class _OwnPlaces(NamedTuple):
    next_at: float
    spacing: float
    """Seconds between two of them."""


def equal_share(slots: int, run_seconds: float, instances: int) -> float:
    """Return the requests a second that each of several instances may send to a server.

    >>> equal_share(6, 0.03, 80)
    2.5
    """
    return slots / run_seconds / max(1, instances)


class BrittlePlaces:
    """One instance's places at brittle backend servers.

    A backend server is brittle if its last answer says so. While any server of a
    service says so, those that have not answered since are taken for brittle, too: one
    that has just started would otherwise get the requests of all instances at once.

    An instance asks for one place at each backend server at a time. The request that
    caused the question is held a moment for the answer, then it may go elsewhere; the
    question stays open for the next one. A place for which there is no request is given
    back at once.
    """

    HOLD_SECONDS = 0.1
    """Time for which a request is held for an answer; instances are a few milliseconds
    apart."""
    UNANSWERED_SECONDS = 0.3
    """Pause after a question without an answer."""
    ALONE_SECONDS = 2.5
    """Time without any answer after which this instance takes places itself: those who
    hear each other have chosen another hub by then."""
    LINGER_SECONDS = 0.25
    """Time for which the place of a request is kept whose answer was not received
    completely. The backend server may still be at work."""
    NEWEST_WAIT_WEIGHT = 0.3
    """Weight of the newest wait for a place in the mean of waits."""
    MAX_QUESTION_SECONDS = 1.5
    """Time after a question in which the next one continues its wait. Without one, no
    request waits any more."""
    MIN_WAIT_SECONDS = 0.002
    """Shortest wait for a place that is expected."""
    UNDECIDED_SECONDS = 10.0
    """Time after the last statement of any server of a service, for which those that
    have not answered since are taken for brittle."""
    MIN_RATE = 0.25
    """Requests a second that are expected at least."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.book = LimitBook(events.BRITTLE_CHANGED, events.BRITTLE_UNREADABLE)
        """Numbers of rejections that backend servers say they bear in a second."""
        self.instances = 1
        """Number of instances that may be serving, including this one."""
        self._services: dict[str, float] = {}
        """Number of rejections that the servers of a brittle service bear at least."""
        self._stated_at: dict[str, float] = {}
        """When a server of each brittle service was last known to say so."""
        self._sound: dict[BackendId, None] = {}
        """Servers of brittle services that have answered without the statement."""
        self._questions: dict[BackendId, _OpenQuestion] = {}
        self._granted: dict[BackendId, _Place] = {}
        self._in_use: dict[tuple[str, str], _Place] = {}
        """Places by request and backend server."""
        self._ask_again_at: dict[BackendId, float] = {}
        self._own_places: dict[BackendId, _OwnPlaces] = {}
        """Places that this instance may take itself."""
        self._mean_waits: dict[BackendId, float] = {}
        """Seconds from the first question to a place."""
        self._waits: dict[BackendId, _Wait] = {}
        """Waits for a place that go on, also over several questions."""
        self._last_number = 0
        self._unanswered_since: float | None = None
        self.ask: Callable[[int, PlaceQuestion], None] = lambda *_: None
        """Asks for a place; the answer is passed to `on_answer`."""
        self.give_back: Callable[[BackendId, int, bool, float], None] = lambda *_: None
        """Gives a place back: server, number, whether it rejected, delay in seconds."""
        self.on_granted: Callable[[BackendId], None] = lambda _: None
        """Called with the backend server after a place was granted."""
        self.on_refused: Callable[[], None] = lambda: None
        """Called after an answer without a place, as held requests go elsewhere."""

    @property
    def any_brittle(self) -> bool:
        """Return whether any backend server is taken for brittle."""
        return bool(self._services)

    def brittle_services(self) -> dict[str, float]:
        """Return the rejections a second that the servers of brittle services bear."""
        return dict(self._services)

    def presume(self, service: str, bears: float) -> None:
        """Take the servers of a service for brittle until they have answered.

        Args:
            service: Name of the service.
            bears: Rejections a second that its servers bore before this instance began.
        """
        if service not in self._services:
            self._begin(service, bears)

    def note_answer(
        self, server: Server, text: str | None, known: LimitStatement
    ) -> None:
        """Record what an answer says.

        Args:
            server: The backend server that answered.
            text: The number of rejections that it names; None if it names none.
            known: Statement that was known when the request was sent.
        """
        identity = server.identity
        self.book.note_answer(identity, text, known)
        bears = self.book.rate(identity)
        if bears is not None:
            self._begin(server.service, bears)
        elif server.service in self._services:
            self._sound[identity] = None

    def refresh(self, servers: Iterable[Server]) -> None:
        """Bring up to date which services are brittle, and forget servers that left."""
        servers = list(servers)
        present = {server.identity for server in servers}
        self.book.keep_only(present)
        if not self._services and not self.book.all():
            return
        now = self._clock.monotonic()
        brittle: dict[str, float] = {}
        undecided: set[str] = set()
        for server in servers:
            bears = self.book.rate(server.identity)
            if bears is not None:
                known = brittle.get(server.service, bears)
                brittle[server.service] = min(known, bears)
            elif not self._is_sound(server.identity):
                undecided.add(server.service)
        for service, bears in brittle.items():
            self._begin(service, bears)
        since = now - self.UNDECIDED_SECONDS
        # The servers of a service may not be known yet.
        undecided |= self._services.keys() - {server.service for server in servers}
        recent = {s for s in undecided if self._stated_at.get(s, since) > since}
        for service in set(self._services) - set(brittle) - recent:
            del self._services[service]
            del self._stated_at[service]
            events.SERVICE_CHANGED.log(service=service, bears=None)
        if not self._services:
            self._sound.clear()
        for known_of in (
            self._sound,
            self._ask_again_at,
            self._own_places,
            self._mean_waits,
            self._waits,
        ):
            for identity in known_of.keys() - present:
                del known_of[identity]

    def _is_sound(self, identity: BackendId) -> bool:
        """Return whether a server has answered without the statement."""
        statement = self.book.of(identity)
        return identity in self._sound or (
            statement.number > 0 and statement.rate is None
        )

    def _begin(self, service: str, bears: float) -> None:
        self._stated_at[service] = self._clock.monotonic()
        if service not in self._services:
            self._sound.clear()
        if self._services.get(service) != bears:
            self._services[service] = bears
            events.SERVICE_CHANGED.log(service=service, bears=bears)

    def is_brittle(self, server: Server) -> bool:
        """Return whether a request to a backend server needs a place."""
        if not self._services:
            return False
        if self.book.rate(server.identity) is not None:
            return True
        return server.service in self._services and not self._is_sound(server.identity)

    def may_send(self, server: Server) -> bool:
        """Return whether a request may be sent to a backend server now."""
        return server.identity in self._granted or not self.is_brittle(server)

    def has_place(self, server: Server) -> bool:
        """Return whether a place is at hand that no request uses yet."""
        return server.identity in self._granted

    def ask_to_send(
        self, server: Server, asker: str, *, run_seconds: float, longest_seconds: float
    ) -> bool:
        """Ask for a place, and return whether to hold the request for the answer.

        Args:
            server: A brittle backend server at which no place is at hand.
            asker: Id of the request.
            run_seconds: Usual time that such a request runs.
            longest_seconds: Longest time that this one may run.
        """
        now = self._clock.monotonic()
        identity = server.identity
        question = self._questions.get(identity)
        if question is not None:
            held = now - question.asked_at < self.HOLD_SECONDS
            return held and question.asker == asker
        if self._ask_again_at.get(identity, 0.0) > now:
            return False
        self._last_number += 1
        number = self._last_number
        self._questions[identity] = _OpenQuestion(number, asker, now)
        wait = self._waits.get(identity)
        if wait is None or now - wait.asked_at > self.MAX_QUESTION_SECONDS:
            wait = _Wait(now, now)
        self._waits[identity] = wait._replace(asked_at=now)
        bears = self.book.rate(identity)
        if bears is None:
            bears = self._services.get(server.service, 0.0)
        share = equal_share(server.slots, run_seconds, self.instances)
        own = self._own_places.get(identity, _OwnPlaces(now, 0.0))
        self._own_places[identity] = own._replace(
            spacing=1.0 / max(share, self.MIN_RATE)
        )
        self.ask(
            number,
            PlaceQuestion(identity, server.slots, bears, run_seconds, longest_seconds),
        )
        return identity in self._questions

    def on_answer(self, backend: BackendId, number: int, granted: bool | None) -> None:
        """Apply the answer to a question.

        Args:
            backend: The backend server.
            number: Number of the question.
            granted: Whether there is a place; None if nobody answered.
        """
        now = self._clock.monotonic()
        self._questions.pop(backend, None)
        if granted is not None:
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now
        if granted:
            self._granted[backend] = _Place(backend, number, is_own=False)
            self._note_wait(
                backend, now - self._waits.pop(backend, _Wait(now, now)).since
            )
        elif granted is None:
            self.give_back(backend, number, False, 0.0)
            self._take_own(backend, number, now)
        if backend in self._granted:
            self.on_granted(backend)
        else:
            self.on_refused()

    def _note_wait(self, backend: BackendId, seconds: float) -> None:
        mean = self._mean_waits.get(backend, seconds)
        mean += self.NEWEST_WAIT_WEIGHT * (seconds - mean)
        self._mean_waits[backend] = mean

    def _take_own(self, backend: BackendId, number: int, now: float) -> None:
        """Take a place without an answer, as often as an equal share allows."""
        own = self._own_places.get(backend)
        since = now if self._unanswered_since is None else self._unanswered_since
        is_alone = now - since >= self.ALONE_SECONDS
        if is_alone and own is not None and own.next_at <= now:
            self._own_places[backend] = own._replace(next_at=now + own.spacing)
            self._granted[backend] = _Place(backend, number, is_own=True)
        else:
            self._ask_again_at[backend] = now + self.UNANSWERED_SECONDS

    def on_sent(self, server: Server, request_id: str) -> None:
        """Use a place for a request, if the backend server is brittle."""
        place = self._granted.pop(server.identity, None)
        if place is None:
            return
        self._in_use[request_id, server.identity.name] = place

    def on_ended(
        self, server: Server, request_id: str, *, rejected: bool, complete: bool
    ) -> None:
        """Give the place of a request back that has ended.

        Args:
            server: The backend server that it was sent to.
            request_id: Id of the request.
            rejected: Whether the backend server had no room for it.
            complete: Whether its answer was received completely.
        """
        place = self._in_use.pop((request_id, server.identity.name), None)
        counts = rejected and self.is_brittle(server)
        if counts:
            events.REJECTION_COUNTED.log(
                request_id=request_id,
                backend=server.identity.name,
                incarnation=server.identity.incarnation,
                had_place=place is not None,
            )
        if place is None:
            if counts:
                self.give_back(server.identity, 0, True, 0.0)
            return
        if not place.is_own or rejected:
            delay = 0.0 if complete or rejected else self.LINGER_SECONDS
            self.give_back(place.backend, place.number, rejected, delay)

    def return_unused(self) -> None:
        """Give back the places for which there is no request."""
        for place in self._granted.values():
            if not place.is_own:
                self.give_back(place.backend, place.number, False, 0.0)
        self._granted.clear()

    def rate(self, backends: Collection[BackendId]) -> float | None:
        """Return the places a second that this instance gets while it waits for them.

        Args:
            backends: Brittle backend servers that could run a request.

        Returns:
            Places a second at all of them; None while places are granted at once.
        """
        now = self._clock.monotonic()
        for backend in backends:
            question = self._questions.get(backend)
            if question is None or now - question.asked_at < self.HOLD_SECONDS:
                return None
        waits = (
            max(
                self.MIN_WAIT_SECONDS,
                self._mean_waits.get(backend, 0.0),
                now - self._waits.get(backend, _Wait(now, now)).since,
            )
            for backend in backends
        )
        return max(sum(1.0 / wait for wait in waits), self.MIN_RATE)
