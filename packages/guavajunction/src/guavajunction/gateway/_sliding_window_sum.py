"""Counts what happened in the last seconds."""

from __future__ import annotations

from collections import deque


class SlidingWindowSum:
    """Units and when they were noted; nothing is kept for longer than it counts.

    >>> recent = RecentUnits(seconds=2.0)
    >>> recent.note(3.0, now=0.0)
    >>> recent.note(4.0, now=1.0)
    >>> recent.total(now=2.0), recent.total(now=2.5)
    (7.0, 4.0)
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        """Span that counts; a longer one begins with what is still kept."""
        self._entries: deque[tuple[float, float]] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def note(self, units: float, now: float) -> None:
        """Add units, and drop what is too old to count."""
        self._entries.append((now, units))
        while self._entries[0][0] < now - self.seconds:
            self._entries.popleft()

    def total(self, now: float) -> float:
        """Return the sum of the units in the span that ends now."""
        since = now - self.seconds
        return sum(units for at, units in self._entries if at >= since)
