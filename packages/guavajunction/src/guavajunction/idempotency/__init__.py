"""Runs requests with an idempotency key at most once."""

from __future__ import annotations

from ._claim import Claim
from ._members import Members
from ._model import RecordedAnswer
from ._registry import IdempotencyRegistry

__all__ = ["Claim", "IdempotencyRegistry", "Members", "RecordedAnswer"]
