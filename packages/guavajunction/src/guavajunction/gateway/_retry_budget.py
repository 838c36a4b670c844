"""Bounds what all instances together send to a second backend server.

Answers retry storms: when backend servers fail, repeats would multiply the load on
those that are left. Each instance may repeat a part of its own requests and an equal
share of the fixed slack, so the sum over the fleet stays within the bound without a
message.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from ._sliding_window_sum import SlidingWindowSum


class RetryBounds(NamedTuple):
    """The fleet's bound on repeats to one service."""

    ratio: float
    """Repeats for each request in the window."""
    window_seconds: float
    slack: float
    """Repeats on top, in each window."""


class RetryBudget:
    """This instance's part of the fleet's bound.

    >>> allowance = RetryAllowance(RetryBounds(0.2, 10.0, 8.0))
    >>> [allowance.take("a", 0.0, instances=4) for _ in range(2)]
    [True, False]
    """

    USED_RATIO = 0.75
    """Part of the bound that is used; the rest covers windows that lie across the
    instances' own, and instances that have just come."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._requests: defaultdict[str, SlidingWindowSum] = defaultdict(self._count)
        self._repeats: defaultdict[str, SlidingWindowSum] = defaultdict(self._count)

    def change_bounds(self, bounds: RetryBounds) -> None:
        """Follow changed settings."""
        self._bounds = bounds
        for recent in (*self._requests.values(), *self._repeats.values()):
            recent.seconds = bounds.window_seconds

    def note_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        self._requests[service].note(1, now)

    def take(self, service: str, now: float, *, instances: int) -> bool:
        """Return whether one more repeat may be sent, and count it if so.

        Args:
            service: Where to.
            now: Monotonic time in seconds.
            instances: Most instances that may share the bound.
        """
        requests = self._requests[service].total(now)
        repeats = self._repeats[service].total(now)
        fixed = self._bounds.slack / max(1, instances)
        allowed = self.USED_RATIO * (self._bounds.ratio * requests + fixed)
        if repeats + 1 > allowed:
            return False
        self._repeats[service].note(1, now)
        return True

    def _count(self) -> SlidingWindowSum:
        return SlidingWindowSum(self._bounds.window_seconds)
