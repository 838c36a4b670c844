"""Renders the configuration document of a fleet profile in TOML."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from ._profiles import FleetProfile, ModelPlan


class BackendAddress(NamedTuple):
    """Name, address and data centre of a backend server of the fleet."""

    name: str
    address: str
    """`host:port`."""
    data_centre: str
    checks_orders: bool = False
    """Whether the engine rejects orders with an outdated fencing number."""


def render_document(
    profile: FleetProfile,
    engines: list[BackendAddress],
    services: list[BackendAddress],
) -> str:
    """Return the configuration document of a fleet in TOML.

    Args:
        profile: Models, customers, service and objectives.
        engines: Addresses of the model engines.
        services: Addresses of the plain service's servers.

    Returns:
        The document without customer keys, which are issued after it is accepted.
    """
    tables = [
        *_customers(profile),
        *_models(profile),
        *_engines(profile, engines),
        *_services(profile, services),
        _toml_table("objectives.live", **profile.live._asdict()),
        _toml_table("objectives.batch", **profile.batch._asdict()),
    ]
    return "\n".join(tables)


def _toml_table(name: str, *, brackets: str = "[]", **values: Any) -> str:
    """Return one TOML table.

    Values are written as JSON, since TOML has the same syntax for scalars and lists of
    strings.

    Args:
        name: Dotted name of the table.
        brackets: Brackets around the name: `[]`, or `[[]]` for an array of tables.
        values: Keys and values.
    """
    half = len(brackets) // 2
    header = f"{brackets[:half]}{name}{brackets[half:]}"
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join([header, *lines, ""])


def _customers(profile: FleetProfile) -> Iterator[str]:
    for customer in profile.customers:
        yield _toml_table(
            f"customers.{customer.name}", rate=customer.rate, burst=customer.burst
        )


def _models(profile: FleetProfile) -> Iterator[str]:
    for model in profile.models:
        yield _toml_table(
            f"models.{model.name}",
            version=model.version,
            pool=profile.pool,
            memory_mib=model.memory_mib,
        )
        yield from _adapters(model)


def _adapters(model: ModelPlan) -> Iterator[str]:
    for name, mib in model.adapters.items():
        path = f"models.{model.name}.adapters.{name}"
        yield _toml_table(path, version="1", memory_mib=mib)


def _engines(profile: FleetProfile, engines: list[BackendAddress]) -> Iterator[str]:
    for engine in engines:
        yield _toml_table(
            f"backends.{engine.name}",
            kind="engine",
            address=engine.address,
            data_centre=engine.data_centre,
            pool=profile.pool,
            accelerators=1,
            memory_mib=profile.engine_memory_mib,
            kv_reserve_mib=profile.kv_reserve_mib,
            slots=profile.slots,
            checks_orders=engine.checks_orders,
        )


def _services(profile: FleetProfile, servers: list[BackendAddress]) -> Iterator[str]:
    plan = profile.service
    for server in servers:
        yield _toml_table(
            f"backends.{server.name}",
            kind="service",
            address=server.address,
            data_centre=server.data_centre,
            pool=plan.name,
        )
    yield _toml_table(f"services.{plan.name}", pool=plan.name)
    yield _toml_table(
        f"services.{plan.name}.routes",
        brackets="[[]]",
        prefix=plan.read_prefix,
        methods=["GET"],
        idempotent=True,
        open_to_all=True,
    )
    yield _toml_table(
        f"services.{plan.name}.routes",
        brackets="[[]]",
        prefix=plan.change_prefix,
        methods=[plan.change_method],
        idempotent=False,
        cost=10.0,
    )
