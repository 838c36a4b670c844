"""Limits the loads that one planner starts."""

from __future__ import annotations

from collections import Counter

from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.settings import PlacementSettings

from ._model import Budget


class LoadBudget:
    """The share that one pool has of the fleet-wide limits on loads.

    The share is proportional to the number of engines in the pool, so that planners
    need no coordination. Loads of base models are limited in rate, by a token bucket,
    and in concurrency. Loads of adapters are limited in concurrency.
    """

    BURST_SECONDS = 1.0
    """Capacity of the token bucket in seconds of its rate; at least one load fits."""

    def __init__(self, settings: PlacementSettings, share: float, clock: Clock) -> None:
        """Create a budget with a full token bucket.

        Args:
            settings: Fleet-wide limits on loads.
            share: Share of this pool, above 0 and up to 1.
            clock: Time source.
        """
        self._settings = settings
        self._clock = clock
        self.share = share
        """Share of this pool in the limits."""
        self._tokens = self._burst()
        self._refilled_at = clock.monotonic()

    def available(self, base_loading: int, adapters_loading: int) -> Budget:
        """Return the loads that may be started now.

        Args:
            base_loading: Base models that are being loaded.
            adapters_loading: Adapters that are being loaded.
        """
        self._refill()
        max_concurrent = max(1, int(self._settings.loads_at_once * self.share))
        base_loads = min(int(self._tokens), max_concurrent - base_loading)
        max_concurrent_adapters = max(
            1, int(self._settings.adapter_loads_at_once * self.share)
        )
        return Budget(
            max(0, base_loads), max(0, max_concurrent_adapters - adapters_loading)
        )

    def spend(self, base_loads: int) -> None:
        """Take the tokens for base models whose load was started."""
        self._tokens -= base_loads

    def _refill(self) -> None:
        now = self._clock.monotonic()
        rate = self._settings.loads_per_second * self.share
        self._tokens += (now - self._refilled_at) * rate
        self._tokens = min(self._tokens, self._burst())
        self._refilled_at = now

    def _burst(self) -> float:
        rate = self._settings.loads_per_second * self.share
        return max(1.0, rate * self.BURST_SECONDS)


def pool_share(cfg: Configuration, pool: str) -> float:
    """Return the fraction of the engines of the fleet that are in a pool, 0 to 1."""
    engines = Counter(server.pool for server in cfg.engines)
    return engines[pool] / max(1, engines.total())
