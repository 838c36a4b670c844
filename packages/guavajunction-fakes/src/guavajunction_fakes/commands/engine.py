"""Runs one model engine by default; has the same flags as ``engines``."""

from __future__ import annotations

from .engines import define, run

__all__ = ["define", "run"]
