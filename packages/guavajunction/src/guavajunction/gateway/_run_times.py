"""Measures how long plain requests take from being sent to their complete answer."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock

from ._admission import PLAIN_SERVICE_SECONDS


class _Measured(NamedTuple):
    mean: float
    deviation: float
    """Mean difference from the mean."""
    noted_at: float


class RunTimes:
    """Mean and spread of the latest plain requests of each service, in seconds.

    >>> from guavajunction.clock import ManualClock
    >>> times = RunTimes(ManualClock())
    >>> for seconds in (0.15, 0.3) * 20:
    ...     times.note("bookings", seconds)
    >>> round(times.mean("bookings"), 1), times.mean("others")
    (0.2, 0.03)
    >>> times.longest("bookings") > 0.3
    True
    """

    NEWEST_WEIGHT = 0.1
    """Weight of the newest request in the mean."""
    NEWEST_DEVIATION_WEIGHT = 0.25
    """Weight of its difference from the mean, as in RFC 6298."""
    DEVIATIONS = 4
    """Mean deviations above the mean that a run hardly exceeds, as in RFC 6298."""
    FORGET_SECONDS = 10.0
    """Time after the last answer for which the measured times are used. A service that
    gets nothing, as its runs would be too long, could not show that they are shorter
    now."""
    MAX_SERVICES = 1024
    """Number of services that are kept."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._measured: dict[str, _Measured] = {}

    def note(self, service: str, seconds: float) -> None:
        """Count a request that was answered completely."""
        now = self._clock.monotonic()
        mean, deviation, _ = self._measured.pop(
            service, _Measured(seconds, seconds / 2, now)
        )
        difference = seconds - mean
        mean += self.NEWEST_WEIGHT * difference
        deviation += self.NEWEST_DEVIATION_WEIGHT * (abs(difference) - deviation)
        self._measured[service] = _Measured(mean, deviation, now)
        drop_oldest(self._measured, self.MAX_SERVICES)

    def mean(self, service: str) -> float:
        """Return the mean, `PLAIN_SERVICE_SECONDS` at least."""
        measured = self._recent(service)
        return max(PLAIN_SERVICE_SECONDS, measured.mean if measured else 0.0)

    def longest(self, service: str) -> float:
        """Return the time that a run hardly exceeds, the mean at least."""
        measured = self._recent(service)
        if measured is None:
            return PLAIN_SERVICE_SECONDS
        longest = measured.mean + self.DEVIATIONS * measured.deviation
        return max(PLAIN_SERVICE_SECONDS, longest)

    def _recent(self, service: str) -> _Measured | None:
        measured = self._measured.get(service)
        if measured is None:
            return None
        age = self._clock.monotonic() - measured.noted_at
        return measured if age <= self.FORGET_SECONDS else None
