"""Limits the rate of loads from the weight store.

When demand shifts to many models at once, many loads are planned within a second, and
all backend servers share the weight store.
"""

from __future__ import annotations

from collections import deque


class LoadRateLimiter:
    """Counts the loads in a sliding window.

    >>> limiter = LoadRateLimiter(window_seconds=5.0)
    >>> limiter.record(0.0)
    >>> limiter.remaining(0.4, 1.0), limiter.remaining(0.4, 6.0)
    (1, 2)
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._started_at: deque[float] = deque()

    def remaining(self, loads_per_second: float, now: float) -> int:
        """Return how many loads may start now."""
        while self._started_at and self._started_at[0] <= now - self._window_seconds:
            self._started_at.popleft()
        return max(
            0, int(loads_per_second * self._window_seconds) - len(self._started_at)
        )

    def ages(self, now: float) -> tuple[float, ...]:
        """Return the seconds since each load in the window started."""
        return tuple(
            round(now - started_at, 2)
            for started_at in self._started_at
            if now - started_at < self._window_seconds
        )

    def restore(self, ages: tuple[float, ...], now: float) -> None:
        """Continue the count of the previous leader from its `ages`."""
        self._started_at = deque(now - age for age in sorted(ages, reverse=True))

    def record(self, now: float) -> None:
        """Count a load that starts now."""
        self._started_at.append(now)
