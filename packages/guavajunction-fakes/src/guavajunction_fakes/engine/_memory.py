"""Accelerator memory: resident artifacts, peak use and overcommits."""

from __future__ import annotations

import asyncio
from typing import Any, Literal

State = Literal["loading", "ready", "unloading"]


class Artifact:
    """A model or adapter in accelerator memory."""

    def __init__(
        self, name: str, mib: int, base: str | None, order_id: str, state: State
    ) -> None:
        self.name = name
        self.mib = mib
        self.base = base
        """Artifact of the base model, for adapters."""
        self.order_id = order_id
        self.state: State = state
        self.in_use = 0
        """Number of requests that wait for the artifact or run on it."""
        self.idle = asyncio.Event()
        """Event that is set while no request waits for the artifact or runs on it."""
        self.idle.set()

    def acquire(self) -> None:
        """Count a request that uses the artifact."""
        self.in_use += 1
        self.idle.clear()

    def release(self) -> None:
        """Stop counting a request that has ended."""
        self.in_use -= 1
        if not self.in_use:
            self.idle.set()

    def report(self) -> dict[str, Any]:
        """Return the artifact's entry in the load report."""
        return {
            "artifact": self.name,
            "mib": self.mib,
            "state": self.state,
            "order_id": self.order_id,
        }


class Memory:
    """Resident artifacts, with records of peak use and overcommits."""

    def __init__(self, capacity_mib: int, kv_reserve_mib: int) -> None:
        self.artifacts: dict[str, Artifact] = {}
        self.capacity_mib = capacity_mib
        self.kv_reserve_mib = kv_reserve_mib
        self.peak_mib = 0
        """Peak memory of weights and KV reserve together."""
        self.overcommits = 0
        """Number of artifacts that were added beyond the capacity."""

    @property
    def weights_mib(self) -> int:
        """Memory of all artifacts, including those loading and unloading."""
        return sum(artifact.mib for artifact in self.artifacts.values())

    def fits(self, mib: int) -> bool:
        """Return whether the free memory is at least the given size."""
        return self.weights_mib + mib + self.kv_reserve_mib <= self.capacity_mib

    def add(self, artifact: Artifact) -> None:
        """Add an artifact, even if it exceeds the free memory."""
        if not self.fits(artifact.mib):
            self.overcommits += 1
        self.artifacts[artifact.name] = artifact
        self.peak_mib = max(self.peak_mib, self.weights_mib + self.kv_reserve_mib)

    def remove(self, artifact: Artifact) -> None:
        """Free the memory of an artifact."""
        if self.artifacts.get(artifact.name) is artifact:
            del self.artifacts[artifact.name]

    def ready_artifact(self, name: str) -> Artifact | None:
        """Return an artifact if it and its base model are ready, else None."""
        artifact = self.artifacts.get(name)
        if artifact is None or artifact.state != "ready":
            return None
        if artifact.base is not None and self.ready_artifact(artifact.base) is None:
            return None
        return artifact

    def dependents(self, name: str) -> list[Artifact]:
        """Return the resident adapters of a base model."""
        return [a for a in self.artifacts.values() if a.base == name]
