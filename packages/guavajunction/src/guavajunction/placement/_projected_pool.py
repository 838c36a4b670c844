"""The pool while a plan is drawn up: what each decided move leaves."""

from __future__ import annotations

from collections import defaultdict

from ._load_estimate import Spread
from ._model import (
    Candidate,
    Deployment,
    Holding,
    PoolView,
    ServerView,
    name_of,
    replicas_to_switch,
)


class Draft:
    """Replicas, memory and load of a pool, with the decided moves applied."""

    def __init__(self, view: PoolView) -> None:
        """Index a view."""
        self.view = view
        self.free: dict[str, int] = {}
        """Memory that loads may still take, by usable engine."""
        self.promised: dict[str, int] = {}
        """Memory that is being freed, by usable engine."""
        self.ready: defaultdict[str, set[str]] = defaultdict(set)
        """Usable engines with a ready replica, by artifact."""
        self.coming: defaultdict[str, set[str]] = defaultdict(set)
        """Usable engines that are loading, by artifact."""
        self.current = {d.name: d for d in view.deployments.values()}
        """The deployed version of each name."""
        for server in view.servers.values():
            if server.usable:
                self._index(server)
        self._by_name: defaultdict[str, list[str]] = defaultdict(list)
        for artifact in [*self.ready, *(set(self.coming) - set(self.ready))]:
            self._by_name[name_of(artifact)].append(artifact)
        slots = {
            s.name: max(1.0, float(s.slots)) for s in view.servers.values() if s.usable
        }
        self.spread = Spread(view.need, self._holders(), slots)

    def _index(self, server: ServerView) -> None:
        self.free[server.name] = server.free_mib
        self.promised[server.name] = 0
        for artifact, holding in server.holdings.items():
            if holding.state == "ready":
                self.ready[artifact].add(server.name)
            elif holding.state == "loading":
                self.coming[artifact].add(server.name)
            else:
                self.promised[server.name] += holding.mib

    def _holders(self) -> dict[str, set[str]]:
        return {
            name: set().union(*(self.present(a) for a in artifacts))
            for name, artifacts in self._by_name.items()
        }

    def present(self, artifact: str) -> set[str]:
        """Return the engines that can answer for an artifact, now or soon."""
        return self.answering(artifact) | self.coming.get(artifact, set())

    def _usable_replicas(self, artifact: str, servers: set[str]) -> set[str]:
        """Return the engines that can answer for an artifact.

        An adapter is of use only beside a ready version of its base model.
        """
        deployment = self.current.get(name_of(artifact))
        if deployment is None or deployment.base is None:
            return set(servers)
        return {s for s in servers if self.has_base(s, deployment.base)}

    def has_base(self, server: str, base: str) -> bool:
        """Return whether any version of a base model is ready on an engine."""
        versions = self._by_name.get(name_of(base), [])
        return any(server in self.ready.get(artifact, ()) for artifact in versions)

    def answering(self, artifact: str) -> set[str]:
        """Return the usable engines that can answer for an artifact."""
        return self._usable_replicas(artifact, self.ready.get(artifact, set()))

    def older_ready(self, deployment: Deployment) -> dict[str, set[str]]:
        """Return the answering engines of older versions, by artifact."""
        return {
            artifact: servers
            for artifact in self._by_name.get(deployment.name, [])
            if artifact != deployment.artifact
            if (servers := self.answering(artifact))
        }

    def switched(self, deployment: Deployment) -> bool:
        """Return whether the deployed version has taken over from older ones."""
        older = self.older_ready(deployment)
        most = max((len(servers) for servers in older.values()), default=0)
        enough = replicas_to_switch(deployment.min_replicas, most)
        return len(self.answering(deployment.artifact)) >= enough

    def may_remove(self, server: str, artifact: str) -> bool:
        """Return whether enough replicas remain without one.

        The same holds for the adapters that depend on it.
        """
        if not self.enough_without(server, artifact):
            return False
        dependents = self.dependents(server, artifact)
        return all(self.enough_without(server, adapter) for adapter in dependents)

    def enough_without(self, server: str, artifact: str) -> bool:
        """Return whether enough replicas of an artifact remain without one."""
        deployment = self.current.get(name_of(artifact))
        if deployment is None:
            return True
        if artifact != deployment.artifact and self.switched(deployment):
            return True
        remaining = self.answering(artifact) - {server}
        return len(remaining) >= max(1, deployment.min_replicas)

    def dependents(self, server: str, artifact: str) -> list[str]:
        """Return the adapters on an engine that use an artifact as their base."""
        bases = (artifact, name_of(artifact))
        return [
            held
            for held, holding in self.view.servers[server].holdings.items()
            if holding.base in bases and holding.state != "going"
            if server in self.ready.get(held, ()) or server in self.coming.get(held, ())
        ]

    def can_take(self, server: str, deployment: Deployment) -> bool:
        """Return whether an engine may be given a replica, memory left aside."""
        view = self.view.servers[server]
        artifact = deployment.artifact
        if artifact in view.holdings or artifact in view.blocked:
            return False
        if server in self.coming[artifact]:
            return False
        return deployment.base is None or server in self.ready[deployment.base]

    def candidates(self, deployment: Deployment) -> list[Candidate]:
        """Return the engines that may be given a replica, best first.

        Engines with an older version come last: its adapters could not be loaded on
        the new version there while they are in use on the old one.
        """
        versions = self._by_name.get(deployment.name, [])
        older = set().union(*(self.ready.get(artifact, set()) for artifact in versions))
        found = [
            Candidate(name, self.spread.spare(name), free)
            for name, free in self.free.items()
            if self.can_take(name, deployment)
        ]
        found.sort(
            key=lambda c: (c.server in older, -c.spare_slots, -c.free_mib, c.server)
        )
        return found

    def add(self, server: str, deployment: Deployment) -> None:
        """Apply a decided load; the replica counts for the load at once."""
        self.free[server] -= deployment.mib
        self.coming[deployment.artifact].add(server)
        self.spread.add(deployment.name, server)

    def remove(self, server: str, artifact: str) -> None:
        """Apply a decided removal; its memory is free only once it is gone."""
        self.ready[artifact].discard(server)
        self.promised[server] += self.holding(server, artifact).mib
        self.spread.remove(name_of(artifact), server)

    def reserve(self, server: str, mib: int) -> None:
        """Set memory aside that is being freed for a replica."""
        self.promised[server] -= max(0, mib - self.free[server])
        self.free[server] = max(0, self.free[server] - mib)

    def holding(self, server: str, artifact: str) -> Holding:
        """Return an artifact's holding on an engine."""
        return self.view.servers[server].holdings[artifact]
