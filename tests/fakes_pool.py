"""A pool of engines in memory that executes the planner's plans."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.placement import (
    Budget,
    Deployment,
    Holding,
    Plan,
    Planner,
    PoolView,
    ServerView,
    name_of,
)

AMPLE = Budget(100, 100)


class _Server(NamedTuple):
    capacity: int
    slots: int
    holdings: dict[str, Holding]


class FakePool:
    """Engines whose loads and unloads finish when a test calls `end()`."""

    def __init__(self, deployments: list[Deployment], budget: Budget = AMPLE) -> None:
        self.deployments = {d.artifact: d for d in deployments}
        self.budget = budget
        self.servers: dict[str, _Server] = {}
        self.need: dict[str, float] = {}
        self.unusable: set[str] = set()
        self.urgent: frozenset[str] = frozenset()
        self.planner = Planner()
        self.moves = 0

    def add(self, name: str, capacity: int, *ready: str, slots: int = 8) -> None:
        """Add an engine with some ready artifacts."""
        holdings = {artifact: self._holding(artifact) for artifact in ready}
        self.servers[name] = _Server(capacity, slots, holdings)

    def _holding(self, artifact: str, state: str = "ready") -> Holding:
        deployment = self.deployments.get(artifact) or next(
            d for d in self.deployments.values() if d.name == name_of(artifact)
        )
        base = name_of(deployment.base) if deployment.base else None
        return Holding(state, deployment.mib, 1e6, base)

    def deploy(self, old: str, new: str) -> None:
        """Replace the deployed version of a model, also as the base of its adapters."""
        deployment = self.deployments.pop(old)
        self.deployments[new] = deployment._replace(artifact=new)
        for artifact, d in list(self.deployments.items()):
            if d.base == old:
                self.deployments[artifact] = d._replace(base=new)

    def view(self) -> PoolView:
        """Return the planner's view of the pool."""
        servers = {
            name: ServerView(
                name,
                server.slots,
                server.capacity,
                self.free(name),
                name not in self.unusable,
                dict(server.holdings),
            )
            for name, server in self.servers.items()
        }
        return PoolView(
            dict(self.deployments), servers, dict(self.need), self.urgent, self.budget
        )

    def free(self, name: str) -> int:
        """Return the free memory of an engine in MiB."""
        server = self.servers[name]
        return server.capacity - sum(h.mib for h in server.holdings.values())

    def ready(self, artifact: str) -> set[str]:
        """Return the usable engines that can serve an artifact."""
        deployment = self.deployments.get(artifact)
        base = deployment.base if deployment else None
        return {
            name
            for name, server in self.servers.items()
            if name not in self.unusable and artifact in server.holdings
            if server.holdings[artifact].state == "ready"
            if base is None or any(name_of(base) == name_of(a) for a in server.holdings)
        }

    def begin(self) -> Plan:
        """Plan one round and start its moves."""
        plan = self.planner.plan(self.view())
        for unload in plan.unloads:
            holdings = self.servers[unload.server].holdings
            old = holdings[unload.artifact]
            holdings[unload.artifact] = old._replace(state="going")
        for load in plan.loads:
            holdings = self.servers[load.server].holdings
            assert load.artifact not in holdings
            holdings[load.artifact] = Holding("loading", load.mib, 0.0, load.base)
            assert self.free(load.server) >= 0
        self.moves += len(plan.loads)
        return plan

    def end(self) -> None:
        """Finish the moves in progress."""
        for server in self.servers.values():
            for artifact, holding in list(server.holdings.items()):
                if holding.state == "going":
                    del server.holdings[artifact]
                else:
                    grown = holding._replace(state="ready", age=1e6)
                    server.holdings[artifact] = grown

    def rounds(self, count: int) -> list[Plan]:
        """Plan several rounds and finish the moves of each."""
        plans = []
        for _ in range(count):
            plans.append(self.begin())
            self.end()
        return plans
