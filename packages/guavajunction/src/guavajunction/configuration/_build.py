"""Builds the configuration that the other aggregates read."""

from __future__ import annotations

from typing import Any

from ._model import (
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
from ._tables import Section, Sections


def build(version: int, sections: Sections) -> Configuration:
    """Build a configuration from sections that were checked.

    Args:
        version: Version at which the sections were accepted.
        sections: The whole document in its wire form.

    Returns:
        The configuration with each entry by its name, keys by digest.
    """
    models = sections["models"]
    return Configuration(
        version,
        {name: _customer(name, t) for name, t in sections["customers"].items()},
        {t["digest"]: KeyRecord(key_id, **t) for key_id, t in sections["keys"].items()},
        {name: _model(name, table) for name, table in models.items()},
        _adapters(models),
        {name: BackendServer(name, **t) for name, t in sections["backends"].items()},
        {name: _service(name, t) for name, t in sections["services"].items()},
        {name: Objective(name, **t) for name, t in sections["objectives"].items()},
    )


def _customer(name: str, table: dict[str, Any]) -> Customer:
    customer = Customer(name, **table)
    return customer._replace(models=tuple(customer.models))


def _model(name: str, table: dict[str, Any]) -> Model:
    own = {key: value for key, value in table.items() if key != "adapters"}
    return Model(name, **own)


def _adapters(models: Section) -> dict[str, Adapter]:
    return {
        name: Adapter(name, model=model, **adapter)
        for model, table in models.items()
        for name, adapter in table.get("adapters", {}).items()
    }


def _service(name: str, table: dict[str, Any]) -> Service:
    routes = tuple(_route(name, route) for route in table["routes"])
    return Service(name, table["pool"], routes)


def _route(service: str, table: dict[str, Any]) -> Route:
    route = Route(service, **table)
    return route._replace(methods=tuple(route.methods))
