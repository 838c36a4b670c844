"""Messages about placement between instances."""

from __future__ import annotations

from typing import NamedTuple


class ArtifactDemand(NamedTuple):
    """One instance's demand for one artifact."""

    artifact: str
    requests_per_s: float
    tokens_per_s: float
    waiting: int


class DemandDigest(NamedTuple):
    """One instance's demand, in its heartbeats; artifacts without any left out."""

    artifacts: tuple[ArtifactDemand, ...]


class ArtifactWanted(NamedTuple):
    """Tells the planner that requests wait for an artifact that is not ready."""

    artifact: str
