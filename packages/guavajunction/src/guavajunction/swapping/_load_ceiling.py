"""Keeps loads from the weight store under its rate.

Answers a shift of demand to many models at once: everything wants to load in the same
second, and the weight store is shared by all backend servers.
"""

from __future__ import annotations

from collections import deque


class LoadCeiling:
    """Counts the loads of the last window.

    >>> ceiling = LoadCeiling(window_seconds=5.0)
    >>> [ceiling.take(0.4, now) for now in (0.0, 1.0, 2.0, 6.0)]
    [True, True, False, True]
    """

    def __init__(self, window_seconds: float) -> None:
        self._window = window_seconds
        self._begun: deque[float] = deque()

    def has_room(self, loads_per_second: float, now: float) -> bool:
        """Return whether a load may begin now."""
        while self._begun and self._begun[0] <= now - self._window:
            self._begun.popleft()
        return len(self._begun) + 1 <= loads_per_second * self._window

    def take(self, loads_per_second: float, now: float) -> bool:
        """Count a load, and return whether it may begin."""
        if not self.has_room(loads_per_second, now):
            return False
        self._begun.append(now)
        return True
