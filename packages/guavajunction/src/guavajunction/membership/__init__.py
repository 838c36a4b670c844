"""Membership of the fleet: member rows, views, standing and leases."""

from __future__ import annotations

from ._announcer import Announcement
from ._config import MembershipConfig
from ._lease import Lease, LeaseRow
from ._membership import Membership, OnChange
from ._protocols import Mesh
from ._rendezvous import owner

__all__ = [
    "Announcement",
    "Lease",
    "LeaseRow",
    "Membership",
    "MembershipConfig",
    "Mesh",
    "OnChange",
    "owner",
]
