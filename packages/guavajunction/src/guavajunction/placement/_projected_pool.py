"""The pool as it will be after the moves planned so far."""

from __future__ import annotations

from collections import defaultdict

from ._load_estimate import LoadEstimate
from ._model import (
    Candidate,
    Deployment,
    Holding,
    PoolView,
    ServerView,
    name_of,
    replicas_to_switch,
)


class ProjectedPool:
    """Replicas, memory and load of a pool after the moves planned so far."""

    def __init__(self, view: PoolView) -> None:
        """Index the view of a pool before any move is applied."""
        self.view = view
        self.free: dict[str, int] = {}
        """Memory in MiB that loads may still use, by usable engine."""
        self.being_freed: dict[str, int] = {}
        """Memory in MiB that is being freed, by usable engine."""
        self.ready: defaultdict[str, set[str]] = defaultdict(set)
        """Usable engines with a ready replica, by artifact."""
        self.loading: defaultdict[str, set[str]] = defaultdict(set)
        """Usable engines that are loading a replica, by artifact."""
        self.current = {d.name: d for d in view.deployments.values()}
        """The deployed version of each model and adapter, by name."""
        for server in view.servers.values():
            if server.usable:
                self._index(server)
        self._versions: defaultdict[str, list[str]] = defaultdict(list)
        for artifact in [*self.ready, *(set(self.loading) - set(self.ready))]:
            self._versions[name_of(artifact)].append(artifact)
        slots = {
            s.name: max(1.0, float(s.slots)) for s in view.servers.values() if s.usable
        }
        self.load_estimate = LoadEstimate(view.need, self._holders(), slots)

    def _index(self, server: ServerView) -> None:
        self.free[server.name] = server.free_mib
        self.being_freed[server.name] = 0
        for artifact, holding in server.holdings.items():
            if holding.state == "ready":
                self.ready[artifact].add(server.name)
            elif holding.state == "loading":
                self.loading[artifact].add(server.name)
            else:
                self.being_freed[server.name] += holding.mib

    def _holders(self) -> dict[str, set[str]]:
        return {
            name: set().union(*(self.ready_or_loading(a) for a in artifacts))
            for name, artifacts in self._versions.items()
        }

    def ready_or_loading(self, artifact: str) -> set[str]:
        """Return the engines that can serve an artifact now or are loading it."""
        return self.serving_engines(artifact) | self.loading.get(artifact, set())

    def _engines_with_base(self, artifact: str, servers: set[str]) -> set[str]:
        """Return the subset of `servers` on which an artifact can serve requests.

        An adapter can serve only where a version of its base model is ready.
        """
        deployment = self.current.get(name_of(artifact))
        if deployment is None or deployment.base is None:
            return set(servers)
        return {s for s in servers if self.has_base(s, deployment.base)}

    def has_base(self, server: str, base: str) -> bool:
        """Return whether any version of a base model is ready on an engine."""
        versions = self._versions.get(name_of(base), [])
        return any(server in self.ready.get(artifact, ()) for artifact in versions)

    def serving_engines(self, artifact: str) -> set[str]:
        """Return the usable engines that can serve an artifact."""
        return self._engines_with_base(artifact, self.ready.get(artifact, set()))

    def older_versions(self, deployment: Deployment) -> dict[str, set[str]]:
        """Return the engines that can serve older versions, by artifact."""
        return {
            artifact: servers
            for artifact in self._versions.get(deployment.name, [])
            if artifact != deployment.artifact
            if (servers := self.serving_engines(artifact))
        }

    def has_switched(self, deployment: Deployment) -> bool:
        """Return whether the deployed version serves requests, not an older one."""
        older = self.older_versions(deployment)
        most = max((len(servers) for servers in older.values()), default=0)
        enough = replicas_to_switch(deployment.min_replicas, most)
        return len(self.serving_engines(deployment.artifact)) >= enough

    def may_remove(self, server: str, artifact: str) -> bool:
        """Return whether a replica can be removed.

        Enough replicas of its artifact, and of the adapters that depend on it, must
        remain on other engines.
        """
        if not self.enough_replicas_without(server, artifact):
            return False
        dependents = self.dependents(server, artifact)
        return all(
            self.enough_replicas_without(server, adapter) for adapter in dependents
        )

    def enough_replicas_without(self, server: str, artifact: str) -> bool:
        """Return whether enough replicas remain without the one on an engine."""
        deployment = self.current.get(name_of(artifact))
        if deployment is None:
            return True
        if artifact != deployment.artifact and self.has_switched(deployment):
            return True
        remaining = self.serving_engines(artifact) - {server}
        return len(remaining) >= max(1, deployment.min_replicas)

    def dependents(self, server: str, artifact: str) -> list[str]:
        """Return the adapters on an engine that use an artifact as their base."""
        # The base of an adapter is only a name if its version is unknown.
        bases = (artifact, name_of(artifact))
        return [
            adapter
            for adapter, holding in self.view.servers[server].holdings.items()
            if holding.base in bases and holding.state != "going"
            if server in self.ready.get(adapter, ())
            or server in self.loading.get(adapter, ())
        ]

    def can_host(self, server: str, deployment: Deployment) -> bool:
        """Return whether an engine may load a replica, not counting memory."""
        view = self.view.servers[server]
        artifact = deployment.artifact
        if artifact in view.holdings or artifact in view.blocked:
            return False
        if server in self.loading[artifact]:
            return False
        return deployment.base is None or server in self.ready[deployment.base]

    def candidates(self, deployment: Deployment) -> list[Candidate]:
        """Return the engines that may load a replica, best first.

        Engines with an older version come last: an adapter that is loaded there on the
        old version cannot be loaded on the new version as well.
        """
        versions = self._versions.get(deployment.name, [])
        older = set().union(*(self.ready.get(artifact, set()) for artifact in versions))
        found = [
            Candidate(name, self.load_estimate.free_slots(name), free)
            for name, free in self.free.items()
            if self.can_host(name, deployment)
        ]
        found.sort(
            key=lambda c: (c.server in older, -c.spare_slots, -c.free_mib, c.server)
        )
        return found

    def add(self, server: str, deployment: Deployment) -> None:
        """Apply a planned load; the estimate gives the replica load immediately."""
        self.free[server] -= deployment.mib
        self.loading[deployment.artifact].add(server)
        self.load_estimate.add(deployment.name, server)

    def remove(self, server: str, artifact: str) -> None:
        """Apply a planned removal; its memory counts as being freed, not as free."""
        self.ready[artifact].discard(server)
        self.being_freed[server] += self.holding(server, artifact).mib
        self.load_estimate.remove(name_of(artifact), server)

    def reserve(self, server: str, mib: int) -> None:
        """Reserve memory, free or being freed, for a replica."""
        self.being_freed[server] -= max(0, mib - self.free[server])
        self.free[server] = max(0, self.free[server] - mib)

    def holding(self, server: str, artifact: str) -> Holding:
        """Return the holding of an artifact on an engine."""
        return self.view.servers[server].holdings[artifact]
