"""Writes a document as TOML."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

from ._document import BASED_ON
from ._tables import SECTION_NAMES, Section, Sections

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


def write_toml(sections: Sections, based_on: dict[str, int]) -> str:
    """Return valid sections and their versions as TOML.

    Args:
        sections: The sections to write.
        based_on: Version of each section, written as the `based_on` table.

    >>> print(write_toml({"customers": {"a": {"rate": 1.5}}}, {"customers": 2}))
    [based_on]
    customers = 2
    <BLANKLINE>
    [customers.a]
    rate = 1.5
    <BLANKLINE>
    """
    lines = list(_table(BASED_ON, based_on)) if based_on else []
    for name in SECTION_NAMES:
        if name in sections:
            lines += _section(name, sections[name])
    return "\n".join(lines)


def _section(name: str, section: Section) -> Iterator[str]:
    if not section:
        yield from _table(name, {})
    for entry, table in section.items():
        yield from _table(f"{name}.{_format_key(entry)}", table)


def _table(path: str, table: dict[str, Any], brackets: str = "[]") -> Iterator[str]:
    yield f"{brackets[: len(brackets) // 2]}{path}{brackets[len(brackets) // 2 :]}"
    for key, value in table.items():
        if not _is_nested(value):
            yield f"{_format_key(key)} = {_format_value(value)}"
    yield ""
    for key, value in table.items():
        if isinstance(value, dict):
            for name, inner in value.items():
                yield from _table(
                    f"{path}.{_format_key(key)}.{_format_key(name)}", inner
                )
        elif _is_nested(value):
            for inner in value:
                yield from _table(f"{path}.{_format_key(key)}", inner, "[[]]")


def _is_nested(value: Any) -> bool:
    is_list_of_tables = (
        isinstance(value, list) and bool(value) and isinstance(value[0], dict)
    )
    return isinstance(value, dict) or is_list_of_tables


def _format_key(name: str) -> str:
    return name if _BARE_KEY.fullmatch(name) else _format_value(name)


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return f"[{', '.join(_format_value(item) for item in value)}]"
    return json.dumps(value, ensure_ascii=False)
