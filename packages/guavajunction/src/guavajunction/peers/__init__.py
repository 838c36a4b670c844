"""Links between instances."""

from __future__ import annotations

from ._protocols import Handler, Links, PeerId

__all__ = ["Handler", "Links", "PeerId"]
