"""Measures how long plain requests take from being sent to their complete answer."""

from __future__ import annotations

from guavajunction.bounded import drop_oldest

from ._admission import PLAIN_SERVICE_SECONDS


class RunTimes:
    """Mean time of the latest plain requests of each service.

    >>> times = RunTimes()
    >>> times.note("bookings", 0.13)
    >>> round(times.mean("bookings"), 3), times.mean("others")
    (0.13, 0.03)
    """

    NEWEST_WEIGHT = 0.1
    """Weight of the newest request in the mean."""
    MAX_SERVICES = 1024
    """Number of services that are kept."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, service: str, seconds: float) -> None:
        """Count a request that was answered completely."""
        mean = self._means.pop(service, seconds)
        self._means[service] = mean + self.NEWEST_WEIGHT * (seconds - mean)
        drop_oldest(self._means, self.MAX_SERVICES)

    def mean(self, service: str) -> float:
        """Return the mean in seconds, `PLAIN_SERVICE_SECONDS` at least."""
        return max(PLAIN_SERVICE_SECONDS, self._means.get(service, 0.0))
