"""Finds the cheapest way to make room for a replica."""

from __future__ import annotations

from typing import NamedTuple

from ._model import Candidate, Deployment, name_of
from ._projected_pool import Draft


class Room(NamedTuple):
    """A way to make room on an engine."""

    cost: float
    """Estimated slots of need that go unmet, and the cost of relocations."""
    server: str
    removals: tuple[str, ...]
    """Artifacts that may go now."""
    relocations: tuple[str, ...]
    """Artifacts that must first be loaded elsewhere."""


class _Option(NamedTuple):
    cost_per_mib: float
    cost: float
    artifact: str


class RoomFinder:
    """Weighs which replicas an engine could give up."""

    RELOCATION_COST = 4.0
    """Cost in slots of a move that only makes room."""

    def __init__(self, draft: Draft) -> None:
        self._draft = draft

    def rooms(self, deployment: Deployment, candidates: list[Candidate]) -> list[Room]:
        """Return the way to make room on each engine that has one."""
        found = (self.room(deployment, c.server) for c in candidates)
        return [room for room in found if room is not None]

    def room(self, deployment: Deployment, server: str) -> Room | None:
        """Return the cheapest way to make room on an engine, None without one."""
        draft = self._draft
        lacking = deployment.mib - draft.free[server] - draft.promised[server]
        chosen: list[_Option] = []
        gone: set[str] = set()
        for option in sorted(self._options(deployment, server)):
            if lacking <= 0:
                break
            freed = {option.artifact, *draft.dependents(server, option.artifact)}
            lacking -= sum(draft.holding(server, a).mib for a in freed - gone)
            gone |= freed
            chosen.append(option)
        if lacking > 0:
            return None
        return self._room_of(server, chosen)

    def _room_of(self, server: str, chosen: list[_Option]) -> Room:
        artifacts = [option.artifact for option in chosen]
        may_remove = self._draft.may_remove
        now = tuple(a for a in artifacts if may_remove(server, a))
        later = tuple(a for a in artifacts if a not in now)
        return Room(sum(option.cost for option in chosen), server, now, later)

    def _options(self, deployment: Deployment, server: str) -> list[_Option]:
        draft = self._draft
        return [
            option
            for artifact, holding in draft.view.servers[server].holdings.items()
            if server in draft.ready[artifact]
            if artifact != deployment.base and holding.mib > 0
            if artifact not in draft.view.urgent
            if (option := self._option(server, artifact, deployment)) is not None
        ]

    def _option(
        self, server: str, artifact: str, favoured: Deployment
    ) -> _Option | None:
        """Return what it costs to give up a replica, None if it must stay."""
        draft = self._draft
        holding = draft.holding(server, artifact)
        loss = draft.spread.loss(name_of(artifact), server)
        if favoured.base is not None and holding.base is None:
            loss += self.RELOCATION_COST
        if draft.may_remove(server, artifact):
            return _Option(loss / holding.mib, loss, artifact)
        if not self._relocatable(server, artifact):
            return None
        if not draft.coming[artifact]:
            loss += self.RELOCATION_COST
        return _Option(loss / holding.mib, loss, artifact)

    def _relocatable(self, server: str, artifact: str) -> bool:
        first = self.to_relocate(server, artifact)
        return bool(first) and all(
            d is not None and (self._draft.coming[d.artifact] or self.elsewhere(d))
            for d in first
        )

    def to_relocate(self, server: str, artifact: str) -> list[Deployment | None]:
        """Return what must be loaded elsewhere next before an artifact can go.

        A base model comes first, the adapters that depend on it follow.
        """
        draft = self._draft
        deployed = self._draft.view.deployments
        if not draft.enough_without(server, artifact):
            return [deployed.get(artifact)]
        return [
            deployed.get(adapter)
            for adapter in draft.dependents(server, artifact)
            if not draft.enough_without(server, adapter)
        ]

    def elsewhere(self, deployment: Deployment) -> list[Candidate]:
        """Return the engines with room for another replica."""
        candidates = self._draft.candidates(deployment)
        return [c for c in candidates if c.free_mib >= deployment.mib]
