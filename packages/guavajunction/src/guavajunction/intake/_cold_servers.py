"""Which backend servers are cold, and how many requests they may get.

A cold backend server crashes well above its cold rate. It says in its entry in the
store how much longer it is cold. The load that this answers: up to 600 backend
servers, of which one to all of a data centre are cold at once for some seconds, and
300 instances that receive their entries late, or not at all and then from peers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.quarantine import BackendId

from . import _events as events

USE_SECONDS = 0.25
"""Time from the question for a send to a cold backend server to the latest send. It
covers two round trips between regions. A longer one lets fewer sends be handed out."""

MAX_FIRST_SHARE = 0.5
"""Largest part of a cold rate that an instance hands out beside another one."""


class ColdLimit(NamedTuple):
    """How backend servers of a service are to be treated while they are cold."""

    rate: float
    """Requests a second that one gets from all instances together; 0 for no limit."""
    seconds: float = 3.0
    """Time for which one is cold after it has returned."""


class ColdBounds(NamedTuple):
    """Upper bound on the requests to a cold backend server in each second."""

    overshoot: float = 1.5
    """Factor of the cold rate."""
    slack: float = 5.0
    """Requests beyond it."""
    heartbeat_seconds: float = 1.2
    """Interval in which backend servers write their entries."""

    def most(self, rate: float) -> float:
        """Return the largest number of requests in one second.

        >>> ColdBounds().most(13.0)
        24.5
        """
        return rate * self.overshoot + self.slack

    def granted_rate(self, rate: float) -> float:
        """Return the rate at which one instance may hand out sends.

        A send follows its permission within `USE_SECONDS`, and the instance makes up
        for one missed send.
        """
        return min(rate, max(0.0, self.most(rate) - 1) / (1 + USE_SECONDS))

    def first_share(self, rate: float) -> float:
        """Return the part of the rate that a second instance may hand out beside it.

        This lets an instance begin at once although another one may have handed out
        sends a moment ago.

        >>> round(ColdBounds().first_share(13.0), 2)
        0.38
        >>> ColdBounds(overshoot=1.0, slack=0.0).first_share(13.0)
        0.0
        """
        both = (self.most(rate) - 2) / (1 + USE_SECONDS)
        share = both / self.granted_rate(rate) - 1 if rate > 0 and both > 0 else 0.0
        return min(MAX_FIRST_SHARE, max(0.0, share))


class ColdEntry(NamedTuple):
    """What an entry says of a cold backend server, to tell peers."""

    number: int
    """Report number of the entry."""
    seconds: float
    """Time for which it is still cold."""
    rate: float
    """Requests a second that it may get."""


class _Known(NamedTuple):
    number: int
    until: float
    rate: float


class ColdServers:
    """The cold backend servers, from the newest entry of each.

    A remaining time counts from its receipt. It was measured earlier, so the end that
    follows is never too early. A repeated entry does not extend it.
    """

    MAX_SECONDS = 60.0
    """Longest remaining time that is respected; each heartbeat states it anew."""
    MAX_BACKENDS = 4096
    """Number of incarnations whose newest entry is kept; several times the number of
    backend servers in the largest deployment."""
    RELAY_TOLERANCE_SECONDS = 0.3
    """Added to each remaining time. An end that is later by less need not be relayed
    to followers, so the heartbeats of a cold server cause no messages to them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[BackendId, _Known] = {}
        self._services: dict[BackendId, str] = {}
        self._returned: dict[BackendId, _Known] = {}
        self._trusted_from: dict[BackendId, float] = {}
        self._cold: set[BackendId] = set()
        self._limits: Mapping[str, ColdLimit] = {}
        self.bounds = ColdBounds()

    def configure(self, limits: Mapping[str, ColdLimit]) -> None:
        """Set the limits of all services by name."""
        self._limits = dict(limits)
        for backend in [*self._known, *self._returned]:
            self._update(backend)

    def note_entry(
        self, backend: BackendId, service: str, number: int, seconds: float
    ) -> None:
        """Apply the entry of a backend server.

        Args:
            backend: The backend server.
            service: Its service.
            number: Number of the entry; one that is not newer changes nothing.
            seconds: Time for which it is still cold, 0 if it is not.
        """
        self._services[backend] = service
        rate = self._limits.get(service, ColdLimit(0.0)).rate
        if seconds > 0:
            seconds = min(seconds, self.MAX_SECONDS) + self.RELAY_TOLERANCE_SECONDS
        self._note(backend, number, seconds, rate)

    def note_peer(self, entries: Mapping[BackendId, ColdEntry]) -> None:
        """Apply the newer entries that a peer has seen."""
        for backend, entry in entries.items():
            self._note(
                backend, entry.number, min(entry.seconds, self.MAX_SECONDS), entry.rate
            )

    def note_returned(self, backend: BackendId, service: str) -> None:
        """Treat a backend server as cold, as it may have been without traffic.

        An entry from within one heartbeat interval may be older than its return, so
        it does not end this.
        """
        limit = self._limits.get(service, ColdLimit(0.0))
        now = self._clock.monotonic()
        self._services[backend] = service
        self._returned[backend] = _Known(0, now + limit.seconds, limit.rate)
        self._trusted_from[backend] = now + self.bounds.heartbeat_seconds
        self._update(backend)

    def is_cold(self, backend: BackendId) -> bool:
        """Return whether a backend server is cold, also without a limit."""
        return self._until(backend) > self._clock.monotonic()

    def rate(self, backend: BackendId) -> float | None:
        """Return the rate of a cold backend server; None if it is not limited."""
        if backend not in self._cold or not self.is_cold(backend):
            return None
        return self._rate(backend)

    def entries(self) -> dict[BackendId, ColdEntry]:
        """Return the entries of cold backend servers, to send them to peers.

        What follows from the end of an evacuation is left out: each instance knows it.
        """
        now = self._clock.monotonic()
        return {
            backend: ColdEntry(known.number, known.until - now, self._rate(backend))
            for backend in self._cold
            if (known := self._known.get(backend)) is not None and known.until > now
        }

    def expire(self) -> None:
        """Log the backend servers that are no longer cold."""
        for backend in list(self._cold):
            self._update(backend)

    def keep_only(self, backends: set[BackendId]) -> None:
        """Forget the backend servers that have left or restarted."""
        self.expire()
        now = self._clock.monotonic()
        for backend in self._known.keys() - backends:
            # A peer may have told of it before its own entry arrives here.
            if self._known[backend].until <= now:
                del self._known[backend]
        for by_backend in (self._services, self._returned, self._trusted_from):
            for backend in by_backend.keys() - backends:
                del by_backend[backend]

    def count(self) -> int:
        """Return the number of cold backend servers with a limit."""
        return sum(map(self.is_cold, self._cold))

    def _rate(self, backend: BackendId) -> float:
        """Return the rate while cold, from the configuration or else from a peer."""
        limit = self._limits.get(self._services.get(backend, ""))
        if limit is not None:
            return limit.rate
        known = self._known.get(backend) or self._returned.get(backend)
        return known.rate if known is not None else 0.0

    def _note(
        self, backend: BackendId, number: int, seconds: float, rate: float
    ) -> None:
        known = self._known.pop(backend, None)
        if known is None or known.number < number:
            now = self._clock.monotonic()
            known = _Known(number, now + seconds, rate)
            if self._trusted_from.get(backend, now) < now:
                self._returned.pop(backend, None)
        self._known[backend] = known
        drop_oldest(self._known, self.MAX_BACKENDS)
        self._update(backend)

    def _until(self, backend: BackendId) -> float:
        known, returned = self._known.get(backend), self._returned.get(backend)
        return max(
            known.until if known is not None else 0.0,
            returned.until if returned is not None else 0.0,
        )

    def _update(self, backend: BackendId) -> None:
        is_cold = self.is_cold(backend) and self._rate(backend) > 0
        if is_cold and backend not in self._cold:
            self._cold.add(backend)
            events.COLD.log(
                backend=backend.name,
                incarnation=backend.incarnation,
                seconds=round(self._until(backend) - self._clock.monotonic(), 2),
                limit=self._rate(backend),
            )
        elif not is_cold and backend in self._cold:
            self._cold.discard(backend)
            self._returned.pop(backend, None)
            events.COLD_ENDED.log(backend=backend.name, incarnation=backend.incarnation)


class ColdNews:
    """Decides which entries of cold backend servers a hub relays to its followers.

    A remaining time counts down in each heartbeat. Followers need an entry only if it
    is the first that says cold, if its end is later than theirs, or if it ends early.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._relayed_until: dict[BackendId, float] = {}

    def is_news(self, backend: BackendId, seconds: float) -> bool:
        """Return whether to relay an entry, and record that it is.

        Args:
            backend: The backend server.
            seconds: Time for which the entry says that it is cold.
        """
        now = self._clock.monotonic()
        for ended in [b for b, until in self._relayed_until.items() if until <= now]:
            del self._relayed_until[ended]
        tolerance = ColdServers.RELAY_TOLERANCE_SECONDS
        relayed = self._relayed_until.get(backend)
        if seconds <= 0:
            # The followers' time runs out by itself, soon after the cold state.
            self._relayed_until.pop(backend, None)
            return relayed is not None and relayed > now + tolerance
        if relayed is not None and now + seconds <= relayed:
            return False
        seconds = min(seconds, ColdServers.MAX_SECONDS)
        self._relayed_until[backend] = now + seconds + tolerance
        return True
