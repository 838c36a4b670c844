"""Estimates the slots that the demand keeps busy."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from guavajunction.backends import BackendState

from ._fleet_demand import NameDemand


class NeedEstimate:
    """The slots that the demand for each model or adapter keeps busy.

    The tokens per second of one busy slot are learned from the load reports of the
    pool. The need follows a rise of the demand at once and decays slowly, so that
    replicas are not removed between two bursts and loaded again for the second.
    """

    HALF_LIFE_SECONDS = 90.0
    """Half-life of the need after the demand has ended."""
    SLOTS_PER_WAITING_REQUEST = 0.25
    """Slots that each waiting request adds to the need."""
    INITIAL_SLOT_TOKENS_PER_S = 40.0
    """Tokens per second of one busy slot until a value has been learned."""
    SLOT_TOKENS_PER_S_BOUNDS = (5.0, 500.0)
    """Minimum and maximum of the learned value."""
    LEARNING_RATE = 0.05
    """Weight of the newest measurement in the moving average."""
    MIN_RUNNING_REQUESTS = 4
    """Number of running requests below which nothing is learned."""
    MIN_NEED_SLOTS = 0.01
    """Need below which a model or adapter is dropped."""

    def __init__(self) -> None:
        self.slot_tokens_per_s = self.INITIAL_SLOT_TOKENS_PER_S
        """Tokens per second that one busy slot serves."""
        self._need: dict[str, float] = {}
        self._updated_at: float | None = None

    def update(self, demand: Mapping[str, NameDemand], now: float) -> dict[str, float]:
        """Update the need and return it.

        Args:
            demand: Current demand by name.
            now: Local monotonic time in seconds.

        Returns:
            Busy slots by name.
        """
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        decay = math.exp2(-elapsed / self.HALF_LIFE_SECONDS)
        need = {name: old * decay for name, old in self._need.items()}
        for name, rate in demand.items():
            slots = rate.tokens_per_s / self.slot_tokens_per_s
            slots += rate.waiting * self.SLOTS_PER_WAITING_REQUEST
            need[name] = max(slots, need.get(name, 0.0))
        self._need = {n: v for n, v in need.items() if v >= self.MIN_NEED_SLOTS}
        return dict(self._need)

    def learn(
        self, demand: Mapping[str, NameDemand], states: Iterable[BackendState]
    ) -> None:
        """Update the tokens per second of one slot from demand and running requests.

        Nothing is learned while requests wait: the number of running requests then
        shows how many slots exist, not how many the demand needs.
        """
        running = sum(state.running for state in states)
        tokens = sum(rate.tokens_per_s for rate in demand.values())
        waiting = sum(rate.waiting for rate in demand.values())
        if running < self.MIN_RUNNING_REQUESTS or waiting or tokens <= 0:
            return
        low, high = self.SLOT_TOKENS_PER_S_BOUNDS
        measured = min(high, max(low, tokens / running))
        self.slot_tokens_per_s += self.LEARNING_RATE * (
            measured - self.slot_tokens_per_s
        )
