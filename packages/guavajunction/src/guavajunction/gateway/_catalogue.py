"""What the operator configures: routes, services, models and customers."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once."""
    STREAM = "stream"
    """A stream of events; runs at most once unless it may be resumed."""


class WeightedService(NamedTuple):
    """A service and its part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    timeout_seconds: float
    """Longest time that a caller is kept waiting for the whole answer."""
    target_seconds: float
    """Latency objective, for streams up to the first event."""
    patience_seconds: float
    """Time after which callers leave if no event has come; infinite if they stay."""
    priority: int
    """0 is the most urgent."""
    services: tuple[WeightedService, ...]
    max_attempts: int
    """Most backend servers that one request may be sent to."""
    open_to_all: bool
    """Whether no key is needed."""
    resumable: bool
    """Whether a stream may be resumed on another backend server."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.SAFE or self.resumable


class ModelSpec(NamedTuple):
    """A model that a service may load."""

    name: str
    memory_mb: float
    store_load_seconds: float
    """From the weight store."""
    disk_load_seconds: float
    """From the backend server's disk."""
    memory_load_seconds: float
    """From the backend server's main memory."""


class EngineSpec(NamedTuple):
    """What the model engines of a service have in common."""

    slots: int
    """Requests that run in one batch."""
    kv_tokens: int
    """Tokens that the KV cache holds."""
    memory_mb: float
    """Accelerator memory for weights and adapters."""
    adapter_slots: int
    loads_per_second: float
    """Loads from the weight store, all backend servers together."""
    adapter_mb: dict[str, float]
    """Size of one adapter, by model."""
    models: dict[str, ModelSpec]

    @property
    def adapter_reserve_mb(self) -> float:
        """Return the memory that every place for an adapter may take."""
        return self.adapter_slots * max(self.adapter_mb.values(), default=0.0)


class Service(NamedTuple):
    """A pool of backend servers of one kind."""

    name: str
    max_connections: int
    """Connections that one backend server takes from all callers."""
    engine: EngineSpec | None
    """None for a plain service."""


class Customer(NamedTuple):
    """A customer's keys, rank and rate limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    """Takes precedence over the route's, if set."""
    rate: float
    """Units a second; 0 means no limit."""
    burst: float
    """Units on top of the rate."""
    counts_tokens: bool
    """Whether a unit is a token; else it is a request."""
    plain_request_tokens: float
    """Tokens that a request without a token count stands for."""


class IngressLimits(NamedTuple):
    """Bounds on what a caller may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


class Catalogue(NamedTuple):
    """One accepted version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[Customer, ...]
    limits: IngressLimits
