"""Requests and choices as the routing aggregate sees them."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from guavajunction.configuration import Customer, Objective

LIVE = "live"
BATCH = "batch"
CLASS_RANKS = {LIVE: 0, BATCH: 1}
"""Lower ranks go first, in the queue and on engines."""


class RoutedRequest(NamedTuple):
    """One request for a model or adapter."""

    request_id: str
    customer: Customer
    artifact: str
    """`NAME@VERSION` of the model or adapter."""
    objective: Objective
    """What the request's class is owed."""
    prefix: str
    """Hash of the start of the prompt, hexadecimal."""
    cost: float
    """Tokens reserved: the prompt's and the bound on the output's."""
    arrived: float
    """Monotonic time in seconds."""

    @property
    def rank(self) -> int:
        """Return the urgency of the request's class; 0 is most urgent."""
        return CLASS_RANKS.get(self.objective.name, len(CLASS_RANKS))

    @property
    def deadline(self) -> float:
        """Return the monotonic time by which it must leave the queue."""
        return self.arrived + self.objective.max_wait


class Candidate(NamedTuple):
    """A backend server as it was seen when a choice was made."""

    name: str
    load: float
    """Estimated requests on it, running and waiting."""
    slots: int
    cached: bool
    """Whether it is thought to hold the prompt's prefix."""

    @property
    def utilisation(self) -> float:
        """Return the load for each slot."""
        return self.load / max(1, self.slots)


class Choice(NamedTuple):
    """A routing decision with its reason."""

    backend: str
    reason: str
    """`prefix`, `affinity`, `two_choices` or `only`."""
    candidates: tuple[Candidate, ...]


class ReplicaState(Protocol):
    """What routing reads of a backend server's last report."""

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        ...

    @property
    def running(self) -> int:
        """Return the requests that it was running."""
        ...

    @property
    def waiting(self) -> int:
        """Return the requests that waited on it."""
        ...

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once."""
        ...

    @property
    def as_of(self) -> float:
        """Return the monotonic time that the report speaks of."""
        ...


class Replicas(Protocol):
    """What routing needs to know of the backend servers."""

    def ready(self, artifact: str) -> list[ReplicaState]:
        """Return the backend servers that may be given work for an artifact."""
        ...

    def cached(self, backend: str, prefix: str) -> bool:
        """Return whether a backend server is thought to hold a prefix."""
        ...

    def note_failure(self, backend: str) -> None:
        """Record that a backend server did not answer as it should."""
        ...
