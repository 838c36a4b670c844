"""HTTP connections that never let an incomplete body pass for a complete one."""

from __future__ import annotations

from ._unframed_response import UnframedResponse

__all__ = ["UnframedResponse"]
