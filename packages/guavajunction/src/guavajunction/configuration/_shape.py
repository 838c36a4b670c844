"""Checks the keys, types and limits of a section against its typed table."""

from __future__ import annotations

import math
from collections.abc import Iterator
from functools import cache
from typing import (
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

from ._fault import Fault
from ._rule import NAME, Rule
from ._tables import SECTION_TABLES

_MAX_SHOWN_CHARACTERS = 60
_NOTHING = "nothing"
_TYPE_NAMES = {
    float: "a number",
    int: "a whole number",
    bool: "true or false",
    str: "text",
}


class Field(NamedTuple):
    """One key of a table."""

    name: str
    type: Any
    """Type of the value, without its annotations."""
    required: bool
    rule: Rule


@cache
def fields(table: type) -> dict[str, Field]:
    """Return the fields of a typed table, by key."""
    hints = get_type_hints(table, include_extras=True)
    return {name: _field(name, hint) for name, hint in hints.items()}


def _field(name: str, hint: Any) -> Field:
    required = get_origin(hint) is not NotRequired
    annotated = hint if required else get_args(hint)[0]
    kind, rule = get_args(annotated)
    return Field(name, kind, required, rule)


def type_name(kind: Any) -> str:
    """Return the name of a type as text for a fault.

    >>> type_name(list[str]), type_name(Literal["live", "batch"])
    ('a list of text', 'one of `live`, `batch`')
    """
    if kind in _TYPE_NAMES:
        return _TYPE_NAMES[kind]
    origin = get_origin(kind)
    if origin is Literal:
        return "one of " + ", ".join(f"`{value}`" for value in get_args(kind))
    if origin is list:
        return f"a list of {type_name(get_args(kind)[0])}"
    return "a table" if is_typeddict(kind) else "a table of tables"


def format_value(path: str, value: Any) -> str:
    """Return a value as text for a fault; texts under `keys` are masked."""
    if isinstance(value, dict):
        return "a table"
    if path.startswith("keys.") and isinstance(value, str):
        return f"text of {len(value)} characters"
    text = repr(value) if isinstance(value, str) else str(value)
    if isinstance(value, bool):
        text = text.lower()
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "..."


def section_faults(section: str, value: Any) -> Iterator[Fault]:
    """Yield every fault in the shape of one section."""
    yield from _tables_faults(section, value, SECTION_TABLES[section])


def _tables_faults(path: str, value: Any, table: type) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, format_value(path, value), "a table of tables")
        return
    for name, entry in value.items():
        item_path = f"{path}.{name}"
        if not NAME.matches(name):
            yield Fault(item_path, format_value("", name), NAME.description)
        yield from _table_faults(item_path, entry, table)


def _table_faults(path: str, value: Any, table: type) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, format_value(path, value), "a table")
        return
    known = fields(table)
    for key in sorted(value.keys() - known.keys()):
        yield Fault(f"{path}.{key}", "unknown key", "one of " + ", ".join(known))
    for field in known.values():
        if field.name in value:
            yield from _value_faults(f"{path}.{field.name}", value[field.name], field)
        elif field.required:
            yield Fault(f"{path}.{field.name}", _NOTHING, type_name(field.type))


def _value_faults(path: str, value: Any, field: Field) -> Iterator[Fault]:
    origin = get_origin(field.type)
    if origin is dict:
        yield from _tables_faults(path, value, get_args(field.type)[1])
    elif origin is list:
        yield from _list_faults(path, value, field)
    else:
        yield from _scalar_faults(path, value, field.type, field.rule)


def _list_faults(path: str, value: Any, field: Field) -> Iterator[Fault]:
    if not isinstance(value, list):
        yield Fault(path, format_value(path, value), type_name(field.type))
        return
    if field.rule.at_least is not None and len(value) < field.rule.at_least:
        yield Fault(path, f"{len(value)} items", f"{field.rule.limits()} items")
    item_type = get_args(field.type)[0]
    item_rule = Rule("", text_format=field.rule.text_format)
    for index, item in enumerate(value):
        item_path = f"{path}[{index}]"
        if is_typeddict(item_type):
            yield from _table_faults(item_path, item, item_type)
        elif item in value[:index]:
            yield Fault(
                item_path, f"{format_value(item_path, item)} again", "each value once"
            )
        else:
            yield from _scalar_faults(item_path, item, item_type, item_rule)


def _scalar_faults(path: str, value: Any, kind: Any, rule: Rule) -> Iterator[Fault]:
    if not _has_type(value, kind):
        yield Fault(path, format_value(path, value), type_name(kind))
    elif not _within_limits(value, rule):
        yield Fault(path, format_value(path, value), rule.limits())


def _has_type(value: Any, kind: Any) -> bool:
    if get_origin(kind) is Literal:
        return isinstance(value, str) and value in get_args(kind)
    if kind is float:
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        return number and math.isfinite(value)
    return type(value) is kind


def _within_limits(value: Any, rule: Rule) -> bool:
    if rule.above is not None:
        return value > rule.above
    if rule.at_least is not None:
        return value >= rule.at_least
    return rule.text_format is None or rule.text_format.matches(value)
