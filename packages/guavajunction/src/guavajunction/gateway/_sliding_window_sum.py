"""A sum over a sliding window of time."""

from __future__ import annotations

from collections import deque


class SlidingWindowSum:
    """Sums units over the last seconds; older entries are discarded.

    >>> recent = SlidingWindowSum(seconds=2.0)
    >>> recent.note(3.0, now=0.0)
    >>> recent.note(4.0, now=1.0)
    >>> recent.total(now=2.0), recent.total(now=2.5)
    (7.0, 4.0)
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        """Length of the window. Entries outside a shorter window are already discarded
        when it is extended."""
        self._entries: deque[tuple[float, float]] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def note(self, units: float, now: float) -> None:
        """Add units and discard the entries that have left the window."""
        self._entries.append((now, units))
        while self._entries[0][0] < now - self.seconds:
            self._entries.popleft()

    def total(self, now: float) -> float:
        """Return the sum of the units in the window that ends now."""
        since = now - self.seconds
        return sum(units for at, units in self._entries if at >= since)
