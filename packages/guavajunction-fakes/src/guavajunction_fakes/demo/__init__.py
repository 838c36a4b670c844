"""Demos: small fleets that serve requests and check the answers."""

from __future__ import annotations

from ._demo import Demo
from ._platform_demo import PlatformDemo

__all__ = ["Demo", "PlatformDemo"]
