"""Reports and states of backend servers, and orders to them."""

from __future__ import annotations

from typing import NamedTuple

READY = "ready"
LOADING = "loading"
UNLOADING = "unloading"


class Resident(NamedTuple):
    """An artifact in the memory of an engine."""

    artifact: str
    """`NAME@VERSION`."""
    mib: int
    state: str
    """`loading`, `ready` or `unloading`."""
    order_id: str = ""
    """Id of the order that loaded the artifact; empty if unknown."""


class LoadReport(NamedTuple):
    """Response to `GET /admin/load`."""

    seq: int
    """Report number; increases until the engine restarts."""
    age_seconds: float
    """Seconds since the engine measured the values."""
    running: int
    waiting: int
    slots: int
    memory_mib: int
    used_mib: int
    kv_used_mib: int
    resident: tuple[Resident, ...]
    role: str
    last_fence: int
    """Highest fencing number that the engine has seen."""
    applied_orders: frozenset[str]
    """Ids of the latest orders that the engine carried out."""
    refused_orders: frozenset[str]
    """Ids of the latest orders that the engine refused."""
    leaving: bool


class BackendState(NamedTuple):
    """Latest state of a backend server that this instance has received."""

    name: str
    as_of: float
    """Local monotonic time, in seconds, at which the values were measured. For a state
    from a peer, the time is too late by the transit time of the message."""
    running: int
    waiting: int
    slots: int
    resident: tuple[Resident, ...]
    used_mib: int
    leaving: bool
    healthy: bool
    seq: int

    def holds(self, artifact: str) -> bool:
        """Return whether an artifact is ready in memory."""
        return any(r.artifact == artifact and r.state == READY for r in self.resident)


class Order(NamedTuple):
    """An order to an engine, which carries out each order id at most once."""

    order_id: str
    fence: int
    action: str
    """`load`, `unload` or `role`."""
    artifact: str
    mib: int = 0
    base: str | None = None
    """Artifact of the base model, for adapters."""
    role: str = ""


class CacheEvent(NamedTuple):
    """A prompt prefix that was added to an engine's cache or removed from it."""

    seq: int
    kind: str
    """`stored` or `removed`."""
    artifact: str
    prefix: str


class CacheEvents(NamedTuple):
    """Response to `GET /admin/cache-events`."""

    events: tuple[CacheEvent, ...]
    first: int
    """Oldest sequence number that the engine still has."""
    last: int
    """Newest sequence number."""
