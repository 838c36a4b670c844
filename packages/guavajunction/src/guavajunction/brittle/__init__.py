"""Shares out the slots of backend servers that fall over if they reject requests."""

from __future__ import annotations

from ._desk import PlaceDesk, PlaceKey, PlaceQuestion
from ._places import BrittlePlaces

__all__ = ["BrittlePlaces", "PlaceDesk", "PlaceKey", "PlaceQuestion"]
