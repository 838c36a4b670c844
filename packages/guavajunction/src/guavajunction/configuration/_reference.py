"""Generates the reference page of the configuration document from its types.

Run ``python -m guavajunction.configuration._reference`` to print the page.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, get_args

from ._model import Adapter, BackendServer, Customer, Model, Objective, Route
from ._shape import Field, fields, type_name
from ._tables import (
    SECTION_TABLES,
    AdapterTable,
    BackendTable,
    CustomerTable,
    ModelTable,
    ObjectiveTable,
    RouteTable,
    Section,
)

_INTRODUCTION = """\
# The configuration document

One TOML document contains everything that operators change while the fleet runs.
Different teams may own its sections: a file may contain only some of them, and the
sections that are missing from the file are not changed. `guavactl validate FILE` lists
every fault with its path. docs/reference/example-configuration.toml is a complete
document.

An optional table `[based_on]` gives, for each section, the version from which the text
was edited; `guavactl document` prints the accepted document with this table. If another
operator has changed a section since that version, the document is refused with a
conflict. A section whose content is the same as in that version is not changed.

A name has at most 64 characters: letters, digits, `.`, `_` and `-`. The first is a
letter or a digit.
"""

_RULES = """\
## Rules between entries

- A customer's `burst` is at least its `rate`; all models and adapters in its `models`
  exist.
- A key belongs to a customer that exists; no two keys have the same digest.
- No two models or adapters have the same name.
- No two backend servers have the same address. The `memory_mib` of an engine is above
  its `kv_reserve_mib`; that of a service is 0.
- A service's pool has a backend server of kind `service`. No two routes of a service
  share a prefix and a method. The longest prefix that matches a path applies, with its
  methods only.
- `live` and `batch` are the only objectives; both are required if there are models.
- Each pool has enough memory for the artifacts that must be loaded: each model on
  `min_replicas` engines, and each adapter once, on an engine with its model. The memory
  of an engine is `memory_mib` minus `kv_reserve_mib`; engines that are leaving don't
  count. The refusal shows the sums. A document is also refused if the sums are
  sufficient but none of four first-fit-decreasing placements fits.
"""

_HEADINGS: dict[str, str] = {
    "customers": "`[customers.NAME]`",
    "keys": "`[keys.KEY_ID]`",
    "models": "`[models.NAME]`",
    "backends": "`[backends.NAME]`",
    "services": "`[services.NAME]`",
    "objectives": "`[objectives.live]`, `[objectives.batch]`",
}
_NESTED = {
    "models": (AdapterTable, "`[models.NAME.adapters.NAME]`"),
    "services": (RouteTable, "`[[services.NAME.routes]]`"),
}
_DEFAULTS: dict[type, dict[str, Any]] = {
    CustomerTable: Customer._field_defaults,
    ModelTable: Model._field_defaults,
    AdapterTable: Adapter._field_defaults,
    BackendTable: BackendServer._field_defaults,
    RouteTable: Route._field_defaults,
    ObjectiveTable: Objective._field_defaults,
}


def reference_page() -> str:
    """Return the whole page in Markdown."""
    blocks = [_INTRODUCTION]
    for section, table in SECTION_TABLES.items():
        blocks.append(_table_block(f"## {_HEADINGS[section]}", table))
        if section in _NESTED:
            nested, heading = _NESTED[section]
            blocks.append(_table_block(f"### {heading}", nested))
    return "\n".join([*blocks, _RULES])


def _table_block(heading: str, table: type) -> str:
    lines = [heading, "", table.__doc__ or "", ""]
    lines += ["| key | type | default | meaning |", "| --- | --- | --- | --- |"]
    lines += _rows(table)
    return "\n".join(lines) + "\n"


def _rows(table: type) -> Iterator[str]:
    defaults: Section = _DEFAULTS.get(table, {})
    for field in fields(table).values():
        default = "required" if field.required else _default(defaults, field.name)
        yield f"| `{field.name}` | {_type(field)} | {default} | {field.rule.meaning} |"


def _type(field: Field) -> str:
    limits = field.rule.limits()
    type_text = type_name(field.type)
    if "list" in type_text and get_args(field.type) and field.rule.at_least:
        return f"{type_text}, {limits} long"
    return f"{type_text}, {limits}" if limits else type_text


def _default(defaults: Section, name: str) -> str:
    value = defaults.get(name, ())
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, (int, float)) else "none"


if __name__ == "__main__":
    print(reference_page(), end="")
