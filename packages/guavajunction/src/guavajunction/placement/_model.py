"""The planner's view of a pool of engines, and the moves that it plans."""

from __future__ import annotations

from typing import Literal, NamedTuple

HoldingState = Literal["ready", "loading", "going"]


class Holding(NamedTuple):
    """An artifact on an engine."""

    state: HoldingState
    """`going` while the artifact is being drained or unloaded."""
    mib: int
    age: float = 0.0
    """Seconds for which this planner has seen the artifact on the engine."""
    base: str | None = None
    """Artifact of the base model that an adapter was loaded on, or only the name of the
    base model if its version is unknown; None for a base model."""


class ServerView(NamedTuple):
    """The planner's view of one engine."""

    name: str
    slots: int
    capacity_mib: int
    free_mib: int
    """Capacity less the memory in use and the memory of loads in progress."""
    usable: bool
    """Whether the engine is healthy and not leaving."""
    holdings: dict[str, Holding]
    """Holdings by artifact."""
    blocked: frozenset[str] = frozenset()
    """Artifacts with an open load that is overdue and probably failed."""


class Deployment(NamedTuple):
    """The deployed version of a model or adapter."""

    artifact: str
    mib: int
    min_replicas: int = 1
    base: str | None = None
    """Artifact of the base model, for adapters; None for base models."""

    @property
    def name(self) -> str:
        """Return the name without the version."""
        return name_of(self.artifact)


class Budget(NamedTuple):
    """Number of loads that may be started in one round."""

    base: int
    adapter: int


class PoolView(NamedTuple):
    """Input of a planning round for one pool."""

    deployments: dict[str, Deployment]
    """Deployments by artifact."""
    servers: dict[str, ServerView]
    """Engines by name."""
    need: dict[str, float]
    """Slots that the demand keeps busy, by model or adapter name."""
    urgent: frozenset[str]
    """Artifacts that requests are waiting for."""
    budget: Budget


class Candidate(NamedTuple):
    """An engine that was considered for a replica."""

    server: str
    spare_slots: float
    free_mib: int


class Load(NamedTuple):
    """A planned load of an artifact on an engine."""

    server: str
    artifact: str
    mib: int
    base: str | None
    reason: str
    gain_slots: float
    """Estimated decrease of unmet slots; 0 unless the load is made for demand."""
    candidates: tuple[Candidate, ...]


class Unload(NamedTuple):
    """A planned removal: drain an artifact on an engine, then unload it."""

    server: str
    artifact: str
    reason: str
    loss_slots: float
    """Estimated increase of unmet slots."""
    in_favour_of: str
    """Artifact that the memory is freed for; empty if there is none."""


class Shortage(NamedTuple):
    """A replica that could not be loaded in this round."""

    artifact: str
    reason: str
    waiting_on: str
    """Engine on which memory is being freed for the replica; empty if there is none."""


class Plan(NamedTuple):
    """The moves of one round."""

    loads: tuple[Load, ...]
    unloads: tuple[Unload, ...]
    shortages: tuple[Shortage, ...]


def name_of(artifact: str) -> str:
    """Return the name of an artifact without its version.

    >>> name_of("captions@3")
    'captions'
    """
    return artifact.partition("@")[0]


def replicas_to_switch(min_replicas: int, older: int) -> int:
    """Return the number of ready replicas at which a new version takes over.

    Args:
        min_replicas: Minimum number of replicas in the configuration.
        older: Ready replicas of the older version.

    >>> replicas_to_switch(1, 4)
    2
    """
    return max(1, min_replicas, -(-older // 2))
