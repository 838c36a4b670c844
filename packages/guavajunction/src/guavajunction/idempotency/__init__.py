"""Claims that make non-idempotent requests run at most once."""

from __future__ import annotations

from ._claim import Claim
from ._members import Members
from ._model import RecordedAnswer
from ._registry import OnceRegister

__all__ = ["Claim", "Members", "OnceRegister", "RecordedAnswer"]
