"""Directory of the entry instances that a caller should use."""

from __future__ import annotations

from ._directory import Directory, DirectoryEntry

__all__ = ["Directory", "DirectoryEntry"]
