"""Accelerator memory: what is resident and whether it ever was too much."""

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
        """Requests that wait for it or run on it."""
        self.idle = asyncio.Event()
        """Set while no request waits for it or runs on it."""
        self.idle.set()

    def acquire(self) -> None:
        """Note one more request."""
        self.in_use += 1
        self.idle.clear()

    def release(self) -> None:
        """Note that a request has ended."""
        self.in_use -= 1
        if not self.in_use:
            self.idle.set()

    def report(self) -> dict[str, Any]:
        """Return its entry in the load report."""
        return {
            "artifact": self.name,
            "mib": self.mib,
            "state": self.state,
            "order_id": self.order_id,
        }


class Memory:
    """Artifacts by name, with the peak of what they and the KV reserve take."""

    def __init__(self, capacity_mib: int, kv_reserve_mib: int) -> None:
        self.artifacts: dict[str, Artifact] = {}
        self.capacity_mib = capacity_mib
        self.kv_reserve_mib = kv_reserve_mib
        self.peak_mib = 0
        """Most that weights and KV reserve took together."""
        self.overcommits = 0
        """Times that an artifact was added beyond the capacity."""

    @property
    def weights_mib(self) -> int:
        """Memory of all artifacts, in whichever state."""
        return sum(artifact.mib for artifact in self.artifacts.values())

    def fits(self, mib: int) -> bool:
        """Return whether so much more would fit now."""
        return self.weights_mib + mib + self.kv_reserve_mib <= self.capacity_mib

    def add(self, artifact: Artifact) -> None:
        """Take memory for an artifact, also when there is too little."""
        if not self.fits(artifact.mib):
            self.overcommits += 1
        self.artifacts[artifact.name] = artifact
        self.peak_mib = max(self.peak_mib, self.weights_mib + self.kv_reserve_mib)

    def remove(self, artifact: Artifact) -> None:
        """Free the memory of an artifact."""
        if self.artifacts.get(artifact.name) is artifact:
            del self.artifacts[artifact.name]

    def ready_artifact(self, name: str) -> Artifact | None:
        """Return an artifact that can answer, its base included."""
        artifact = self.artifacts.get(name)
        if artifact is None or artifact.state != "ready":
            return None
        if artifact.base is not None and self.ready_artifact(artifact.base) is None:
            return None
        return artifact

    def dependents(self, name: str) -> list[Artifact]:
        """Return the adapters on top of a base model."""
        return [a for a in self.artifacts.values() if a.base == name]
