"""A pool of engines as the planner sees it, and the moves that it decides."""

from __future__ import annotations

from typing import Literal, NamedTuple

HoldingState = Literal["ready", "loading", "going"]


class Holding(NamedTuple):
    """An artifact on an engine."""

    state: HoldingState
    """`going` once it is being drained or unloaded."""
    mib: int
    age: float = 0.0
    """Seconds for which it has been ready."""
    base: str | None = None
    """Artifact of the base model that an adapter was loaded on, or just the name of
    that model if the version is not known."""


class ServerView(NamedTuple):
    """One engine."""

    name: str
    slots: int
    capacity_mib: int
    free_mib: int
    """Capacity less everything that is, or may come, in memory."""
    usable: bool
    """Whether it is healthy and stays."""
    holdings: dict[str, Holding]
    """By artifact."""
    blocked: frozenset[str] = frozenset()
    """Artifacts with an open order that is not expected to succeed any more."""


class Deployment(NamedTuple):
    """A model or adapter that the configuration deploys."""

    artifact: str
    mib: int
    min_replicas: int = 1
    base: str | None = None
    """Artifact of the base model, for adapters."""

    @property
    def name(self) -> str:
        """Return the name without the version."""
        return name_of(self.artifact)


class Budget(NamedTuple):
    """Loads that may be started in one round."""

    base: int
    adapter: int


class PoolView(NamedTuple):
    """Everything that a plan is made from."""

    deployments: dict[str, Deployment]
    """By artifact."""
    servers: dict[str, ServerView]
    need: dict[str, float]
    """Slots that the demand keeps busy, by name."""
    urgent: frozenset[str]
    """Artifacts that requests are waiting for."""
    budget: Budget


class Candidate(NamedTuple):
    """An engine that was weighed for a replica."""

    server: str
    spare_slots: float
    free_mib: int


class Load(NamedTuple):
    """Load an artifact on an engine."""

    server: str
    artifact: str
    mib: int
    base: str | None
    reason: str
    gain_slots: float
    candidates: tuple[Candidate, ...]


class Unload(NamedTuple):
    """Drain an artifact on an engine and unload it."""

    server: str
    artifact: str
    reason: str
    loss_slots: float
    in_favour_of: str
    """Artifact that gets the memory; empty if none does."""


class Shortage(NamedTuple):
    """A replica that could not be placed in this round."""

    artifact: str
    reason: str
    waiting_on: str
    """Engine on which memory is being freed; empty if there is none."""


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
    """Return how many replicas of a new version take over from older ones.

    >>> replicas_to_switch(1, 4)
    2
    """
    return max(1, min_replicas, -(-older // 2))
