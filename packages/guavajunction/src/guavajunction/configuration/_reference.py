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

One TOML document holds everything that operators decide. Each section may be owned
by another team: a file may hold only some of the sections, and those that it lacks
stay as they are. `guavactl validate FILE` names every fault at once, by its path.
docs/reference/example-configuration.toml is a whole document.

A table `[based_on]` may name the version of each section that the text was edited
from; `guavactl document` prints the accepted document with it. A section that
another operator has changed since that version is then a conflict. Sections whose text
is the same as at that version are not changed.

Names are letters, digits, `.`, `_` or `-`, at most 64, the first a letter or digit.
"""

_RULES = """\
## Rules between entries

- A customer's `burst` is at least its `rate`; its `models` exist.
- A key belongs to a customer that exists; no two keys have the same digest.
- No two models or adapters have the same name.
- No two backend servers have the same address. An engine has memory, more than its
  `kv_reserve_mib`; a service has none.
- A service's pool has a backend server of kind `service`. No two routes of a service
  share a prefix and a method. The longest prefix that matches a path decides, and
  its methods alone apply.
- `live` and `batch` are the only objectives; both are needed once there are models.
- Each pool has memory for the artifacts that must be resident: `min_replicas` of each
  model, on as many engines, and each adapter once beside its model. The memory of an
  engine is `memory_mib` less `kv_reserve_mib`; engines that are leaving don't count.
  The refusal gives the sums. A document is also refused if the sums are sufficient,
  but none of four first-fit-decreasing placements fits.
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
