"""Differences between two documents."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from ._tables import Sections


class Difference(NamedTuple):
    """One value that differs between two documents."""

    path: str
    """Path of the value, as `section.entry.key`."""
    before: Any
    """Value in the first document, None if absent."""
    after: Any
    """Value in the second document, None if absent."""


def differences(before: Sections, after: Sections) -> list[Difference]:
    """Return the values that differ, sorted by path. Digests of keys are masked.

    >>> differences({"customers": {}}, {"customers": {"a": {"rate": 1.0}}})
    [Difference(path='customers.a.rate', before=None, after=1.0)]
    """
    old, new = dict(_flatten("", before)), dict(_flatten("", after))
    return [
        Difference(
            path,
            _visible_value(path, old.get(path)),
            _visible_value(path, new.get(path)),
        )
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten(f"{path}.{key}" if path else key, inner)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for index, inner in enumerate(value):
            yield from _flatten(f"{path}[{index}]", inner)
    else:
        yield path, value


def _visible_value(path: str, value: Any) -> Any:
    hidden = path.startswith("keys.") and path.endswith(".digest")
    return "(digest)" if hidden and value is not None else value
