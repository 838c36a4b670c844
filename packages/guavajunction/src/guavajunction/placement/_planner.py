"""Decides which artifacts to load and unload in a pool of engines."""

from __future__ import annotations

from typing import NamedTuple

from ._eviction import Room, RoomFinder
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
from ._projected_pool import Draft

NO_ROOM_REASON = "no_room"
ROOM_PENDING = "memory_being_freed"
OVER_BUDGET = "load_budget"
BASE_PENDING = "base_not_ready"


class PlannerLimits(NamedTuple):
    """When a move is worth its cost."""

    gain_slots: float = 0.1
    """Least unmet slots that a new replica in free memory must save."""
    move_cost_slots: float = 0.3
    """Least unmet slots that displacing other replicas must save in all."""
    min_stay_seconds: float = 60.0
    """Time for which a new replica is not displaced for gain."""
    growth_per_round: int = 8
    """Names that are considered for more replicas in one round."""
    servers_per_name: int = 12
    """Engines that are weighed for one displacement."""
    max_going: int = 8
    """Replicas that may be on their way out at a time, for gain."""


class Planner:
    """Plans one pool; a pure function of the view.

    In this order: models that no engine can answer for, models below their least
    replicas, new versions, adapters that no engine can answer for, what is no longer
    deployed, and then replicas where they gain most slots for the demand. The last
    replica of a deployed model or adapter is never removed: what must move is loaded
    elsewhere first and goes in a later round.
    """

    def __init__(self, limits: PlannerLimits = PlannerLimits()) -> None:  # noqa: B008
        self.limits = limits

    def plan(self, view: PoolView) -> Plan:
        """Return the moves of one round."""
        return _Round(view, self.limits).plan()


class _Round:
    """One planning round."""

    def __init__(self, view: PoolView, limits: PlannerLimits) -> None:
        self._view = view
        self._limits = limits
        self._draft = Draft(view)
        self._finder = RoomFinder(self._draft)
        self._base_budget = view.budget.base
        self._adapter_budget = view.budget.adapter
        self._loads: list[Load] = []
        self._unloads: list[Unload] = []
        self._shortages: list[Shortage] = []

    def plan(self) -> Plan:
        bases = [d for d in self._view.deployments.values() if d.base is None]
        adapters = [d for d in self._view.deployments.values() if d.base is not None]
        self._replenish(bases)
        self._follow_versions(bases)
        self._replenish(adapters)
        self._clear_obsolete()
        self._grow()
        return Plan(tuple(self._loads), tuple(self._unloads), tuple(self._shortages))

    # Least replicas.

    def _replenish(self, deployments: list[Deployment]) -> None:
        lacking = [d for d in deployments if self._deficit(d) > 0]
        for deployment in sorted(lacking, key=self._urgency):
            for _ in range(self._deficit(deployment)):
                if not self._place(deployment, self._reason(deployment)):
                    break

    def _deficit(self, deployment: Deployment) -> int:
        draft = self._draft
        artifact = deployment.artifact
        return max(1, deployment.min_replicas) - len(draft.present(artifact))

    def _urgency(self, deployment: Deployment) -> tuple[int, int, float, str]:
        ready = len(self._draft.answering(deployment.artifact))
        older = len(self._draft.older_ready(deployment))
        wanted = deployment.artifact in self._view.urgent
        need = self._view.need.get(deployment.name, 0.0)
        rank = 0 if ready + older == 0 else 1
        return rank, 0 if wanted else 1, -need, deployment.artifact

    def _reason(self, deployment: Deployment) -> str:
        if self._draft.answering(deployment.artifact):
            return "below_min_replicas"
        if self._draft.older_ready(deployment):
            return "new_version"
        return "no_replica"

    def _place(self, deployment: Deployment, reason: str) -> bool:
        """Load a replica, or begin to make room for one.

        Returns:
            Whether a load was decided.
        """
        base = deployment.base
        if base is not None and not self._draft.ready.get(base):
            self._short(deployment, BASE_PENDING, "")
            return False
        candidates = self._draft.candidates(deployment)
        fitting = [c for c in candidates if c.free_mib >= deployment.mib]
        if fitting:
            return self._load(deployment, fitting, reason, 0.0)
        self._await_room(deployment, candidates, reason)
        return False

    def _load(
        self,
        deployment: Deployment,
        fitting: list[Candidate],
        reason: str,
        gain: float,
    ) -> bool:
        if not self._spend(deployment):
            self._shortages.append(Shortage(deployment.artifact, OVER_BUDGET, ""))
            return False
        server = fitting[0].server
        self._draft.add(server, deployment)
        self._loads.append(
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

    def _spend(self, deployment: Deployment) -> bool:
        if deployment.base is None:
            self._base_budget -= 1
            return self._base_budget >= 0
        self._adapter_budget -= 1
        return self._adapter_budget >= 0

    # Making room.

    def _await_room(
        self, deployment: Deployment, candidates: list[Candidate], reason: str
    ) -> None:
        draft = self._draft
        for c in candidates:
            if c.free_mib + draft.promised[c.server] >= deployment.mib:
                draft.reserve(c.server, deployment.mib)
                self._short(deployment, ROOM_PENDING, c.server)
                return
        rooms = [
            r for c in candidates if (r := self._finder.room(deployment, c.server))
        ]
        if not rooms:
            self._short(deployment, NO_ROOM_REASON, "")
            return
        room = min(rooms)
        self._make_room(deployment, room, reason)
        self._short(deployment, ROOM_PENDING, room.server)

    def _short(self, deployment: Deployment, reason: str, server: str) -> None:
        self._shortages.append(Shortage(deployment.artifact, reason, server))

    def _make_room(self, deployment: Deployment, room: Room, reason: str) -> None:
        for artifact in room.removals:
            self._unload(room.server, artifact, reason, deployment.artifact)
        for artifact in room.relocations:
            for moved in self._finder.to_relocate(room.server, artifact):
                self._relocate(moved)
        self._draft.reserve(room.server, deployment.mib)

    def _relocate(self, moved: Deployment | None) -> None:
        if moved is None or self._draft.coming[moved.artifact]:
            return
        fitting = self._finder.elsewhere(moved)
        if fitting:
            self._load(moved, fitting, "relocation", 0.0)

    def _unload(
        self, server: str, artifact: str, reason: str, in_favour_of: str
    ) -> None:
        """Decide a removal, the adapters that depend on it included."""
        draft = self._draft
        for gone in (*draft.dependents(server, artifact), artifact):
            if server not in draft.ready[gone] or not draft.may_remove(server, gone):
                continue
            loss = draft.spread.loss(name_of(gone), server)
            draft.remove(server, gone)
            self._unloads.append(Unload(server, gone, reason, loss, in_favour_of))

    # Versions.

    def _follow_versions(self, bases: list[Deployment]) -> None:
        """Give a new version as many replicas as the older one has, where they fit."""
        for deployment in bases:
            older = self._draft.older_ready(deployment)
            most = max((len(servers) for servers in older.values()), default=0)
            artifact = deployment.artifact
            for _ in range(most - len(self._draft.present(artifact))):
                if not self._load_if_fits(deployment, "new_version"):
                    break

    def _load_if_fits(self, deployment: Deployment, reason: str) -> bool:
        fitting = self._finder.elsewhere(deployment)
        return bool(fitting) and self._load(deployment, fitting, reason, 0.0)

    def _clear_obsolete(self) -> None:
        draft = self._draft
        deployed = self._view.deployments
        obsolete = [
            (server, artifact)
            for artifact, servers in list(draft.ready.items())
            if artifact not in deployed
            for server in sorted(servers)
        ]
        for server, artifact in obsolete:
            deployment = draft.current.get(name_of(artifact))
            if deployment is not None and not draft.switched(deployment):
                continue
            if draft.may_remove(server, artifact):
                self._unload(server, artifact, "not_deployed", "")
                continue
            for adapter in self._finder.to_relocate(server, artifact):
                self._make_way(deployment, adapter)

    def _make_way(self, base: Deployment | None, adapter: Deployment | None) -> None:
        """Load an adapter of an old base version beside the new one.

        Where the new version shares the engine with the old one, it is first given a
        replica on another engine.
        """
        if adapter is None or base is None or self._draft.coming[adapter.artifact]:
            return
        if self._draft.candidates(adapter):
            self._place(adapter, "new_version")
        elif not self._draft.coming[base.artifact]:
            self._place(base, "new_version")

    # Growth by demand.

    def _grow(self) -> None:
        draft = self._draft
        unmet = [
            (draft.spread.unmet(name), name)
            for name in self._view.need
            if name in draft.current
        ]
        short = sorted(u for u in unmet if u[0] >= self._limits.gain_slots)[::-1]
        for _, name in short[: self._limits.growth_per_round]:
            self._grow_one(draft.current[name])

    def _grow_one(self, deployment: Deployment) -> None:
        if not self._draft.answering(deployment.artifact):
            return
        while fitting := self._finder.elsewhere(deployment):
            gain = self._draft.spread.benefit(deployment.name, fitting[0].server)
            if gain < self._limits.gain_slots:
                break
            if not self._load(deployment, fitting, "demand", gain):
                return
        candidates = self._draft.candidates(deployment)
        self._displace(deployment, candidates[: self._limits.servers_per_name])

    def _displace(self, deployment: Deployment, candidates: list[Candidate]) -> None:
        """Make room for one more replica where that gains clearly more than it costs.

        Nothing is begun while memory is being freed for it already.
        """
        draft = self._draft
        for c in candidates:
            if c.free_mib + draft.promised[c.server] >= deployment.mib:
                draft.reserve(c.server, deployment.mib)
                return
        if self._going() >= self._limits.max_going:
            return
        rooms = [
            r for c in candidates if (r := self._finder.room(deployment, c.server))
        ]
        settled = [r for r in rooms if not r.relocations and self._settled(r)]
        net, room = max(
            ((self._net_gain(deployment, r), r) for r in settled),
            default=(0.0, None),
        )
        if room is not None and net >= self._limits.move_cost_slots:
            self._make_room(deployment, room, "demand")

    def _net_gain(self, deployment: Deployment, room: Room) -> float:
        displaced = [name_of(artifact) for artifact in room.removals]
        return self._draft.spread.benefit(deployment.name, room.server, displaced)

    def _settled(self, room: Room) -> bool:
        stay = self._limits.min_stay_seconds
        holding = self._draft.holding
        return all(holding(room.server, a).age >= stay for a in room.removals)

    def _going(self) -> int:
        already = sum(
            holding.state == "going"
            for server in self._view.servers.values()
            for holding in server.holdings.values()
        )
        return already + len(self._unloads)
