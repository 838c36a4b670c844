"""Keeps loads from the weight store under its rate.

Answers a shift of demand to many models at once: everything wants to load in the same
second, and the weight store is shared by all backend servers.
"""

from __future__ import annotations

from collections import deque


class LoadRateLimiter:
    """Counts the loads of the last window.

    >>> ceiling = LoadCeiling(window_seconds=5.0)
    >>> ceiling.record(0.0)
    >>> ceiling.remaining(0.4, 1.0), ceiling.remaining(0.4, 6.0)
    (1, 2)
    """

    def __init__(self, window_seconds: float) -> None:
        self._window = window_seconds
        self._begun: deque[float] = deque()

    def remaining(self, loads_per_second: float, now: float) -> int:
        """Return how many loads may begin now."""
        while self._begun and self._begun[0] <= now - self._window:
            self._begun.popleft()
        return max(0, int(loads_per_second * self._window) - len(self._begun))

    def ages(self, now: float) -> tuple[float, ...]:
        """Return how long ago the loads of the window began, in seconds."""
        return tuple(
            round(now - begun, 2) for begun in self._begun if now - begun < self._window
        )

    def restore(self, ages: tuple[float, ...], now: float) -> None:
        """Go on with the count of another author."""
        self._begun = deque(now - age for age in sorted(ages, reverse=True))

    def record(self, now: float) -> None:
        """Count a load that begins."""
        self._begun.append(now)
