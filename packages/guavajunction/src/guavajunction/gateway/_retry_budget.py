"""Bounds the retries sent by all instances together.

When backend servers fail, unlimited retries would multiply the load on the remaining
ones. The retries of each instance are limited to a fraction of its own requests plus an
equal share of the fixed slack, so the fleet stays within its bound without any
coordination.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from ._sliding_window_sum import SlidingWindowSum


class RetryBounds(NamedTuple):
    """The fleet's bound on retries to one service."""

    ratio: float
    """Retries allowed for each request in the window."""
    window_seconds: float
    slack: float
    """Additional retries allowed in each window."""


class RetryBudget:
    """This instance's share of the fleet's retries.

    >>> budget = RetryBudget(RetryBounds(0.2, 10.0, 8.0))
    >>> [budget.take("a", 0.0, instances=4) for _ in range(2)]
    [True, False]
    """

    USED_RATIO = 0.75
    """Fraction of the bound that is used. The rest covers windows that are not aligned
    between instances, and instances that have just joined."""

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._requests: defaultdict[str, SlidingWindowSum] = defaultdict(self._new_sum)
        self._retries: defaultdict[str, SlidingWindowSum] = defaultdict(self._new_sum)

    def change_bounds(self, bounds: RetryBounds) -> None:
        """Apply changed settings."""
        self._bounds = bounds
        for counter in (*self._requests.values(), *self._retries.values()):
            counter.seconds = bounds.window_seconds

    def note_request(self, service: str, now: float) -> None:
        """Count a request; its retries must not be counted."""
        self._requests[service].note(1, now)

    def take(self, service: str, now: float, *, instances: int) -> bool:
        """Return whether one more retry may be sent, and count it if so.

        Args:
            service: Service that the request is sent to.
            now: Monotonic time in seconds.
            instances: Maximum number of instances that share the fleet's bound.
        """
        requests = self._requests[service].total(now)
        retries = self._retries[service].total(now)
        fixed = self._bounds.slack / max(1, instances)
        allowed = self.USED_RATIO * (self._bounds.ratio * requests + fixed)
        if retries + 1 > allowed:
            return False
        self._retries[service].note(1, now)
        return True

    def _new_sum(self) -> SlidingWindowSum:
        return SlidingWindowSum(self._bounds.window_seconds)
