"""Chooses a backend server among the ready replicas of an artifact."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import xxhash

from ._load_tracker import LoadBook
from ._model import Candidate, Choice, Replicas, ReplicaState, RoutedRequest

Share = Callable[[], float]


class Selector(Protocol):
    """A routing policy."""

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: Share
    ) -> Choice | None:
        """Choose a backend server that has room, or None if none has.

        Args:
            req: The request.
            excluded: Names of backend servers that already failed it.
            share: Returns this instance's part of a contended backend server, 0 to 1.
        """
        ...


def has_room(
    candidate: Candidate, req: RoutedRequest, book: LoadBook, share: Share
) -> bool:
    """Return whether a backend server may be given one more request.

    Engines let live requests overtake batch ones, so this instance's own batch work
    does not count against a live request. On a full backend server an instance may
    still claim its own share of the slots.
    """
    load = candidate.load
    if req.rank == 0:
        load -= book.own_batch(candidate.name)
        if load < candidate.slots:
            return True
        own = book.own(candidate.name) - book.own_batch(candidate.name)
        return own < int(candidate.slots * share())
    return load < candidate.slots * AffinitySelector.BATCH_FILL


class AffinitySelector:
    """Prefers replicas that hold the prompt's prefix, within a bound on load.

    Without a cached prefix, rendezvous hashing of artifact and prefix gives the same
    replica on every instance, which warms its cache. A replica whose load is above
    the bound is passed over; then the better of two random replicas is taken, which
    keeps instances that read the same report from all picking one.
    """

    BATCH_FILL = 0.85
    """Part of the slots that batch requests may fill."""
    LOAD_BOUND = 1.25
    """Affinity holds up to this multiple of the mean utilisation."""
    LOAD_SLACK_SLOTS = 1.0
    """Requests above the bound that are still tolerated."""

    def __init__(self, replicas: Replicas, book: LoadBook, rng: random.Random) -> None:
        self._replicas = replicas
        self._book = book
        self._rng = rng

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: Share
    ) -> Choice | None:
        """Choose a backend server that has room, or None if none has."""
        states = self._replicas.ready(req.artifact)
        seen = tuple(self._candidate(s, req) for s in states if s.name not in excluded)
        roomy = [c for c in seen if has_room(c, req, self._book, share)]
        if not roomy:
            return None
        if len(roomy) == 1:
            return Choice(roomy[0].name, "only", seen)
        within = self._within_bound(seen, roomy)
        cached = [c for c in within if c.cached]
        if cached:
            best = min(cached, key=lambda c: c.utilisation)
            return Choice(best.name, "prefix", seen)
        favourite = max(roomy, key=lambda c: _weight(c.name, req))
        if favourite in within:
            return Choice(favourite.name, "affinity", seen)
        return Choice(self._better_of_two(roomy).name, "two_choices", seen)

    def _candidate(self, state: ReplicaState, req: RoutedRequest) -> Candidate:
        cached = self._replicas.cached(state.name, req.prefix)
        load = self._book.estimate(state)
        return Candidate(state.name, load, state.slots, cached)

    def _within_bound(
        self, seen: tuple[Candidate, ...], roomy: list[Candidate]
    ) -> list[Candidate]:
        mean = sum(c.load for c in seen) / max(1, sum(c.slots for c in seen))
        return [
            c
            for c in roomy
            if c.load <= mean * self.LOAD_BOUND * c.slots + self.LOAD_SLACK_SLOTS
        ]

    def _better_of_two(self, roomy: list[Candidate]) -> Candidate:
        pair = self._rng.sample(roomy, 2)
        return min(pair, key=lambda c: c.utilisation)


def _weight(backend: str, req: RoutedRequest) -> int:
    return xxhash.xxh3_64_intdigest(f"{backend}/{req.artifact}/{req.prefix}".encode())
