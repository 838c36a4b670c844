"""Backend servers as they report themselves."""

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
    """The order that loaded it."""


class LoadReport(NamedTuple):
    """One answer to `GET /admin/load`."""

    seq: int
    """Rises with each report of one run of the engine."""
    age_seconds: float
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
    """Ids of the latest orders that it carried out."""
    refused_orders: frozenset[str]
    leaving: bool


class BackendState(NamedTuple):
    """What this instance knows of one backend server."""

    name: str
    as_of: float
    """Local monotonic time, in seconds, that the report speaks of; for a state
    that a peer passed on it may be too late by the message's transit."""
    running: int
    waiting: int
    slots: int
    resident: tuple[Resident, ...]
    used_mib: int
    leaving: bool
    healthy: bool
    seq: int

    def holds(self, artifact: str) -> bool:
        """Return whether an artifact is loaded and ready."""
        return any(r.artifact == artifact and r.state == READY for r in self.resident)


class Order(NamedTuple):
    """One order to an engine; carried out once per order id."""

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
    """A prompt prefix that entered or left an engine's cache."""

    seq: int
    kind: str
    """`stored` or `removed`."""
    artifact: str
    prefix: str


class CacheEvents(NamedTuple):
    """One answer to `GET /admin/cache-events`."""

    events: tuple[CacheEvent, ...]
    first: int
    """Oldest sequence number that the engine still keeps."""
    last: int
