"""Passive health checks of backend servers.

This is a separate package from `backends` because processes that need nothing else
of `backends` start faster without importing it.
"""

from __future__ import annotations

from ._passive_health import PassiveHealth

__all__ = ["PassiveHealth"]
