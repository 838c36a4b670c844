"""What a backend server says about the requests that it takes."""

from __future__ import annotations

import math
from typing import NamedTuple


class LimitStatement(NamedTuple):
    """The limit of one backend server, as far as an instance knows it."""

    number: int
    """Counts the changes of the limit; the highest number is the newest."""
    rate: float | None
    """Requests a second from all instances together; None without a limit."""

    def is_newer_than(self, other: LimitStatement) -> bool:
        """Return whether this statement replaces another one.

        Two instances may learn of different changes at the same time. The lower limit
        holds until the next answer.

        >>> LimitStatement(2, None).is_newer_than(LimitStatement(1, 3.0))
        True
        >>> LimitStatement(2, 1.0).is_newer_than(LimitStatement(2, 3.0))
        True
        """
        if self.number != other.number:
            return self.number > other.number
        return _sort_key(self.rate) < _sort_key(other.rate)


NO_LIMIT = LimitStatement(0, None)
"""What is known of a backend server that has never named a limit."""


def _sort_key(rate: float | None) -> float:
    return math.inf if rate is None else rate
