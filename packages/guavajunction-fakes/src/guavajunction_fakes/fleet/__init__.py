"""Launcher of a whole fleet on one machine, for development only."""

from __future__ import annotations

from ._fleet import Fleet
from ._profiles import (
    PROFILES,
    CustomerPlan,
    FleetProfile,
    ModelPlan,
    ObjectivePlan,
    profile_named,
)
from ._roster import CustomerAccess, Roster, read_roster

__all__ = [
    "PROFILES",
    "CustomerAccess",
    "CustomerPlan",
    "Fleet",
    "FleetProfile",
    "ModelPlan",
    "ObjectivePlan",
    "Roster",
    "profile_named",
    "read_roster",
]
