"""Launches a fleet and its stand-ins on one machine, for development only."""

from __future__ import annotations

from ._fleet import Fleet
from ._process import FleetProcess, Usage
from ._profiles import (
    PROFILES,
    CustomerPlan,
    FleetProfile,
    ModelPlan,
    ObjectivePlan,
    get_profile,
)
from ._roster import CustomerAccess, Roster, read_roster

__all__ = [
    "PROFILES",
    "CustomerAccess",
    "CustomerPlan",
    "Fleet",
    "FleetProcess",
    "FleetProfile",
    "ModelPlan",
    "ObjectivePlan",
    "Roster",
    "Usage",
    "get_profile",
    "read_roster",
]
