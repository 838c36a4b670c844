"""Mappings of limited size, whose keys may come from outside."""

from __future__ import annotations

from typing import Any


def drop_oldest(entries: dict[Any, Any], maximum: int) -> None:
    """Remove the entries that were inserted first until at most `maximum` are left.

    >>> entries = {"a": 1, "b": 2, "c": 3}
    >>> drop_oldest(entries, 2)
    >>> entries
    {'b': 2, 'c': 3}
    """
    while len(entries) > maximum:
        del entries[next(iter(entries))]
