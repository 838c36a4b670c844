"""The operator's configuration: routes, services, models and customers."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from guavajunction.intake import ColdLimit


class RequestKind(StrEnum):
    """Whether requests of a route may be retried."""

    SAFE = "safe"
    """Idempotent; may run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once, so it is not retried after it may have run."""
    STREAM = "stream"
    """A stream of events; runs at most once unless it may be resumed."""


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for the requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    timeout_seconds: float
    """Time limit for the complete answer."""
    target_seconds: float
    """Latency objective, for streams up to the first event."""
    patience_seconds: float
    """Time after which callers disconnect if no event has arrived; infinite if they
    never do."""
    priority: int
    """0 is the most urgent."""
    services: tuple[WeightedService, ...]
    max_attempts: int
    """Maximum number of backend servers that one request may be sent to."""
    open_to_all: bool
    """Whether requests without a key are accepted."""
    resumable: bool
    """Whether a stream may be resumed on another backend server."""
    homes: frozenset[str] = frozenset()
    """Regions whose backend servers may run its requests; empty for all."""

    @property
    def retryable(self) -> bool:
        """Return whether a request may be retried after it may have run."""
        return self.kind is RequestKind.SAFE or self.resumable


class ModelSpec(NamedTuple):
    """A model that a service may load."""

    name: str
    memory_mb: float
    store_load_seconds: float
    """Time to load the weights from the weight store."""
    disk_load_seconds: float
    """Time to load the weights from the backend server's disk."""
    memory_load_seconds: float
    """Time to load the weights from the backend server's main memory."""


class EngineSpec(NamedTuple):
    """Properties shared by all model engines of a service."""

    slots: int
    """Requests that run in one batch."""
    kv_tokens: int
    """Capacity of the KV cache in tokens."""
    memory_mb: float
    """Accelerator memory for weights and adapters."""
    adapter_slots: int
    loads_per_second: float
    """Limit on loads from the weight store by all backend servers together."""
    adapter_mb: dict[str, float]
    """Size of one adapter, by model."""
    models: dict[str, ModelSpec]

    @property
    def adapter_reserve_mb(self) -> float:
        """Return the memory to reserve for adapters: all slots with the largest one."""
        return self.adapter_slots * max(self.adapter_mb.values(), default=0.0)


class Service(NamedTuple):
    """A pool of identical backend servers."""

    name: str
    max_connections: int
    """Connections that one backend server accepts in total."""
    engine: EngineSpec | None
    """None for a plain service."""
    cold: ColdLimit = ColdLimit(0.0)
    """Limit of each backend server while it is cold."""


class Customer(NamedTuple):
    """A customer's keys, priority and rate limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    """Overrides the priority of the route, if set."""
    rate: float
    """Units a second; 0 means no limit."""
    burst: float
    """Capacity of the token bucket in units."""
    counts_tokens: bool
    """Whether a unit is one token; otherwise it is one request."""
    plain_request_tokens: float
    """Tokens charged for a request without a token count."""
    homes: frozenset[str] = frozenset()
    """Regions whose backend servers may run its requests; empty for all."""


class IngressLimits(NamedTuple):
    """Limits on the size and duration of incoming requests."""

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

    @property
    def has_homes(self) -> bool:
        """Return whether any route or customer names regions."""
        return any(one.homes for one in (*self.routes, *self.customers))
