"""Measures how long requests take from being sent to their complete answer."""

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
    maximum: float
    """Longest request since `maximum_since`, and in the period before."""
    maximum_before: float
    maximum_since: float


class RunTimes:
    """Mean and spread of the latest requests of each service, in seconds.

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
    MAXIMUM_SECONDS = 10.0
    """Length of a period whose longest request is kept until the next one ends."""
    BOUND_RATIO = 1.5
    """Upper bound of a run relative to the longest one of the last period."""
    UNKNOWN_BOUND_SECONDS = 2.0
    """Upper bound of a run while none was seen lately."""
    MIN_BOUND_SECONDS = 0.3
    """Least upper bound of a run."""
    MAX_SERVICES = 1024
    """Number of services that are kept."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._measured: dict[str, _Measured] = {}

    def note(self, service: str, seconds: float) -> None:
        """Count a request that was answered completely."""
        now = self._clock.monotonic()
        before = self._measured.pop(
            service, _Measured(seconds, seconds / 2, now, seconds, 0.0, now)
        )
        difference = seconds - before.mean
        is_new_period = now - before.maximum_since > self.MAXIMUM_SECONDS
        spread = abs(difference) - before.deviation
        self._measured[service] = _Measured(
            mean=before.mean + self.NEWEST_WEIGHT * difference,
            deviation=before.deviation + self.NEWEST_DEVIATION_WEIGHT * spread,
            noted_at=now,
            maximum=seconds if is_new_period else max(before.maximum, seconds),
            maximum_before=before.maximum if is_new_period else before.maximum_before,
            maximum_since=now if is_new_period else before.maximum_since,
        )
        drop_oldest(self._measured, self.MAX_SERVICES)

    def mean(self, service: str) -> float:
        """Return the mean, `PLAIN_SERVICE_SECONDS` at least."""
        measured = self._recent(service)
        return max(PLAIN_SERVICE_SECONDS, measured.mean if measured else 0.0)

    def measured_mean(self, service: str) -> float | None:
        """Return the mean, or None if no run was seen lately."""
        measured = self._recent(service)
        return measured.mean if measured else None

    def longest(self, service: str) -> float:
        """Return the time that a run hardly exceeds, the mean at least."""
        measured = self._recent(service)
        if measured is None:
            return PLAIN_SERVICE_SECONDS
        longest = measured.mean + self.DEVIATIONS * measured.deviation
        return max(PLAIN_SERVICE_SECONDS, longest)

    def upper_bound(self, service: str) -> float:
        """Return the time within which a run ends, for a process that is about to end.

        A longer run loses its answer.
        """
        measured = self._recent(service)
        if measured is None:
            return self.UNKNOWN_BOUND_SECONDS
        longest = max(measured.maximum, measured.maximum_before)
        return max(
            self.MIN_BOUND_SECONDS,
            self.BOUND_RATIO * longest,
            self.longest(service),
        )

    def _recent(self, service: str) -> _Measured | None:
        measured = self._measured.get(service)
        if measured is None:
            return None
        age = self._clock.monotonic() - measured.noted_at
        return measured if age <= self.FORGET_SECONDS else None
