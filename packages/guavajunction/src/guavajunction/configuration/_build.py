"""Builds the typed configuration from the sections of a document."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Any

from ._model import (
    EMPTY_CONFIGURATION,
    Adapter,
    BackendServer,
    Configuration,
    Customer,
    KeyRecord,
    Model,
    Objective,
    Route,
    Service,
)
from ._tables import SECTION_NAMES, Section, Sections


def build(
    version: int,
    sections: Sections,
    *,
    previous: Configuration = EMPTY_CONFIGURATION,
    changed: Container[str] = SECTION_NAMES,
) -> Configuration:
    """Build a configuration from valid sections.

    Args:
        version: Version at which the sections were accepted.
        sections: The whole document in its wire form.
        previous: Configuration whose entries are reused for unchanged sections.
        changed: Names of the sections to rebuild.

    Returns:
        The configuration, with entries by name and keys by digest.
    """
    built = {
        field: make(sections[section])
        for field, section, make in _BUILDERS
        if section in changed
    }
    return previous._replace(version=version, **built)


def _customers(section: Section) -> dict[str, Customer]:
    return {name: _customer(name, table) for name, table in section.items()}


def _keys(section: Section) -> dict[str, KeyRecord]:
    return {t["digest"]: KeyRecord(key_id, **t) for key_id, t in section.items()}


def _models(section: Section) -> dict[str, Model]:
    return {name: _model(name, table) for name, table in section.items()}


def _adapters(section: Section) -> dict[str, Adapter]:
    return {
        name: Adapter(name, model=model, **adapter)
        for model, table in section.items()
        for name, adapter in table.get("adapters", {}).items()
    }


def _backends(section: Section) -> dict[str, BackendServer]:
    return {name: BackendServer(name, **table) for name, table in section.items()}


def _services(section: Section) -> dict[str, Service]:
    return {name: _service(name, table) for name, table in section.items()}


def _objectives(section: Section) -> dict[str, Objective]:
    return {name: Objective(name, **table) for name, table in section.items()}


def _customer(name: str, table: dict[str, Any]) -> Customer:
    customer = Customer(name, **table)
    return customer._replace(models=tuple(customer.models))


def _model(name: str, table: dict[str, Any]) -> Model:
    base_model = {key: value for key, value in table.items() if key != "adapters"}
    return Model(name, **base_model)


def _service(name: str, table: dict[str, Any]) -> Service:
    routes = tuple(_route(name, route) for route in table["routes"])
    return Service(name, table["pool"], routes)


def _route(service: str, table: dict[str, Any]) -> Route:
    route = Route(service, **table)
    return route._replace(methods=tuple(route.methods))


_BUILDERS: list[tuple[str, str, Callable[[Section], Any]]] = [
    ("customers", "customers", _customers),
    ("keys", "keys", _keys),
    ("models", "models", _models),
    ("adapters", "models", _adapters),
    ("backends", "backends", _backends),
    ("services", "services", _services),
    ("objectives", "objectives", _objectives),
]
"""For each field of `Configuration`: its name, its section and its builder."""
