"""Measures one customer's demand at one instance."""

from __future__ import annotations

import math


class DemandMeter:
    """Requested tokens per second and the largest request, with exponential decay."""

    RATE_TIME_CONSTANT_SECONDS = 2.0
    """Time constant of the decay of the requested rate."""

    LARGEST_REQUEST_TIME_CONSTANT_SECONDS = 60.0
    """Time constant of the decay of the largest request."""

    IDLE_TOKENS_PER_SECOND = 1e-3
    """A lower demand counts as zero."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._largest = 0.0
        self._updated_at = now

    def add(self, tokens: float, now: float) -> None:
        """Count a request of some tokens, whether it was admitted or not."""
        self._largest = max(self.largest(now), tokens)
        self._rate = self.rate(now) + tokens / self.RATE_TIME_CONSTANT_SECONDS
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the demand in tokens per second."""
        elapsed = now - self._updated_at
        rate = self._rate * math.exp(-elapsed / self.RATE_TIME_CONSTANT_SECONDS)
        return rate if rate > self.IDLE_TOKENS_PER_SECOND else 0.0

    def largest(self, now: float) -> float:
        """Return the decayed size of the largest recent request in tokens."""
        elapsed = now - self._updated_at
        return self._largest * math.exp(
            -elapsed / self.LARGEST_REQUEST_TIME_CONSTANT_SECONDS
        )
