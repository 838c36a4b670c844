"""Plain routing policies, to measure the product's against."""

from __future__ import annotations

import random
from typing import Protocol

from ._load_tracker import LoadTracker
from ._model import Candidate, Choice, Replicas, RoutedRequest
from ._selector import InstanceShare, has_capacity


class _Pick(Protocol):
    """Takes one of several replicas that have room."""

    def __call__(self, available: list[Candidate]) -> Candidate:
        """Return one of the candidates; there is at least one."""
        ...


class BaselineSelector:
    """Picks among the replicas with room, whatever they have cached."""

    def __init__(
        self, replicas: Replicas, load_tracker: LoadTracker, pick: _Pick, reason: str
    ) -> None:
        """Create a policy.

        Args:
            replicas: The backend servers.
            book: Estimates of load.
            pick: Takes one of those that have room.
            reason: Name of the policy, for the log.
        """
        self._replicas = replicas
        self._load_tracker = load_tracker
        self._pick = pick
        self._reason = reason

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: InstanceShare
    ) -> Choice | None:
        """Choose a backend server that has room, or None if none has."""
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
    """Return the policy that takes any replica with room."""
    return BaselineSelector(replicas, load_tracker, rng.choice, "random")


def least_loaded_selector(
    replicas: Replicas, load_tracker: LoadTracker
) -> BaselineSelector:
    """Return the policy that takes the replica with the lowest estimated load."""

    def least_loaded(available: list[Candidate]) -> Candidate:
        return min(available, key=lambda c: c.utilisation)

    return BaselineSelector(replicas, load_tracker, least_loaded, "least_loaded")
