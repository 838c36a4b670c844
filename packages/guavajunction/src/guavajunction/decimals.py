"""Decodes decimal numbers that backend servers write into headers."""

from __future__ import annotations

import re

_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?|\.\d{1,12}", re.ASCII)


def parse_decimal(text: str) -> float | None:
    """Return a number that is not negative, or None if it is malformed.

    >>> parse_decimal("1.6"), parse_decimal(" 0 "), parse_decimal(".5")
    (1.6, 0.0, 0.5)
    >>> [parse_decimal(t) for t in ("", "-1", "nan", "1e9", "1,2", "1, 2", "many")]
    [None, None, None, None, None, None, None]
    """
    text = text.strip()
    return float(text) if _NUMBER.fullmatch(text) else None
