"""Chooses the backend server with the earliest first token for a prompt.

Prompts have from a few hundred to several thousand tokens, so the number of requests
is a poor measure of load: a backend server with three long prompts would look as idle
as one with three short ones. Pending work is therefore measured in prompt tokens that
still need prefill. Running requests count only for the delay that they add to each
step.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ._backend import BackendRecord
from ._load_view import Load
from ._request import GenerationSize

PREFILL_TOKENS_PER_SECOND = 25_000.0
"""Prefill speed of an engine; both deployments specify 25.8 tokens a millisecond."""

DELAY_PER_RUNNING_SECONDS = 0.004
"""Delay of a new request's first token for each running request: the share of that
request in the decoding steps between two prefill chunks."""

FULL_BATCH_DELAY_SECONDS = 0.5
"""Delay of a new request if the requests beyond the slots would fill another batch; the
delay is proportional to their number. A request beyond the slots starts only when
another one ends."""


def first_token_seconds(load: Load, slots: int, prompt_tokens: int) -> float:
    """Return the seconds until a new request would get its first token.

    >>> first_token_seconds(Load(0, 0), 32, 2500)
    0.1
    """
    prefill = (load.pending_prompt_tokens + prompt_tokens) / PREFILL_TOKENS_PER_SECOND
    queueing = (
        max(0, load.running + 1 - slots) / max(1, slots) * FULL_BATCH_DELAY_SECONDS
    )
    return prefill + load.running * DELAY_PER_RUNNING_SECONDS + queueing


def choose(
    size: GenerationSize,
    candidates: Iterable[tuple[BackendRecord, Load]],
) -> BackendRecord | None:
    """Return the candidate with the earliest first token, or None if there is none.

    The last shared part of a prompt, usually a session's, hashes to one backend
    server. The shared parts are assumed to be in its KV cache and need no prefill
    there.
    """
    best: BackendRecord | None = None
    best_seconds = float("inf")
    options = list(candidates)
    caching = _caching_backend(size, [backend.name for backend, _ in options])
    for backend, load in options:
        tokens = size.prompt_tokens
        if backend.name == caching:
            tokens -= sum(part.tokens for part in size.parts[:-1])
        seconds = first_token_seconds(load, backend.slots, max(0, tokens))
        if seconds < best_seconds:
            best, best_seconds = backend, seconds
    return best


def _caching_backend(size: GenerationSize, names: list[str]) -> str | None:
    """Return the backend server whose KV cache should hold the shared parts."""
    shared = size.parts[:-1]
    if not shared or not names:
        return None
    key = f"{size.artifact}/{shared[-1].part_id}/"
    return max(names, key=lambda name: xxhash.xxh3_64_intdigest((key + name).encode()))
