"""The rate limits of all customers."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import PeerId

from ._catalogue import Customer
from ._pooled_rate_limit import PooledRateLimit, RateLimitTerms
from ._request import GatewayRequest


class RateLimitBounds(NamedTuple):
    """Tolerances within which rate limits are enforced."""

    window_seconds: float
    """Length of the window in which the bound on usage holds."""
    overshoot: float
    """Fraction by which usage in a window may exceed its rate and burst."""
    slack: float
    """Units by which usage in a window may exceed the bound, besides `overshoot`."""


class RateLimits:
    """Charges requests to the rate limits of their customers."""

    def __init__(self, bounds: RateLimitBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._pools: dict[str, PooledRateLimit] = {}
        self._customers: tuple[Customer, ...] = ()

    def change_bounds(self, bounds: RateLimitBounds) -> None:
        """Apply changed settings."""
        self._bounds = bounds
        self.configure(self._customers)

    def configure(self, customers: tuple[Customer, ...]) -> None:
        """Apply a configuration.

        Customers that remain configured keep the current level of their pools.
        """
        self._customers = customers
        now = self._clock.monotonic()
        limited = {c.name: self._terms(c) for c in customers if c.rate > 0}
        for name in set(self._pools) - set(limited):
            del self._pools[name]
        for name, terms in limited.items():
            if name in self._pools:
                self._pools[name].change_terms(terms, now)
            else:
                self._pools[name] = PooledRateLimit(terms, now)

    def charge(self, customer: Customer, req: GatewayRequest) -> float | None:
        """Charge a request.

        Returns:
            None if it was charged, else the seconds until the pool has its units.
        """
        pool = self._pools.get(customer.name)
        if pool is None:
            return None
        now = self._clock.monotonic()
        units = self._units(customer, req)
        if pool.spend(units, now):
            return None
        return pool.seconds_until(units, now)

    def spent(self) -> dict[str, float]:
        """Return the units admitted by this instance by customer, to send to peers."""
        return {name: p.spent for name, p in self._pools.items() if p.spent}

    def update_peer(self, peer: PeerId, spent: dict[str, float]) -> None:
        """Subtract the units that a peer has admitted.

        Args:
            peer: The peer that sent the counts.
            spent: Units that it admitted since its start, by customer.
        """
        now = self._clock.monotonic()
        for name, pool in self._pools.items():
            pool.update_peer(peer, spent.get(name, 0.0), now)

    def spent_without(self, peer: PeerId) -> dict[str, float]:
        """Return the units admitted by all instances but one, to send to that peer."""
        spent = {name: p.spent_without(peer) for name, p in self._pools.items()}
        return {name: units for name, units in spent.items() if units}

    def reset_peer_counts(self) -> None:
        """Discard the baselines, because other peers report the counts from now on."""
        for pool in self._pools.values():
            pool.reset_peer_counts()

    def limit_to_share(self, share: float, others: int) -> None:
        """Limit this side to its share of every pool while instances are unreachable.

        Args:
            share: Reachable instances, this one included, divided by the instances
                that may be serving.
            others: Other instances that may be serving.
        """
        now = self._clock.monotonic()
        for pool in self._pools.values():
            pool.limit_to_share(share, others, now)

    def _units(self, customer: Customer, req: GatewayRequest) -> float:
        if not customer.counts_tokens:
            return 1.0
        if req.size is None:
            return customer.plain_request_tokens
        return float(req.size.prompt_tokens + req.size.max_output_tokens)

    def _terms(self, customer: Customer) -> RateLimitTerms:
        bounds = self._bounds
        nominal = customer.rate * bounds.window_seconds + customer.burst
        return RateLimitTerms(
            rate=customer.rate,
            burst=customer.burst,
            tolerance=nominal * bounds.overshoot + bounds.slack,
        )
