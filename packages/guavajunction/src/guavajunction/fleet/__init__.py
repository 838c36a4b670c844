"""Discovery of the fleet's instances, and hubs that relay state to followers."""

from __future__ import annotations

from ._fleet_keys import keep_keys, obtain_keys
from ._hubs import Candidate, FleetShape
from ._messages import HubStatus, RowsNotice
from ._nearness import choose_fronts
from ._relay import Relay
from ._relayed_feed import RelayedFeed
from ._relayed_rows import ReadRows
from ._roster import KnownMember, Member, Roster
from ._silent_instances import FleetView, SilentInstance, SilentInstances
from ._store_roster import InstanceEntry, ListedInstance, StoreRoster

__all__ = [
    "Candidate",
    "FleetShape",
    "FleetView",
    "HubStatus",
    "InstanceEntry",
    "KnownMember",
    "ListedInstance",
    "Member",
    "ReadRows",
    "Relay",
    "RelayedFeed",
    "Roster",
    "RowsNotice",
    "SilentInstance",
    "SilentInstances",
    "StoreRoster",
    "choose_fronts",
    "keep_keys",
    "obtain_keys",
]
