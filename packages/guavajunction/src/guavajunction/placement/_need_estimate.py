"""Turns demand into busy slots, rising at once and falling slowly."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from guavajunction.backends import BackendState

from ._fleet_demand import NameDemand


class NeedEstimate:
    """How many slots the demand for each name keeps busy.

    The tokens that one busy slot serves a second are learned from the pool's own
    reports. The need follows a rise at once and decays slowly, so that a lull does
    not give away replicas which the next burst would load again.
    """

    HALF_LIFE_SECONDS = 90.0
    """Time in which the need halves once the demand has gone."""
    WAITING_SLOTS = 0.25
    """Slots that each waiting request adds."""
    FIRST_SLOT_RATE = 40.0
    """Tokens a second of one slot before anything was learned."""
    SLOT_RATE_BOUNDS = (5.0, 500.0)
    LEARNING = 0.05
    """Weight of the newest measurement of the slot rate."""
    LEAST_RUNNING = 4
    """Running requests below which nothing is learned."""
    LEAST_NEED_SLOTS = 0.01

    def __init__(self) -> None:
        self.slot_rate = self.FIRST_SLOT_RATE
        """Tokens a second that one busy slot serves."""
        self._need: dict[str, float] = {}
        self._at: float | None = None

    def update(self, demand: Mapping[str, NameDemand], now: float) -> dict[str, float]:
        """Take in the demand of now and return the need in slots, by name."""
        elapsed = 0.0 if self._at is None else now - self._at
        self._at = now
        keep = math.exp2(-elapsed / self.HALF_LIFE_SECONDS)
        need = {name: old * keep for name, old in self._need.items()}
        for name, rate in demand.items():
            slots = rate.tokens_per_s / self.slot_rate
            slots += rate.waiting * self.WAITING_SLOTS
            need[name] = max(slots, need.get(name, 0.0))
        self._need = {n: v for n, v in need.items() if v >= self.LEAST_NEED_SLOTS}
        return dict(self._need)

    def learn(
        self, demand: Mapping[str, NameDemand], states: Iterable[BackendState]
    ) -> None:
        """Compare the demand with the requests that run.

        Nothing is learned while requests wait: those that run then say how many
        slots there are, not how many the demand needs.
        """
        running = sum(state.running for state in states)
        tokens = sum(rate.tokens_per_s for rate in demand.values())
        waiting = sum(rate.waiting for rate in demand.values())
        if running < self.LEAST_RUNNING or waiting or tokens <= 0:
            return
        low, high = self.SLOT_RATE_BOUNDS
        measured = min(high, max(low, tokens / running))
        self.slot_rate += self.LEARNING * (measured - self.slot_rate)
