"""Runs one model engine; the flags are those of ``engines``."""

from __future__ import annotations

from .engines import define, run

__all__ = ["define", "run"]
