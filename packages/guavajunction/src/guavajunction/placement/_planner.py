"""Decides which artifacts to load and unload in a pool of engines."""

from __future__ import annotations

from typing import NamedTuple

from ._eviction import Eviction, EvictionFinder
from ._model import (
    Candidate,
    Deployment,
    Load,
    Plan,
    PoolView,
    Shortage,
    Unload,
    name_of,
)
from ._projected_pool import ProjectedPool

# Reasons of a `Shortage`.
NO_MEMORY_REASON = "no_room"
MEMORY_PENDING = "memory_being_freed"
OVER_BUDGET = "load_budget"
BASE_PENDING = "base_not_ready"


class PlannerLimits(NamedTuple):
    """Limits on the number of moves, and minimum gains that justify a move."""

    gain_slots: float = 0.1
    """Minimum decrease of unmet slots that justifies a new replica in free memory."""
    move_cost_slots: float = 0.3
    """Minimum net decrease of unmet slots that justifies displacing other replicas."""
    min_stay_seconds: float = 60.0
    """Time for which a new replica is not displaced to meet other demand."""
    names_per_round: int = 8
    """Models and adapters that may get more replicas in one round."""
    servers_per_name: int = 12
    """Engines that are considered when replicas are displaced for a name."""
    max_removals: int = 8
    """Number of removals in progress at which displacing replicas for demand stops."""


class Planner:
    """Plans the loads and removals of one pool from a `PoolView` alone.

    A round plans, in this order:

    1. models that no engine can serve,
    2. models with fewer replicas than their minimum,
    3. new versions of models,
    4. adapters that no engine can serve,
    5. removals of artifacts that are no longer deployed,
    6. more replicas where they meet most of the unmet demand.

    The last replica of a deployed model or adapter is never removed. A replica that
    has to move is loaded on another engine first and removed in a later round.
    """

    def __init__(self, limits: PlannerLimits = PlannerLimits()) -> None:  # noqa: B008
        self.limits = limits

    def plan(self, view: PoolView) -> Plan:
        """Return the moves of one round."""
        return _Round(view, self.limits).plan()


class _Round:
    """The state of one planning round."""

    def __init__(self, view: PoolView, limits: PlannerLimits) -> None:
        self._view = view
        self._limits = limits
        self._pool = ProjectedPool(view)
        self._finder = EvictionFinder(self._pool)
        self._base_budget = view.budget.base
        self._adapter_budget = view.budget.adapter
        self._planned_loads: list[Load] = []
        self._planned_unloads: list[Unload] = []
        self._shortages: list[Shortage] = []

    def plan(self) -> Plan:
        bases = [d for d in self._view.deployments.values() if d.base is None]
        adapters = [d for d in self._view.deployments.values() if d.base is not None]
        self._load_missing_replicas(bases)
        self._load_new_versions(bases)
        self._load_missing_replicas(adapters)
        self._remove_obsolete()
        self._add_replicas_for_demand()
        return Plan(
            tuple(self._planned_loads),
            tuple(self._planned_unloads),
            tuple(self._shortages),
        )

    # Minimum number of replicas.

    def _load_missing_replicas(self, deployments: list[Deployment]) -> None:
        lacking = [d for d in deployments if self._deficit(d) > 0]
        for deployment in sorted(lacking, key=self._priority_key):
            for _ in range(self._deficit(deployment)):
                if not self._place(deployment, self._reason(deployment)):
                    break

    def _deficit(self, deployment: Deployment) -> int:
        pool = self._pool
        artifact = deployment.artifact
        return max(1, deployment.min_replicas) - len(pool.ready_or_loading(artifact))

    def _priority_key(self, deployment: Deployment) -> tuple[int, int, float, str]:
        """Return the sort key of a deployment that lacks replicas, lowest first."""
        ready = len(self._pool.serving_engines(deployment.artifact))
        older = len(self._pool.older_versions(deployment))
        wanted = deployment.artifact in self._view.urgent
        need = self._view.need.get(deployment.name, 0.0)
        rank = 0 if ready + older == 0 else 1
        return rank, 0 if wanted else 1, -need, deployment.artifact

    def _reason(self, deployment: Deployment) -> str:
        if self._pool.serving_engines(deployment.artifact):
            return "below_min_replicas"
        if self._pool.older_versions(deployment):
            return "new_version"
        return "no_replica"

    def _place(self, deployment: Deployment, reason: str) -> bool:
        """Plan the load of a replica, or start to free memory for it.

        Returns:
            Whether a load was planned.
        """
        base = deployment.base
        if base is not None and not self._pool.ready.get(base):
            self._add_shortage(deployment, BASE_PENDING, "")
            return False
        candidates = self._pool.candidates(deployment)
        fitting = [c for c in candidates if c.free_mib >= deployment.mib]
        if fitting:
            return self._load(deployment, fitting, reason, 0.0)
        self._wait_for_memory(deployment, candidates, reason)
        return False

    def _load(
        self,
        deployment: Deployment,
        fitting: list[Candidate],
        reason: str,
        gain: float,
    ) -> bool:
        """Plan a load on the best of the fitting engines if the budget allows it.

        Returns:
            Whether the load was planned.
        """
        if not self._spend_budget(deployment):
            self._shortages.append(Shortage(deployment.artifact, OVER_BUDGET, ""))
            return False
        server = fitting[0].server
        self._pool.add(server, deployment)
        self._planned_loads.append(
            Load(
                server,
                deployment.artifact,
                deployment.mib,
                deployment.base,
                reason,
                gain,
                tuple(fitting[:4]),
            )
        )
        return True

    def _spend_budget(self, deployment: Deployment) -> bool:
        if deployment.base is None:
            self._base_budget -= 1
            return self._base_budget >= 0
        self._adapter_budget -= 1
        return self._adapter_budget >= 0

    # Freeing memory.

    def _wait_for_memory(
        self, deployment: Deployment, candidates: list[Candidate], reason: str
    ) -> None:
        """Reserve memory that is being freed, or plan an eviction; add a shortage."""
        pool = self._pool
        for c in candidates:
            if c.free_mib + pool.being_freed[c.server] >= deployment.mib:
                pool.reserve(c.server, deployment.mib)
                self._add_shortage(deployment, MEMORY_PENDING, c.server)
                return
        evictions = [
            found
            for c in candidates
            if (found := self._finder.eviction(deployment, c.server))
        ]
        if not evictions:
            self._add_shortage(deployment, NO_MEMORY_REASON, "")
            return
        eviction = min(evictions)
        self._evict(deployment, eviction, reason)
        self._add_shortage(deployment, MEMORY_PENDING, eviction.server)

    def _add_shortage(self, deployment: Deployment, reason: str, server: str) -> None:
        self._shortages.append(Shortage(deployment.artifact, reason, server))

    def _evict(self, deployment: Deployment, eviction: Eviction, reason: str) -> None:
        for artifact in eviction.removals:
            self._unload(eviction.server, artifact, reason, deployment.artifact)
        for artifact in eviction.relocations:
            for moved in self._finder.deployments_to_relocate(
                eviction.server, artifact
            ):
                self._relocate(moved)
        self._pool.reserve(eviction.server, deployment.mib)

    def _relocate(self, moved: Deployment | None) -> None:
        if moved is None or self._pool.loading[moved.artifact]:
            return
        fitting = self._finder.engines_with_memory(moved)
        if fitting:
            self._load(moved, fitting, "relocation", 0.0)

    def _unload(
        self, server: str, artifact: str, reason: str, in_favour_of: str
    ) -> None:
        """Plan a removal, including the adapters that depend on the artifact."""
        pool = self._pool
        for removed in (*pool.dependents(server, artifact), artifact):
            if server not in pool.ready[removed] or not pool.may_remove(
                server, removed
            ):
                continue
            loss = pool.load_estimate.loss(name_of(removed), server)
            pool.remove(server, removed)
            self._planned_unloads.append(
                Unload(server, removed, reason, loss, in_favour_of)
            )

    # Versions.

    def _load_new_versions(self, bases: list[Deployment]) -> None:
        """Plan as many replicas of a new version as the older one has, if they fit."""
        for deployment in bases:
            older = self._pool.older_versions(deployment)
            most = max((len(servers) for servers in older.values()), default=0)
            artifact = deployment.artifact
            for _ in range(most - len(self._pool.ready_or_loading(artifact))):
                if not self._load_if_fits(deployment, "new_version"):
                    break

    def _load_if_fits(self, deployment: Deployment, reason: str) -> bool:
        fitting = self._finder.engines_with_memory(deployment)
        return bool(fitting) and self._load(deployment, fitting, reason, 0.0)

    def _remove_obsolete(self) -> None:
        pool = self._pool
        deployed = self._view.deployments
        obsolete = [
            (server, artifact)
            for artifact, servers in list(pool.ready.items())
            if artifact not in deployed
            for server in sorted(servers)
        ]
        for server, artifact in obsolete:
            deployment = pool.current.get(name_of(artifact))
            if deployment is not None and not pool.has_switched(deployment):
                continue
            if pool.may_remove(server, artifact):
                self._unload(server, artifact, "not_deployed", "")
                continue
            for adapter in self._finder.deployments_to_relocate(server, artifact):
                self._move_adapter(deployment, adapter)

    def _move_adapter(
        self, base: Deployment | None, adapter: Deployment | None
    ) -> None:
        """Load an adapter of an old base version on an engine with the new version.

        If no engine can load it, because the new version runs only where the old one
        does, the new version is first loaded on another engine.
        """
        if adapter is None or base is None or self._pool.loading[adapter.artifact]:
            return
        if self._pool.candidates(adapter):
            self._place(adapter, "new_version")
        elif not self._pool.loading[base.artifact]:
            self._place(base, "new_version")

    # More replicas for the demand.

    def _add_replicas_for_demand(self) -> None:
        pool = self._pool
        unmet = [
            (pool.load_estimate.unmet(name), name)
            for name in self._view.need
            if name in pool.current
        ]
        underserved = sorted(u for u in unmet if u[0] >= self._limits.gain_slots)[::-1]
        for _, name in underserved[: self._limits.names_per_round]:
            self._add_replicas(pool.current[name])

    def _add_replicas(self, deployment: Deployment) -> None:
        if not self._pool.serving_engines(deployment.artifact):
            return
        while fitting := self._finder.engines_with_memory(deployment):
            gain = self._pool.load_estimate.benefit(deployment.name, fitting[0].server)
            if gain < self._limits.gain_slots:
                break
            if not self._load(deployment, fitting, "demand", gain):
                return
        candidates = self._pool.candidates(deployment)
        self._displace(deployment, candidates[: self._limits.servers_per_name])

    def _displace(self, deployment: Deployment, candidates: list[Candidate]) -> None:
        """Free memory for one more replica if the gain clearly exceeds the loss.

        Nothing is planned while memory for the replica is already being freed.
        """
        pool = self._pool
        for c in candidates:
            if c.free_mib + pool.being_freed[c.server] >= deployment.mib:
                pool.reserve(c.server, deployment.mib)
                return
        if self._removals_in_progress() >= self._limits.max_removals:
            return
        evictions = [
            found
            for c in candidates
            if (found := self._finder.eviction(deployment, c.server))
        ]
        eligible = [
            eviction
            for eviction in evictions
            if not eviction.relocations and self._is_old_enough(eviction)
        ]
        net, eviction = max(
            ((self._net_gain(deployment, option), option) for option in eligible),
            default=(0.0, None),
        )
        if eviction is not None and net >= self._limits.move_cost_slots:
            self._evict(deployment, eviction, "demand")

    def _net_gain(self, deployment: Deployment, eviction: Eviction) -> float:
        displaced = [name_of(artifact) for artifact in eviction.removals]
        return self._pool.load_estimate.benefit(
            deployment.name, eviction.server, displaced
        )

    def _is_old_enough(self, eviction: Eviction) -> bool:
        stay = self._limits.min_stay_seconds
        holding = self._pool.holding
        return all(holding(eviction.server, a).age >= stay for a in eviction.removals)

    def _removals_in_progress(self) -> int:
        in_progress = sum(
            holding.state == "going"
            for server in self._view.servers.values()
            for holding in server.holdings.values()
        )
        return in_progress + len(self._planned_unloads)
