"""Plain-text tables and times."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

_COLUMN_GAP = "  "


def render_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows in aligned columns under headings.

    >>> print(render_table(["name", "version"], [["a", 12], ["bcdef", None]]))
    NAME   VERSION
    a      12
    bcdef  -
    """
    cells = [[heading.upper() for heading in headings]]
    cells += [[_cell(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(_line(line, widths) for line in cells)


def render_time(seconds: float) -> str:
    """Format a Unix time as date and time of day in UTC.

    >>> render_time(0)
    '1970-01-01 00:00:00'
    """
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _line(line: list[str], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
    return _COLUMN_GAP.join(padded).rstrip()


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (list, tuple)):
        return ", ".join(map(_cell, value))
    return str(value)
