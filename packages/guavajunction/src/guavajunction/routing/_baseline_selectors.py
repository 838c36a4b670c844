"""Plain routing policies, to measure the product's against."""

from __future__ import annotations

import random
from typing import Protocol

from ._load_tracker import LoadBook
from ._model import Candidate, Choice, Replicas, RoutedRequest
from ._selector import Share, has_room


class _Pick(Protocol):
    """Takes one of several replicas that have room."""

    def __call__(self, roomy: list[Candidate]) -> Candidate:
        """Return one of the candidates; there is at least one."""
        ...


class BaselineSelector:
    """Picks among the replicas with room, whatever they have cached."""

    def __init__(
        self, replicas: Replicas, book: LoadBook, pick: _Pick, reason: str
    ) -> None:
        """Create a policy.

        Args:
            replicas: The backend servers.
            book: Estimates of load.
            pick: Takes one of those that have room.
            reason: Name of the policy, for the log.
        """
        self._replicas = replicas
        self._book = book
        self._pick = pick
        self._reason = reason

    def choose(
        self, req: RoutedRequest, excluded: frozenset[str], share: Share
    ) -> Choice | None:
        """Choose a backend server that has room, or None if none has."""
        seen = tuple(
            Candidate(s.name, self._book.estimate(s), s.slots, False)
            for s in self._replicas.ready(req.artifact)
            if s.name not in excluded
        )
        roomy = [c for c in seen if has_room(c, req, self._book, share)]
        if not roomy:
            return None
        return Choice(self._pick(roomy).name, self._reason, seen)


def random_selector(
    replicas: Replicas, book: LoadBook, rng: random.Random
) -> BaselineSelector:
    """Return the policy that takes any replica with room."""
    return BaselineSelector(replicas, book, rng.choice, "random")


def least_loaded_selector(replicas: Replicas, book: LoadBook) -> BaselineSelector:
    """Return the policy that takes the replica with the lowest estimated load."""

    def least_loaded(roomy: list[Candidate]) -> Candidate:
        return min(roomy, key=lambda c: c.utilisation)

    return BaselineSelector(replicas, book, least_loaded, "least_loaded")
