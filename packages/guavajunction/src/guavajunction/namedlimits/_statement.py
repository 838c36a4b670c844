"""What a backend server says about the requests that it takes."""

from __future__ import annotations

import math
import re
from typing import NamedTuple

_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?|\.\d{1,12}", re.ASCII)


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


def parse_limit(text: str) -> float | None:
    """Return the limit that a backend server has named, or None if it is malformed.

    >>> parse_limit("1.6"), parse_limit(" 0 "), parse_limit(".5")
    (1.6, 0.0, 0.5)
    >>> [parse_limit(text) for text in ("", "-1", "nan", "1e9", "1,2", "many")]
    [None, None, None, None, None, None]
    """
    text = text.strip()
    return float(text) if _NUMBER.fullmatch(text) else None


def _sort_key(rate: float | None) -> float:
    return math.inf if rate is None else rate
