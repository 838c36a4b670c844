"""A guided run of a small fleet."""

from __future__ import annotations

from ._demo import Demo

__all__ = ["Demo"]
