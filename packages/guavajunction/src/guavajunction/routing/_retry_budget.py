"""Bounds retries to a part of the requests, so that they cannot multiply a fault."""

from __future__ import annotations

import random


class RetryBudget:
    """Each request earns a part of a retry; each retry spends one.

    >>> budget = RetryBudget(random.Random(1))
    >>> budget.spend()
    True
    """

    RETRIES_PER_REQUEST = 0.1
    MAX_BALANCE = 10.0
    MIN_BACKOFF_SECONDS = 0.01
    MAX_BACKOFF_SECONDS = 0.1

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._balance = self.MAX_BALANCE

    def deposit(self) -> None:
        """Count a request that arrived."""
        self._balance = min(self.MAX_BALANCE, self._balance + self.RETRIES_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Take one retry if the budget has one.

        Returns:
            Whether the retry may be made.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def backoff(self) -> float:
        """Return the seconds to wait before the retry, with jitter."""
        return self._rng.uniform(self.MIN_BACKOFF_SECONDS, self.MAX_BACKOFF_SECONDS)
