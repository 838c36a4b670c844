"""Limits retries to a fraction of the requests, to avoid retry storms."""

from __future__ import annotations

import random


class RetryBudget:
    """Token bucket for retries: each request adds a fraction, each retry takes one.

    >>> budget = RetryBudget(random.Random(1))
    >>> budget.try_withdraw()
    True
    """

    RETRIES_PER_REQUEST = 0.1
    """Retries that each request adds to the budget."""
    MAX_BALANCE = 10.0
    """Maximum number of unused retries; also the initial balance."""
    MIN_BACKOFF_SECONDS = 0.01
    MAX_BACKOFF_SECONDS = 0.1

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._balance = self.MAX_BALANCE

    def deposit(self) -> None:
        """Add `RETRIES_PER_REQUEST` to the budget for an arrived request."""
        self._balance = min(self.MAX_BALANCE, self._balance + self.RETRIES_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Take one retry from the budget if the balance allows it.

        Returns:
            Whether the caller may retry.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def backoff(self) -> float:
        """Return a random backoff before the next retry, in seconds."""
        return self._rng.uniform(self.MIN_BACKOFF_SECONDS, self.MAX_BACKOFF_SECONDS)
