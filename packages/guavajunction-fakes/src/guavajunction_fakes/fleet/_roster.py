"""What a load tool or a test must know of a running fleet."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

from ._profiles import CustomerPlan, ObjectivePlan, ServicePlan


class CustomerAccess(NamedTuple):
    """A customer with the key that it calls with."""

    plan: CustomerPlan
    key: str


class Roster(NamedTuple):
    """Addresses and customers of a fleet; kept in `fleet.json`."""

    profile: str
    entries: list[str]
    """URLs."""
    engines: list[str]
    """URLs."""
    services: list[str]
    """URLs."""
    platform: dict[str, str]
    """URLs by name: table, objects, weights, instances."""
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
        """Accelerators of all engines."""
        return len(self.engines)

    def write(self, path: Path) -> None:
        """Write it as JSON, readable by its owner only."""
        path.touch(mode=0o600)
        path.write_text(json.dumps(self._asdict()), encoding="utf-8")


def read_roster(path: Path) -> Roster:
    """Read a roster that a launcher wrote."""
    raw: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    raw["service"] = ServicePlan(*raw["service"])
    raw["live"] = ObjectivePlan(*raw["live"])
    raw["batch"] = ObjectivePlan(*raw["batch"])
    raw["customers"] = [
        CustomerAccess(CustomerPlan(*plan), key) for plan, key in raw["customers"]
    ]
    return Roster(**raw)
