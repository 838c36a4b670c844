"""Types of the routing package: requests, candidates and choices."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from guavajunction.configuration import Customer, Objective

LIVE = "live"
BATCH = "batch"
CLASS_RANKS = {LIVE: 0, BATCH: 1}
"""Rank of each request class. Queue and engines serve lower ranks first."""


class RoutedRequest(NamedTuple):
    """One request for a model or adapter."""

    request_id: str
    customer: Customer
    artifact: str
    """`NAME@VERSION` of the model or adapter."""
    objective: Objective
    """Latency objective of the request's class."""
    prefix: str
    """Hexadecimal hash of the start of the prompt; identifies a KV cache prefix."""
    cost: float
    """Reserved tokens: estimated prompt tokens plus the limit on output tokens."""
    arrived: float
    """Local monotonic time of arrival in seconds."""

    @property
    def rank(self) -> int:
        """Return the rank of the request's class; 0 is served first."""
        return CLASS_RANKS.get(self.objective.name, len(CLASS_RANKS))

    @property
    def deadline(self) -> float:
        """Return the monotonic time by which the request must leave the queue."""
        return self.arrived + self.objective.max_wait


class Candidate(NamedTuple):
    """State of a backend server when a choice was made."""

    name: str
    load: float
    """Estimated number of requests on the server, running and waiting."""
    slots: int
    """Requests that the server runs concurrently."""
    cached: bool
    """Whether the server's KV cache is believed to contain the prompt's prefix."""

    @property
    def utilisation(self) -> float:
        """Return the load per slot."""
        return self.load / max(1, self.slots)


class Choice(NamedTuple):
    """A chosen backend server and the reason for the choice."""

    backend: str
    reason: str
    """Rule that made the choice.

    `prefix`, `affinity`, `two_choices` or `only`; a baseline policy sets its name.
    """
    candidates: tuple[Candidate, ...]


class ReplicaState(Protocol):
    """The part of a backend server's last load report that routing reads."""

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        ...

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of requests in the server's own queue."""
        ...

    @property
    def slots(self) -> int:
        """Return how many requests the server runs concurrently."""
        ...

    @property
    def as_of(self) -> float:
        """Return the monotonic time, in seconds, that the report describes."""
        ...


class Replicas(Protocol):
    """Access to the state of backend servers that run models."""

    def ready(self, artifact: str) -> list[ReplicaState]:
        """Return the backend servers that may receive requests for an artifact."""
        ...

    def cached(self, backend: str, prefix: str) -> bool:
        """Return whether a backend server is believed to have a prefix cached."""
        ...

    def note_failure(self, backend: str) -> None:
        """Record a failed request for passive health checks."""
        ...
