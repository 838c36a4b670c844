"""Data centres that the operator has evacuated: their servers get no requests."""

from __future__ import annotations

from ._evacuations import Evacuations

__all__ = ["Evacuations"]
