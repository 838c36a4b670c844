"""Finds the cheapest way to free memory for a replica."""

from __future__ import annotations

from typing import NamedTuple

from ._model import Candidate, Deployment, name_of
from ._projected_pool import ProjectedPool


class Eviction(NamedTuple):
    """A set of replicas whose removal frees enough memory on an engine."""

    cost: float
    """Estimated increase of unmet slots plus the cost of relocations, in slots."""
    server: str
    removals: tuple[str, ...]
    """Artifacts that can be removed now."""
    relocations: tuple[str, ...]
    """Artifacts that must be loaded on another engine first."""


class _Option(NamedTuple):
    cost_per_mib: float
    cost: float
    artifact: str


class EvictionFinder:
    """Compares the costs of evicting replicas from an engine."""

    RELOCATION_COST_SLOTS = 4.0
    """Cost of moving a replica only to free memory.

    It is also added when a base model would be evicted for an adapter.
    """

    def __init__(self, pool: ProjectedPool) -> None:
        self._pool = pool

    def evictions(
        self, deployment: Deployment, candidates: list[Candidate]
    ) -> list[Eviction]:
        """Return the cheapest eviction on each engine that has one."""
        found = (self.eviction(deployment, c.server) for c in candidates)
        return [eviction for eviction in found if eviction is not None]

    def eviction(self, deployment: Deployment, server: str) -> Eviction | None:
        """Return the cheapest eviction on an engine, None if there is none.

        Args:
            deployment: The model or adapter to free memory for.
            server: The engine.
        """
        pool = self._pool
        lacking_mib = deployment.mib - pool.free[server] - pool.being_freed[server]
        chosen: list[_Option] = []
        freed_so_far: set[str] = set()
        for option in sorted(self._options(deployment, server)):
            if lacking_mib <= 0:
                break
            freed = {option.artifact, *pool.dependents(server, option.artifact)}
            lacking_mib -= sum(
                pool.holding(server, a).mib for a in freed - freed_so_far
            )
            freed_so_far |= freed
            chosen.append(option)
        if lacking_mib > 0:
            return None
        return self._eviction_of(server, chosen)

    def _eviction_of(self, server: str, chosen: list[_Option]) -> Eviction:
        artifacts = [option.artifact for option in chosen]
        may_remove = self._pool.may_remove
        removable = tuple(a for a in artifacts if may_remove(server, a))
        to_relocate = tuple(a for a in artifacts if a not in removable)
        return Eviction(
            sum(option.cost for option in chosen), server, removable, to_relocate
        )

    def _options(self, deployment: Deployment, server: str) -> list[_Option]:
        pool = self._pool
        return [
            option
            for artifact, holding in pool.view.servers[server].holdings.items()
            if server in pool.ready[artifact]
            if artifact != deployment.base and holding.mib > 0
            if artifact not in pool.view.urgent
            if (option := self._option(server, artifact, deployment)) is not None
        ]

    def _option(
        self, server: str, artifact: str, deployment: Deployment
    ) -> _Option | None:
        """Return the cost of evicting a replica, None if it must stay.

        Args:
            server: Engine with the replica.
            artifact: Artifact of the replica.
            deployment: The model or adapter to free memory for.
        """
        pool = self._pool
        holding = pool.holding(server, artifact)
        loss = pool.load_estimate.loss(name_of(artifact), server)
        if deployment.base is not None and holding.base is None:
            loss += self.RELOCATION_COST_SLOTS
        if pool.may_remove(server, artifact):
            return _Option(loss / holding.mib, loss, artifact)
        if not self._relocatable(server, artifact):
            return None
        if not pool.loading[artifact]:
            loss += self.RELOCATION_COST_SLOTS
        return _Option(loss / holding.mib, loss, artifact)

    def _relocatable(self, server: str, artifact: str) -> bool:
        to_relocate = self.deployments_to_relocate(server, artifact)
        return bool(to_relocate) and all(
            d is not None
            and (self._pool.loading[d.artifact] or self.engines_with_memory(d))
            for d in to_relocate
        )

    def deployments_to_relocate(
        self, server: str, artifact: str
    ) -> list[Deployment | None]:
        """Return the deployments to load elsewhere before an artifact can be removed.

        A base model comes first; the adapters that depend on it follow in a later
        round. None stands for an artifact that is no longer deployed.
        """
        pool = self._pool
        deployed = self._pool.view.deployments
        if not pool.enough_replicas_without(server, artifact):
            return [deployed.get(artifact)]
        return [
            deployed.get(adapter)
            for adapter in pool.dependents(server, artifact)
            if not pool.enough_replicas_without(server, adapter)
        ]

    def engines_with_memory(self, deployment: Deployment) -> list[Candidate]:
        """Return the engines with free memory for another replica, best first."""
        candidates = self._pool.candidates(deployment)
        return [c for c in candidates if c.free_mib >= deployment.mib]
