"""Settings of an emulated engine: speed, capacity, faults and checks."""

from __future__ import annotations

from typing import NamedTuple


class Resident(NamedTuple):
    """An artifact that is loaded when the engine starts."""

    artifact: str
    mib: int
    base: str | None = None
    """Artifact of the base model, for adapters."""


class EngineConfig(NamedTuple):
    """Settings of one emulated engine."""

    name: str = "engine"
    memory_mib: int = 24_000
    """Accelerator memory."""
    kv_reserve_mib: int = 4_000
    """Memory reserved for the KV cache, whether it is used or not."""
    slots: int = 16
    """Maximum number of requests in the batch."""
    max_waiting: int = 256
    """Maximum number of requests waiting for a slot; further ones get status 503."""
    prefill_tokens_per_second: float = 12_000.0
    prefill_chunk_tokens: int = 512
    """Maximum number of prompt tokens that one step computes."""
    step_seconds: float = 0.012
    """Duration of a decode step, apart from the time added by each request."""
    step_seconds_per_request: float = 0.0008
    """Time that each request in the batch adds to a decode step."""
    kv_mib_per_token: float = 0.25
    """KV cache memory of one token."""
    cached_share: float = 0.9
    """Fraction of a cached prefix's tokens that need no prefill."""
    cache_event_lag: float = 1.0
    """Seconds between a change of the prefix cache and the publication of its event."""
    cache_event_gap: int = 11
    """Interval at which events are lost: with 11, every 11th cache event is never
    published; 0 loses none."""
    load_report_every: float = 0.25
    """Interval in seconds at which the load is measured."""
    load_report_lag: float = 0.5
    """Seconds between a measurement and its publication."""
    weights_url: str = ""
    """URL of the weight store; empty to load without fetching."""
    load_seconds: float = 0.3
    """Time to move a base model into memory after its weights were fetched."""
    adapter_load_seconds: float = 0.002
    """Time to move an adapter into memory after its weights were fetched."""
    unload_seconds: float = 0.05
    """Time of an unload before it waits for the artifact's requests to end."""
    fetch_attempts: int = 40
    """Maximum number of attempts to fetch the weights for one load."""
    fetch_backoff_seconds: float = 0.4
    """Mean pause between two attempts to fetch weights."""
    checks_orders: bool = True
    """Whether an order with an old fencing number is refused."""
    checks_memory: bool = True
    """Whether a load that exceeds the memory is refused."""
    keep_streams_seconds: float = 60.0
    """Seconds from the first request of a stream during which it can be resumed."""
    preemption: bool = True
    """Whether a request may preempt running requests of lower priority."""
    residents: tuple[Resident, ...] = ()
    """Artifacts that are loaded when the engine starts."""
