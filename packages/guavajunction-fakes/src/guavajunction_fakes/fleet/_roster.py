"""Addresses, keys and customers of a running fleet, for load tools and tests."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

from ._profiles import CustomerPlan, ObjectivePlan, ServicePlan


class CustomerAccess(NamedTuple):
    """A customer with its API key."""

    plan: CustomerPlan
    key: str


class Roster(NamedTuple):
    """Addresses, customers and keys of a fleet; the launcher writes `fleet.json`."""

    profile: str
    entries: list[str]
    """URLs of the entry instances."""
    engines: list[str]
    """URLs of the model engines."""
    services: list[str]
    """URLs of the plain service's servers."""
    platform: dict[str, str]
    """URLs of the platform stand-ins by name: table, objects, weights, instances."""
    data_centres: list[str]
    models: list[str]
    """Names of models and adapters."""
    service: ServicePlan
    live: ObjectivePlan
    batch: ObjectivePlan
    customers: list[CustomerAccess]
    operator_token: str

    @property
    def accelerators(self) -> int:
        """Total accelerators of the engines, one for each engine."""
        return len(self.engines)

    def write(self, path: Path) -> None:
        """Write the roster as JSON to a file that only its owner may read.

        The file contains customer keys and the operator token.
        """
        path.touch(mode=0o600)
        path.write_text(json.dumps(self._asdict()), encoding="utf-8")


def read_roster(path: Path) -> Roster:
    """Read a roster from a file that `Roster.write` wrote."""
    raw: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    raw["service"] = ServicePlan(*raw["service"])
    raw["live"] = ObjectivePlan(*raw["live"])
    raw["batch"] = ObjectivePlan(*raw["batch"])
    raw["customers"] = [
        CustomerAccess(CustomerPlan(*plan), key) for plan, key in raw["customers"]
    ]
    return Roster(**raw)
