"""The HTTP server for callers and operators."""

from __future__ import annotations

from ._app import Front
from ._parts import FrontParts

__all__ = ["Front", "FrontParts"]
