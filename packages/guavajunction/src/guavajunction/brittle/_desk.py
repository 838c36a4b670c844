"""Hands out the slots of brittle backend servers to the instances.

The load that this answers: more requests than the slots can run, at many instances,
and servers that end if more than a few requests a second find no room. An instance that
knows only its own requests and old counts of its peers' would overfill the queue of a
server together with them. A fixed share for each instance would be less than one
request. So one instance hands out single places for all; a place is used for one
request and given back at its end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId


class PlaceKey(NamedTuple):
    """Identifies a question for a place, and the place that answers it."""

    peer: PeerId
    """The instance that asks."""
    number: int
    """Number of its question."""


class PlaceQuestion(NamedTuple):
    """Asks for a place at a brittle backend server."""

    backend: BackendId
    slots: int
    """Number of requests that the backend server runs at once."""
    bears: float
    """Number of rejections that it bears in a second."""
    run_seconds: float
    """Usual time that a request runs."""
    longest_seconds: float
    """Time that is left to the request."""


class _Server:
    """The places of one backend server."""

    def __init__(self, question: PlaceQuestion, now: float, opens_at: float) -> None:
        self.asked_at = now
        self.slots = question.slots
        self.bears = question.bears
        self.held: dict[PlaceKey, float] = {}
        """When each place is free again at the latest, on the monotonic clock."""
        self.waiting: dict[PlaceKey, PlaceQuestion] = {}
        self.withheld = 0
        """Number of places that are not used since the backend server rejected."""
        self.restore_at = 0.0
        self.extra = 0
        """Number of places beyond the slots, for requests that wait at the server."""
        self.extend_at = now + PlaceDesk.EXTEND_SECONDS
        self.rejected_at: deque[float] = deque(maxlen=PlaceDesk.MAX_REJECTIONS)
        span = max(PlaceDesk.HANDOVER_SECONDS, 2 * question.run_seconds)
        since = max(now, opens_at)
        self.assumed_until = [
            since + span * (n + 1) / self.slots for n in range(self.slots)
        ]

    def advance(self, now: float) -> None:
        """Free places whose time is over, and use withheld ones again."""
        for key, until in list(self.held.items()):
            if until <= now:
                del self.held[key]
        self.assumed_until = [until for until in self.assumed_until if until > now]
        while self.withheld and self.restore_at <= now:
            self.withheld -= 1
            self.restore_at += PlaceDesk.RESTORE_SECONDS

    def room(self, share: float, now: float) -> int:
        """Return the number of places that may be handed out now."""
        since = now - PlaceDesk.REJECTION_WINDOW_SECONDS
        recent = sum(at > since for at in self.rejected_at)
        if recent > PlaceDesk.USED_REJECTIONS * self.bears:
            return 0
        usable = max(1, round(self.slots * share)) - self.withheld
        return max(1, usable) + self.extra - len(self.held) - len(self.assumed_until)

    def reject(self, now: float) -> None:
        """Use fewer places after the backend server has rejected a request."""
        self.rejected_at.append(now)
        self.extend_at = now + PlaceDesk.EXTEND_AGAIN_SECONDS
        if self.extra:
            self.extra = 0
            return
        self.withheld = min(self.slots - 1, self.withheld + 1)
        self.restore_at = now + PlaceDesk.RESTORE_SECONDS

    def extend(self, now: float) -> None:
        """Use a place more if requests wait for one and a rejection can be borne."""
        most = max(1, self.slots // PlaceDesk.SLOTS_PER_EXTRA)
        if (
            self.bears >= PlaceDesk.MIN_BORNE_TO_EXTEND
            and self.extra < most
            and not self.withheld
            and self.extend_at <= now
        ):
            self.extra += 1
            self.extend_at = now + PlaceDesk.EXTEND_SECONDS

    def grant(self, share: float, now: float) -> list[PlaceKey]:
        """Hand out free places to those that wait, in order of their questions."""
        granted = []
        if self.waiting and self.room(share, now) <= 0:
            self.extend(now)
        for key in list(self.waiting)[: max(0, self.room(share, now))]:
            question = self.waiting.pop(key)
            usual = max(
                PlaceDesk.MIN_HELD_SECONDS,
                PlaceDesk.HELD_RUNS * question.run_seconds,
            )
            self.held[key] = now + min(question.longest_seconds, usual)
            granted.append(key)
        return granted


class PlaceDesk:
    """The places of all brittle backend servers that one instance hands out.

    >>> desk = PlaceDesk()
    >>> here, e1 = PeerId("front-1", "a"), BackendId("e1", 1)
    >>> question = PlaceQuestion(e1, 1, 2.0, 0.03, 5.0)
    >>> desk.ask(PlaceKey(here, 1), question, 0.0)
    []
    >>> desk.advance(0.3)
    [PlaceKey(peer=PeerId(name='front-1', incarnation='a'), number=1)]
    """

    HANDOVER_SECONDS = 0.3
    """Time in which the slots of a backend server that is new to this desk become free,
    one after the other. The desk before may have handed all of them out just now."""
    REJECTION_WINDOW_SECONDS = 1.0
    """Time in which backend servers count their rejections."""
    USED_REJECTIONS = 0.5
    """Part of the rejections that a backend server bears. After more, it gets nothing
    until they are a second old: the rest is for requests that are on their way."""
    RESTORE_SECONDS = 1.0
    """Time after a rejection until one more place is used again."""
    EXTEND_SECONDS = 1.0
    """Time without a rejection after which one more request may wait at the server. A
    slot is then used again before the next place is handed out."""
    EXTEND_AGAIN_SECONDS = 10.0
    """The same after a rejection: the server may let none wait."""
    MIN_BORNE_TO_EXTEND = 2
    """Rejections that a server must bear for that, as the attempt may cost one."""
    SLOTS_PER_EXTRA = 4
    """One request may wait for this many slots, and one at least."""
    SILENT_SECONDS = 2.0
    """Time after which the places of a silent instance are free. Its connections end
    with it, or its requests end meanwhile."""
    HELD_RUNS = 5
    """Time, in usual runs, after which a place is free that is not given back. The
    message may be lost."""
    MIN_HELD_SECONDS = 0.3
    """Shortest time for which a place is held that is not given back."""
    IDLE_SECONDS = 60.0
    """Time without a question after which a backend server is forgotten."""
    MAX_REJECTIONS = 256
    """Number of rejections that are remembered of each backend server."""
    MAX_SLOTS = 65_536
    """Largest number of slots that is used; entries of backend servers come from
    outside."""
    MAX_BACKENDS = 4096
    """Number of backend servers whose places are known; several times the number in the
    largest deployment."""

    def __init__(self) -> None:
        self._servers: dict[BackendId, _Server] = {}
        self.share = 1.0
        """Part of the slots that this side of a cut may use, 0 to 1."""
        self.opens_at = float("-inf")
        """When the first place may be handed out, on the monotonic clock."""

    @property
    def is_waiting(self) -> bool:
        """Return whether a question is open."""
        return any(server.waiting for server in self._servers.values())

    def ask(self, key: PlaceKey, question: PlaceQuestion, now: float) -> list[PlaceKey]:
        """Ask for a place.

        Args:
            key: Identifies the question.
            question: What is asked for.
            now: Monotonic time in seconds.

        Returns:
            The questions that got a place, this one among them unless it has to wait.
        """
        question = question._replace(slots=max(1, min(question.slots, self.MAX_SLOTS)))
        server = self._servers.get(question.backend)
        if server is None:
            server = _Server(question, now, self.opens_at)
            self._servers[question.backend] = server
            drop_oldest(self._servers, self.MAX_BACKENDS)
        server.slots, server.bears = question.slots, question.bears
        server.asked_at = now
        server.waiting[key] = question
        server.advance(now)
        return server.grant(self.share, now)

    def withdraw(self, backend: BackendId, key: PlaceKey) -> None:
        """Remove a question that waits no longer."""
        server = self._servers.get(backend)
        if server is not None:
            server.waiting.pop(key, None)

    def free(
        self, backend: BackendId, key: PlaceKey, now: float, *, rejected: bool
    ) -> list[PlaceKey]:
        """Take a place back.

        Args:
            backend: The backend server.
            key: The question that got the place; an unknown one changes nothing.
            now: Monotonic time in seconds.
            rejected: Whether the backend server had no room for the request.

        Returns:
            The questions that got a place.
        """
        server = self._servers.get(backend)
        if server is None:
            return []
        server.waiting.pop(key, None)
        server.held.pop(key, None)
        if rejected:
            server.reject(now)
        server.advance(now)
        return server.grant(self.share, now)

    def advance(self, now: float) -> list[PlaceKey]:
        """Hand out the places that time has freed.

        Returns:
            The questions that got a place.
        """
        granted = []
        for backend, server in list(self._servers.items()):
            server.advance(now)
            granted += server.grant(self.share, now)
            if now - server.asked_at > self.IDLE_SECONDS:
                del self._servers[backend]
        return granted

    def keep_only(self, peers: Collection[PeerId], now: float) -> None:
        """Take the places of instances back that are not listed, after a while."""
        for server in self._servers.values():
            for key in [key for key in server.held if key.peer not in peers]:
                until = min(server.held[key], now + self.SILENT_SECONDS)
                server.held[key] = until
