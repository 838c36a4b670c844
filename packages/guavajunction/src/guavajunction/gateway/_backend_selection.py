"""Chooses the backend server with the earliest first token for a prompt.

Prompts have from a few hundred to several thousand tokens, so the number of requests
is a poor measure of load: a backend server with three long prompts would look as idle
as one with three short ones. Pending work is therefore measured in prompt tokens that
still need prefill. Running requests count only for the delay that they add to each
step. `ServerSpeeds` estimates how long both take; the figures here are its priors.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

from ._backend import BackendRecord
from ._load_view import Load
from ._request import GenerationSize

PREFILL_TOKENS_PER_SECOND = 25_000.0
"""Prior of an engine's prefill speed; deployments specify 19.2 to 38.4 tokens a
millisecond."""

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
    queueing = beyond_slots(load, slots) * FULL_BATCH_DELAY_SECONDS
    return prefill + load.running * DELAY_PER_RUNNING_SECONDS + queueing


def beyond_slots(load: Load, slots: int) -> float:
    """Return the requests beyond the slots with a new one, in batches.

    >>> beyond_slots(Load(39, 0), 32)
    0.25
    """
    return max(0, load.running + 1 - slots) / max(1, slots)


FirstEventEstimate = Callable[[BackendRecord, int, Load], float]
"""Returns the seconds until the first event, given the backend server, the prompt
tokens that need prefill there and its load."""


def by_fixed_figures(backend: BackendRecord, prompt_tokens: int, load: Load) -> float:
    """Estimate a first event without regard to the speed of the backend server."""
    return first_token_seconds(load, backend.slots, prompt_tokens)


def choose(
    size: GenerationSize,
    candidates: Iterable[tuple[BackendRecord, Load]],
    estimate: FirstEventEstimate = by_fixed_figures,
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
        seconds = estimate(backend, max(0, tokens), load)
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
