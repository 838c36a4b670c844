"""Claims that make non-idempotent requests run at most once."""

from __future__ import annotations

from guavajunction.once._claim import Claim
from guavajunction.once._members import Members
from guavajunction.once._model import RecordedAnswer
from guavajunction.once._register import OnceRegister

__all__ = ["Claim", "Members", "OnceRegister", "RecordedAnswer"]
