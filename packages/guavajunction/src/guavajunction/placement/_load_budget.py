"""Limits the loads that one planner starts."""

from __future__ import annotations

from collections import Counter

from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.settings import PlacementSettings

from ._model import Budget


class LoadBudget:
    """The share of one pool in the fleet's limits on loads.

    Each pool's share is its share of the engines, so that planners need no
    coordination. Loads of base models are limited in rate, by a token bucket, and in
    concurrency. Loads of adapters are limited in concurrency.
    """

    BURST_SECONDS = 1.0
    """Capacity of the token bucket in seconds of its rate; at least one load fits."""

    def __init__(self, settings: PlacementSettings, share: float, clock: Clock) -> None:
        """Start with a full token bucket.

        Args:
            settings: Limits for the fleet.
            share: Share of this pool, above 0 and up to 1.
            clock: Time source.
        """
        self._settings = settings
        self._clock = clock
        self.share = share
        """Share of this pool in the limits."""
        self._tokens = self._burst()
        self._refilled = clock.monotonic()

    def available(self, base_loading: int, adapters_loading: int) -> Budget:
        """Return the loads that may be started now.

        Args:
            base_loading: Base models that are being loaded.
            adapters_loading: Adapters that are being loaded.
        """
        self._refill()
        at_once = max(1, int(self._settings.loads_at_once * self.share))
        base = min(int(self._tokens), at_once - base_loading)
        adapters_at_once = max(
            1, int(self._settings.adapter_loads_at_once * self.share)
        )
        return Budget(max(0, base), max(0, adapters_at_once - adapters_loading))

    def spend(self, base_loads: int) -> None:
        """Take the tokens for base models whose load was started."""
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
    """Return the share of a pool in the engines of the fleet."""
    engines = Counter(server.pool for server in cfg.engines)
    return engines[pool] / max(1, engines.total())
