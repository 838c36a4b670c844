"""How much a customer asks of one instance."""

from __future__ import annotations

import math


class DemandMeter:
    """Tokens a second that were asked for lately, with exponential decay."""

    TIME_CONSTANT_SECONDS = 2.0
    LARGEST_TIME_CONSTANT_SECONDS = 60.0
    IDLE_TOKENS_A_SECOND = 1e-3
    """Below this the demand counts as none."""

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._largest = 0.0
        self._at = now

    def add(self, tokens: float, now: float) -> None:
        """Count a request, whether it was admitted or not."""
        self._largest = max(self.largest(now), tokens)
        self._value = self.rate(now) + tokens / self.TIME_CONSTANT_SECONDS
        self._at = now

    def rate(self, now: float) -> float:
        """Return the demand in tokens a second."""
        elapsed = now - self._at
        value = self._value * math.exp(-elapsed / self.TIME_CONSTANT_SECONDS)
        return value if value > self.IDLE_TOKENS_A_SECOND else 0.0

    def largest(self, now: float) -> float:
        """Return the tokens of the largest request of late."""
        elapsed = now - self._at
        return self._largest * math.exp(-elapsed / self.LARGEST_TIME_CONSTANT_SECONDS)
