"""Messages between instances about placement."""

from __future__ import annotations

from typing import NamedTuple


class ArtifactDemand(NamedTuple):
    """The demand of one instance for one artifact."""

    artifact: str
    requests_per_s: float
    tokens_per_s: float
    waiting: int
    """Requests that wait for a slot."""


class DemandDigest(NamedTuple):
    """The demand of one instance, sent in its heartbeats.

    Artifacts without demand are left out.
    """

    artifacts: tuple[ArtifactDemand, ...]


class ArtifactWanted(NamedTuple):
    """Notifies the planner that requests wait for an artifact that is not ready."""

    artifact: str
