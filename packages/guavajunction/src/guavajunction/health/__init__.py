"""Judges backend servers by their answers.

A package of its own, as processes that need nothing else of `backends` start sooner.
"""

from __future__ import annotations

from ._passive_health import PassiveHealth

__all__ = ["PassiveHealth"]
