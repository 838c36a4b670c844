"""Bounds the loads that one planner starts."""

from __future__ import annotations

from collections import Counter

from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.settings import PlacementSettings

from ._model import Budget


class LoadBudget:
    """One pool's part of the bounds that hold for the fleet.

    The bounds are divided over the pools by their engines, so that planners need not
    ask each other. Base models are bounded in rate and number, adapters in number.
    """

    BURST_SECONDS = 1.0
    """Time over which unused rate adds up."""

    def __init__(self, settings: PlacementSettings, share: float, clock: Clock) -> None:
        """Start with one second's loads.

        Args:
            settings: Bounds for the fleet.
            share: This pool's part, above 0 and up to 1.
            clock: Time source.
        """
        self._settings = settings
        self._clock = clock
        self.share = share
        """This pool's part of the bounds."""
        self._tokens = self._burst()
        self._refilled = clock.monotonic()

    def available(self, base_loading: int, adapters_loading: int) -> Budget:
        """Return the loads that may be started now.

        Args:
            base_loading: Base models in flight.
            adapters_loading: Adapters in flight.
        """
        self._refill()
        at_once = max(1, int(self._settings.loads_at_once * self.share))
        base = min(int(self._tokens), at_once - base_loading)
        adapters_at_once = max(
            1, int(self._settings.adapter_loads_at_once * self.share)
        )
        return Budget(max(0, base), max(0, adapters_at_once - adapters_loading))

    def spend(self, base_loads: int) -> None:
        """Note base models whose load was started."""
        self._tokens -= base_loads

    def _refill(self) -> None:
        now = self._clock.monotonic()
        rate = self._settings.loads_per_second * self.share
        self._tokens += (now - self._refilled) * rate
        self._tokens = min(self._tokens, self._burst())
        self._refilled = now

    def _burst(self) -> float:
        rate = self._settings.loads_per_second * self.share
        return max(1.0, rate * self.BURST_SECONDS)


def pool_share(cfg: Configuration, pool: str) -> float:
    """Return a pool's part of the fleet's load bounds, by its engines."""
    engines = Counter(server.pool for server in cfg.engines)
    return engines[pool] / max(1, engines.total())
