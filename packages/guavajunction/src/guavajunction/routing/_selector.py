"""Chooses a backend server among the ready replicas of an artifact."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import xxhash

from ._load_tracker import LoadTracker
from ._model import Candidate, Choice, Replicas, ReplicaState, RoutedRequest

InstanceShare = Callable[[], float]


class Selector(Protocol):
    """A routing policy."""

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: InstanceShare
    ) -> Choice | None:
        """Choose a backend server that has room, or None if none has.

        Args:
            req: The request.
            excluded: Names of backend servers that already failed it.
            share: Returns this instance's part of a contended backend server, 0 to 1.
        """
        ...


def has_capacity(
    candidate: Candidate,
    req: RoutedRequest,
    load_tracker: LoadTracker,
    share: InstanceShare,
) -> bool:
    """Return whether a backend server may be given one more request.

    Engines let live requests overtake batch ones, so this instance's own batch work
    does not count against a live request. On a full backend server an instance may
    still claim its own share of the slots.
    """
    load = candidate.load
    if req.rank == 0:
        load -= load_tracker.own_batch_in_flight(candidate.name)
        if load < candidate.slots:
            return True
        own = load_tracker.own_in_flight(
            candidate.name
        ) - load_tracker.own_batch_in_flight(candidate.name)
        return own < int(candidate.slots * share())
    return load < candidate.slots * AffinitySelector.BATCH_SLOT_FRACTION


class AffinitySelector:
    """Prefers replicas that hold the prompt's prefix, within a bound on load.

    Without a cached prefix, rendezvous hashing of artifact and prefix gives the same
    replica on every instance, which warms its cache. A replica whose load is above
    the bound is passed over; then the better of two random replicas is taken, which
    keeps instances that read the same report from all picking one.
    """

    BATCH_SLOT_FRACTION = 0.85
    """Part of the slots that batch requests may fill."""
    MAX_LOAD_RATIO = 1.25
    """Affinity holds up to this multiple of the mean utilisation."""
    LOAD_MARGIN_REQUESTS = 1.0
    """Requests above the bound that are still tolerated."""

    def __init__(
        self, replicas: Replicas, load_tracker: LoadTracker, rng: random.Random
    ) -> None:
        self._replicas = replicas
        self._load_tracker = load_tracker
        self._rng = rng

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: InstanceShare
    ) -> Choice | None:
        """Choose a backend server that has room, or None if none has."""
        states = self._replicas.ready(req.artifact)
        candidates = tuple(
            self._candidate(s, req) for s in states if s.name not in excluded
        )
        available = [
            c for c in candidates if has_capacity(c, req, self._load_tracker, share)
        ]
        if not available:
            return None
        if len(available) == 1:
            return Choice(available[0].name, "only", candidates)
        within = self._within_bound(candidates, available)
        cached = [c for c in within if c.cached]
        if cached:
            best = min(cached, key=lambda c: c.utilisation)
            return Choice(best.name, "prefix", candidates)
        preferred = max(available, key=lambda c: _rendezvous_weight(c.name, req))
        if preferred in within:
            return Choice(preferred.name, "affinity", candidates)
        return Choice(self._better_of_two(available).name, "two_choices", candidates)

    def _candidate(self, state: ReplicaState, req: RoutedRequest) -> Candidate:
        cached = self._replicas.cached(state.name, req.prefix)
        load = self._load_tracker.estimate(state)
        return Candidate(state.name, load, state.slots, cached)

    def _within_bound(
        self, candidates: tuple[Candidate, ...], available: list[Candidate]
    ) -> list[Candidate]:
        mean = sum(c.load for c in candidates) / max(
            1, sum(c.slots for c in candidates)
        )
        return [
            c
            for c in available
            if c.load
            <= mean * self.MAX_LOAD_RATIO * c.slots + self.LOAD_MARGIN_REQUESTS
        ]

    def _better_of_two(self, available: list[Candidate]) -> Candidate:
        pair = self._rng.sample(available, 2)
        return min(pair, key=lambda c: c.utilisation)


def _rendezvous_weight(backend: str, req: RoutedRequest) -> int:
    return xxhash.xxh3_64_intdigest(f"{backend}/{req.artifact}/{req.prefix}".encode())
