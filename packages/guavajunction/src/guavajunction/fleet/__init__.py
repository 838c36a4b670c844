"""The instances that serve together, found through the store and each other."""

from __future__ import annotations

from ._fleet_keys import obtain_keys
from ._nearness import choose_fronts
from ._roster import Member, Roster
from ._store_roster import InstanceEntry, StoreRoster

__all__ = [
    "InstanceEntry",
    "Member",
    "Roster",
    "StoreRoster",
    "choose_fronts",
    "obtain_keys",
]
