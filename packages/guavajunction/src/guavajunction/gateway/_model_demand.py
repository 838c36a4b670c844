"""Measures the demand for each model on this instance, and sums that of its peers."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import NamedTuple

from guavajunction.peers import PeerId


class Demand(NamedTuple):
    """Demand for one model or adapter."""

    rate: float
    """Recent requests a second."""
    waiting: int
    """Requests that wait because no backend server has the model loaded."""


NO_DEMAND = Demand(0.0, 0)


class ModelDemand:
    """Counts arrivals with exponential decay, so that a shift shows within seconds."""

    DECAY_SECONDS = 3.0
    """Time constant of the decay; demand may shift to other models within five
    seconds."""
    MIN_RATE = 0.02
    """Requests a second below which a model counts as not requested."""

    def __init__(self) -> None:
        self._counts: defaultdict[str, float] = defaultdict(float)
        self._decayed_at = 0.0
        self._peers: dict[PeerId, dict[str, Demand]] = {}
        self._peer_resumes: dict[PeerId, dict[str, dict[str, int]]] = {}

    def note(self, model: str, now: float) -> None:
        """Count a request for a model or adapter."""
        self._decay(now)
        self._counts[model] += 1.0

    def own(self, waiting: dict[str, int], now: float) -> dict[str, Demand]:
        """Return the demand on this instance, to send to peers.

        Args:
            waiting: Requests that wait for a load, by model.
            now: Monotonic time in seconds.
        """
        self._decay(now)
        rates = {m: count / self.DECAY_SECONDS for m, count in self._counts.items()}
        return {
            model: Demand(round(rates.get(model, 0.0), 2), waiting.get(model, 0))
            for model in rates.keys() | waiting.keys()
            if rates.get(model, 0.0) > self.MIN_RATE or waiting.get(model)
        }

    def update_peer(self, peer: PeerId, demand: dict[str, Demand]) -> None:
        """Replace the demand reported by a peer."""
        self._peers[peer] = demand

    def fleet(self, own: dict[str, Demand], peers: list[PeerId]) -> dict[str, Demand]:
        """Return the sum of this instance's demand and that of the given peers."""
        for removed in set(self._peers) - set(peers):
            del self._peers[removed]
        total = dict(own)
        for demand in self._peers.values():
            for model, peer_demand in demand.items():
                known = total.get(model, NO_DEMAND)
                total[model] = Demand(
                    known.rate + peer_demand.rate, known.waiting + peer_demand.waiting
                )
        return total

    def update_peer_resumes(
        self, peer: PeerId, waiting: dict[str, dict[str, int]]
    ) -> None:
        """Replace the resumed streams that wait for a load on a peer."""
        self._peer_resumes[peer] = waiting

    def fleet_resumes(
        self, own: dict[str, dict[str, int]], peers: list[PeerId]
    ) -> dict[str, dict[str, int]]:
        """Return the resumed streams that wait for a load, by version and model.

        Args:
            own: Those that wait on this instance.
            peers: Other instances whose streams are added.
        """
        for removed in set(self._peer_resumes) - set(peers):
            del self._peer_resumes[removed]
        total: dict[str, Counter[str]] = {}
        for waiting in (own, *self._peer_resumes.values()):
            for version, models in waiting.items():
                total.setdefault(version, Counter()).update(models)
        return {version: dict(models) for version, models in total.items()}

    def _decay(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._decayed_at) / self.DECAY_SECONDS)
        self._decayed_at = max(self._decayed_at, now)
        floor = self.MIN_RATE * self.DECAY_SECONDS / 2
        for model in list(self._counts):
            self._counts[model] *= kept
            if self._counts[model] < floor:
                del self._counts[model]
