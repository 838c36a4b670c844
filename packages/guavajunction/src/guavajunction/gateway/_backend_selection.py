"""Chooses a backend server for prompts of very different length.

Answers the load of mixed prompts, a few hundred to several thousand tokens each: by
the count of requests a backend server with three long prompts looks as idle as one
with three short ones. So the work ahead is measured in prompt tokens that are still
unread, and running requests count for the little that they slow each step.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ._backend import BackendRecord
from ._load_view import Load
from ._request import GenerationSize

PREFILL_TOKENS_PER_SECOND = 25_000.0
"""Prompt tokens that an engine reads a second: the sheets of both deployments say
25.8 a millisecond."""

DELAY_PER_RUNNING_SECONDS = 0.004
"""What a running request delays a new one's first token by: its share of the steps
that stand between two pieces of a prompt."""

FULL_BATCH_DELAY_SECONDS = 0.5
"""Added in proportion once the batch is full: the next request waits for an end."""


def first_token_seconds(load: Load, slots: int, prompt_tokens: int) -> float:
    """Return how long a new request would wait for its first token.

    >>> first_token_seconds(Load(0, 0), 32, 2500)
    0.1
    """
    reading = (load.pending_prompt_tokens + prompt_tokens) / PREFILL_TOKENS_PER_SECOND
    waiting = (
        max(0, load.running + 1 - slots) / max(1, slots) * FULL_BATCH_DELAY_SECONDS
    )
    return reading + load.running * DELAY_PER_RUNNING_SECONDS + waiting


def choose(
    size: GenerationSize,
    candidates: Iterable[tuple[BackendRecord, Load]],
) -> BackendRecord | None:
    """Return the candidate with the earliest first token, or None if there is none.

    Parts that requests share are kept on the backend server that a session's part
    hashes to, so that one counts as having them.
    """
    best: BackendRecord | None = None
    best_seconds = float("inf")
    options = list(candidates)
    home = _home(size, [backend.name for backend, _ in options])
    for backend, load in options:
        tokens = size.prompt_tokens
        if backend.name == home:
            tokens -= sum(part.tokens for part in size.parts[:-1])
        seconds = first_token_seconds(load, backend.slots, max(0, tokens))
        if seconds < best_seconds:
            best, best_seconds = backend, seconds
    return best


def _home(size: GenerationSize, names: list[str]) -> str | None:
    shared = size.parts[:-1]
    if not shared or not names:
        return None
    key = f"{size.artifact}/{shared[-1].part_id}/"
    return max(names, key=lambda name: xxhash.xxh3_64_intdigest((key + name).encode()))
