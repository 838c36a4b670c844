"""Emulated model engine: batching, memory, orders, prefix cache and streams."""

from __future__ import annotations

from ._answers import answer_tokens, expected_answer, prompt_of, tokens_in
from ._config import EngineConfig, Resident
from ._engine import FakeEngine

__all__ = [
    "EngineConfig",
    "FakeEngine",
    "Resident",
    "answer_tokens",
    "expected_answer",
    "prompt_of",
    "tokens_in",
]
