"""How fast, large and strict an emulated engine is."""

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
    kv_reserve_mib: int = 4_000
    """Memory set aside for KV cache at start, whatever is in it."""
    slots: int = 16
    """Requests in one batch."""
    max_waiting: int = 256
    """Requests that wait for a slot; one more is answered 503."""
    prefill_tokens_per_second: float = 12_000.0
    prefill_chunk_tokens: int = 512
    """Prompt tokens that one step computes at most."""
    step_seconds: float = 0.012
    """Time of a decode step with no request in it."""
    step_seconds_per_request: float = 0.0008
    kv_mib_per_token: float = 0.25
    cached_share: float = 0.9
    """Part of a cached prefix's tokens that need no prefill."""
    cache_event_lag: float = 1.0
    """Seconds until a cache event is published."""
    cache_event_gap: int = 11
    """Every such event is never published; 0 for none."""
    load_report_every: float = 0.25
    load_report_lag: float = 0.5
    """Seconds between a measurement and its publication."""
    weights_url: str = ""
    """Weight store; empty to load without one."""
    load_seconds: float = 0.3
    """Time to move a base model into memory after it was fetched."""
    adapter_load_seconds: float = 0.002
    unload_seconds: float = 0.05
    fetch_attempts: int = 40
    fetch_backoff_seconds: float = 0.4
    checks_orders: bool = True
    """Whether an order with an old fencing number is refused."""
    checks_memory: bool = True
    """Whether a load that does not fit is refused."""
    keep_streams_seconds: float = 60.0
    """How long a stream that was cut can be resumed."""
    preemption: bool = True
    """Whether a more urgent request takes the slot of a less urgent one."""
    residents: tuple[Resident, ...] = ()
