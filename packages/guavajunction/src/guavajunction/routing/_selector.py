"""Chooses a backend server among the ready replicas of an artifact."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import xxhash

from ._load_tracker import LoadTracker
from ._model import Candidate, Choice, Replicas, ReplicaState, RoutedRequest

InstanceShare = Callable[[], float]
"""Returns this instance's share of the slots of a full backend server, 0 to 1."""


class Selector(Protocol):
    """A policy that chooses the backend server for a request."""

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: InstanceShare
    ) -> Choice | None:
        """Return a choice, or None if no backend server has free capacity.

        Args:
            req: The request.
            excluded: Names of backend servers on which the request has failed.
            share: Returns this instance's share of the slots of a full backend server.
        """
        ...


def has_capacity(
    candidate: Candidate,
    req: RoutedRequest,
    load_tracker: LoadTracker,
    share: InstanceShare,
) -> bool:
    """Return whether this instance may send one more request to a backend server.

    Engines run live requests before batch requests, so this instance's own batch
    requests do not count as load for a live request. On a full backend server an
    instance may still use its own share of the slots for live requests. Batch requests
    may fill `AffinitySelector.BATCH_SLOT_FRACTION` of the slots.
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
    """Prefers replicas that have the prompt's prefix cached, within a load bound.

    Without a cached prefix, rendezvous hashing of artifact and prefix selects the same
    replica on every instance, so that its KV cache is used by all of them. If the load
    of that replica is above the bound, the less loaded of two random replicas is
    chosen. The random choice avoids a thundering herd: instances that read the same
    load report would otherwise all choose the same replica.
    """

    BATCH_SLOT_FRACTION = 0.85
    """Fraction of a backend server's slots that batch requests may fill."""
    MAX_LOAD_RATIO = 1.25
    """Utilisation bound for affinity, as a multiple of the mean over the replicas."""
    LOAD_MARGIN_REQUESTS = 1.0
    """Number of requests by which a replica may exceed the utilisation bound."""

    def __init__(
        self, replicas: Replicas, load_tracker: LoadTracker, rng: random.Random
    ) -> None:
        self._replicas = replicas
        self._load_tracker = load_tracker
        self._rng = rng

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: InstanceShare
    ) -> Choice | None:
        """Return a choice, or None if no backend server has free capacity."""
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
