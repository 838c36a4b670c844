"""Decodes a time that a backend server names."""

from __future__ import annotations

import re

_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?|\.\d{1,12}", re.ASCII)


def parse_seconds(text: str) -> float | None:
    """Return a time in seconds, or None if it is malformed.

    >>> parse_seconds("2"), parse_seconds(" 0.25 "), parse_seconds(".5")
    (2.0, 0.25, 0.5)
    >>> [parse_seconds(text) for text in ("", "-1", "nan", "1e9", "1, 2", "soon")]
    [None, None, None, None, None, None]
    """
    text = text.strip()
    return float(text) if _NUMBER.fullmatch(text) else None
