"""Simple routing policies, used as baselines in benchmarks."""

from __future__ import annotations

import random
from typing import Protocol

from ._load_tracker import LoadTracker
from ._model import Candidate, Choice, Replicas, RoutedRequest
from ._selector import InstanceShare, has_capacity


class _Pick(Protocol):
    """Picks one of the replicas that have free capacity."""

    def __call__(self, available: list[Candidate]) -> Candidate:
        """Return one of `available`, which is not empty."""
        ...


class BaselineSelector:
    """Picks among the replicas with free capacity and ignores their KV caches."""

    def __init__(
        self, replicas: Replicas, load_tracker: LoadTracker, pick: _Pick, reason: str
    ) -> None:
        """Create a policy.

        Args:
            replicas: State of the backend servers.
            load_tracker: Load estimates of the backend servers.
            pick: Picks one of the replicas with free capacity.
            reason: Name of the policy, logged as the reason of each choice.
        """
        self._replicas = replicas
        self._load_tracker = load_tracker
        self._pick = pick
        self._reason = reason

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: InstanceShare
    ) -> Choice | None:
        """Return a choice, or None if no backend server has free capacity."""
        candidates = tuple(
            Candidate(s.name, self._load_tracker.estimate(s), s.slots, False)
            for s in self._replicas.ready(req.artifact)
            if s.name not in excluded
        )
        available = [
            c for c in candidates if has_capacity(c, req, self._load_tracker, share)
        ]
        if not available:
            return None
        return Choice(self._pick(available).name, self._reason, candidates)


def random_selector(
    replicas: Replicas, load_tracker: LoadTracker, rng: random.Random
) -> BaselineSelector:
    """Return the policy that picks a random replica with free capacity."""
    return BaselineSelector(replicas, load_tracker, rng.choice, "random")


def least_loaded_selector(
    replicas: Replicas, load_tracker: LoadTracker
) -> BaselineSelector:
    """Return the policy that picks the replica with the lowest estimated load."""

    def least_loaded(available: list[Candidate]) -> Candidate:
        return min(available, key=lambda c: c.utilisation)

    return BaselineSelector(replicas, load_tracker, least_loaded, "least_loaded")
