"""Measures one customer's demand at one instance."""

from __future__ import annotations

import math


class DemandMeter:
    """Requested tokens per second and the largest request, with exponential decay."""

    TIME_CONSTANT_SECONDS = 2.0
    """Time constant of the decay of the demand."""

    LARGEST_TIME_CONSTANT_SECONDS = 60.0
    """Time constant of the decay of the largest request."""

    IDLE_TOKENS_A_SECOND = 1e-3
    """Demand below this rate counts as zero."""

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._largest = 0.0
        self._at = now

    def add(self, tokens: float, now: float) -> None:
        """Count a request of some tokens, whether it was admitted or not."""
        self._largest = max(self.largest(now), tokens)
        self._value = self.rate(now) + tokens / self.TIME_CONSTANT_SECONDS
        self._at = now

    def rate(self, now: float) -> float:
        """Return the demand in tokens per second."""
        elapsed = now - self._at
        value = self._value * math.exp(-elapsed / self.TIME_CONSTANT_SECONDS)
        return value if value > self.IDLE_TOKENS_A_SECOND else 0.0

    def largest(self, now: float) -> float:
        """Return the decayed size of the largest recent request in tokens."""
        elapsed = now - self._at
        return self._largest * math.exp(-elapsed / self.LARGEST_TIME_CONSTANT_SECONDS)
