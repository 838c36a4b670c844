"""Hands out the sends to a backend server that has a rate.

The load that this answers: many instances, each with a few requests a second, and a
limit that may be far below one request a second for each. A share for each instance
would be useless or, if shares could be saved, too large in sum. So one instance hands
out single sends for all, to whoever has a request at that moment.
"""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.quarantine import BackendId


class _Tenure(NamedTuple):
    """Since when a desk has been asked for the sends to a backend server."""

    began_at: float
    asked_at: float


class PermitDesk:
    """Spaces the sends to each backend server by its limit.

    >>> desk = PermitDesk()
    >>> engine = BackendId("e1", 1)
    >>> [desk.take(engine, rate=2.0, now=at) for at in (0.0, 1.0, 1.2, 1.5)]
    [1.0, 0.0, 0.3, 0.0]
    """

    HANDOVER_SECONDS = 1.0
    """Time from the first question to the first send. The instance that handed out
    sends before may have done so just now."""
    MIN_RATE = 0.25
    """Requests a second that are sent at least: only an answer tells that a limit has
    ended."""
    CATCH_UP_SENDS = 1
    """Number of missed sends that may be made up for."""
    MAX_BACKENDS = 4096
    """Number of backend servers whose next send is kept."""

    def __init__(self) -> None:
        self._next_at: dict[BackendId, float] = {}
        self._tenures: dict[BackendId, _Tenure] = {}

    def take(
        self, backend: BackendId, rate: float, now: float, *, first_share: float = 0.0
    ) -> float:
        """Take the next send to a backend server if it is due.

        Args:
            backend: Where to send.
            rate: Its limit, in requests a second.
            now: Monotonic time in seconds.
            first_share: Part of the rate that may be used in the first
                `HANDOVER_SECONDS` beside another instance that uses the rate. None
                of it if it is 0.

        Returns:
            0 if a request may be sent now, else the seconds until the next send.
        """
        if first_share:
            tenure = self._tenures.pop(backend, None)
            if tenure is None or now - tenure.asked_at > self.HANDOVER_SECONDS:
                # Another instance may have handed out sends meanwhile.
                tenure = _Tenure(began_at=now, asked_at=now)
                # A send that is due later stays due then: with less than one a second,
                # each question might otherwise begin anew.
                next_at = self._next_at.get(backend, now)
                self._next_at[backend] = max(now, next_at)
            self._tenures[backend] = tenure._replace(asked_at=now)
            if now - tenure.began_at < self.HANDOVER_SECONDS:
                rate *= first_share
        interval = 1.0 / max(self.MIN_RATE, rate)
        next_at = self._next_at.pop(backend, now + self.HANDOVER_SECONDS)
        # A limit that has risen does not wait for the pause of the lower one.
        next_at = min(next_at, now + max(self.HANDOVER_SECONDS, interval))
        wait = round(max(0.0, next_at - now), 4)
        if wait == 0.0:
            next_at = max(next_at, now - self.CATCH_UP_SENDS * interval) + interval
        self._next_at[backend] = next_at
        drop_oldest(self._next_at, self.MAX_BACKENDS)
        drop_oldest(self._tenures, self.MAX_BACKENDS)
        return wait

    def keep_only(self, backends: set[BackendId]) -> None:
        """Forget the backend servers that are no longer limited."""
        for known in (self._next_at, self._tenures):
            for backend in known.keys() - backends:
                del known[backend]
