"""A customer's rate limit, shared by all instances.

A customer may send many times its usual load to all instances at once. Each instance
counts the units that it admits and receives the counts of the others within one or two
heartbeats: from each of them or, in a large fleet, as a sum from a hub. That way no
request is refused while the pool has units, on any instance. While some instances are
unreachable, each side uses only its share of the pool, as the other side may be
serving.

The pool is a token bucket. A sliding window would admit more, but a customer could
spend a whole window at once. Instances that restart after that have no record of the
spending, and would admit the units of another window.
"""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.peers import PeerId

from ._sliding_window_sum import SlidingWindowSum


class RateLimitTerms(NamedTuple):
    """A customer's rate limit and its tolerance."""

    rate: float
    """Units a second."""
    burst: float
    """Capacity of the bucket in units."""
    tolerance: float
    """Units by which usage in a window may exceed rate and burst."""


class PooledRateLimit:
    """One instance's view of a customer's pool.

    The level may fall below zero, as spending by peers is unknown until the next
    heartbeat. Requests are then refused until the refill covers the debt.

    >>> terms = RateLimitTerms(rate=10.0, burst=20.0, tolerance=0.0)
    >>> limit = PooledRateLimit(terms, now=0.0)
    >>> limit.spend(5.0, now=0.1), limit.spend(5.0, now=1.0)
    (False, True)
    """

    OVERDRAFT_RATIO = 0.75
    """Fraction of the tolerance that may be spent ahead of the refill."""
    PEER_COUNT_AGE_SECONDS = 0.25
    """Age of the newest counts of peers: a heartbeat interval and its delivery."""
    UNREPORTED_RATIO = 0.5
    """Fraction of the estimated spending of peers that is held back. Callers spread
    over the instances, so peers spend about as much as this one; the rest of the
    tolerance covers the other half."""
    MAX_OTHERS_BY_OWN_SPENDING = 15
    """Largest number of other instances for which their spending is estimated from
    this one's. In a larger fleet each instance gets too few requests for that."""
    DEMAND_WINDOW_SECONDS = 2.0
    """Window over which the demand on this instance is measured. Other instances are
    assumed to have the same demand."""
    NO_PART_RETRY_SECONDS = 1.0
    """Retry delay while this instance may use no part of the pool."""
    RELAYED_COUNT_AGE_SECONDS = 0.45
    """Age of the newest counts of peers if a hub sends them as a sum."""

    def __init__(self, terms: RateLimitTerms, now: float) -> None:
        """Create a pool without units and with its tolerance spent.

        Spending before the start is not known: an instance that was killed may have
        spent both the burst and the tolerance.
        """
        self._terms = terms
        self._level = -terms.tolerance * self.OVERDRAFT_RATIO
        self._refilled_at = now
        self._share = 1.0
        self._spent = 0.0
        self._peer_counts: dict[PeerId, float] = {}
        self._spent_by_peer: dict[PeerId, float] = {}
        self._others = 0
        self._last_update_at: float | None = None
        self._gap_since: float | None = None
        self._demand = SlidingWindowSum(self.DEMAND_WINDOW_SECONDS)
        self._recent_spent = SlidingWindowSum(self.PEER_COUNT_AGE_SECONDS)
        self._recent_peer_spent = SlidingWindowSum(self.RELAYED_COUNT_AGE_SECONDS)

    @property
    def spent(self) -> float:
        """Return the units that this instance admitted since its start."""
        return self._spent

    def level(self, now: float) -> float:
        """Return the units left; negative while there is a debt."""
        self._refill(now)
        return self._level

    def spend(self, units: float, now: float) -> bool:
        """Take units for a request if the pool has them.

        Returns:
            Whether the units were taken.
        """
        self._refill(now)
        self._demand.note(units, now)
        if self._level + self._overdraft() - self._unreported(now) < units:
            return False
        self._level -= units
        self._recent_spent.note(units, now)
        self._spent += units
        return True

    def seconds_until(self, units: float, now: float) -> float:
        """Return the seconds until the pool has the units for a request.

        Without a part of the pool, it is the time after which to ask another instance.
        """
        if self._share <= 0.0:
            return self.NO_PART_RETRY_SECONDS
        missing = units + self._unreported(now) - self._overdraft() - self.level(now)
        return max(0.0, missing / (self._terms.rate * self._share))

    def change_terms(self, terms: RateLimitTerms, now: float) -> None:
        """Apply a new rate limit; a lower burst takes effect at once."""
        self._refill(now)
        self._terms = terms
        self._level = min(self._level, terms.burst * self._share)

    def update_peer(self, peer: PeerId, spent: float, now: float) -> None:
        """Subtract the units that a peer admitted since its previous count.

        The first count of a peer only sets a baseline. After `reset_peer_counts` it is
        also assumed that the others spent the whole rate since the last update.
        """
        if self._gap_since is not None:
            self._refill(now)
            self._level -= (now - self._gap_since) * self._terms.rate * self._share
            self._gap_since = None
        self._last_update_at = now
        before = self._peer_counts.get(peer)
        self._peer_counts[peer] = spent
        if before is not None and spent > before:
            units = spent - before
            self._refill(now)
            self._level -= units
            self._spent_by_peer[peer] = self._spent_by_peer.get(peer, 0.0) + units
            self._recent_peer_spent.note(units, now)

    def spent_without(self, peer: PeerId) -> float:
        """Return the units spent by all instances but one, to send to that peer.

        The value never decreases, and the first count of a peer does not change it.
        """
        others = sum(self._spent_by_peer.values()) - self._spent_by_peer.get(peer, 0.0)
        return self._spent + others

    def reset_peer_counts(self) -> None:
        """Discard the baselines, because other peers report the counts from now on."""
        self._peer_counts.clear()
        self._gap_since = self._last_update_at

    def limit_to_share(self, share: float, others: int, now: float) -> None:
        """Limit this side to its share of the pool while instances are unreachable.

        Args:
            share: Reachable instances, this one included, divided by the instances
                that may be serving.
            others: Other instances that may be serving.
            now: Monotonic time in seconds.
        """
        self._refill(now)
        self._others = others
        if share < self._share and self._level > 0:
            self._level *= share / self._share
        self._share = share

    def _overdraft(self) -> float:
        return self._terms.tolerance * self.OVERDRAFT_RATIO * self._share

    def _unreported(self, now: float) -> float:
        """Estimate the units that peers have spent since their last counts."""
        if self._others > self.MAX_OTHERS_BY_OWN_SPENDING:
            return max(
                self._recent_peer_spent.total(now), self._unreported_by_demand(now)
            )
        return self._recent_spent.total(now) * self._others * self.UNREPORTED_RATIO

    def _unreported_by_demand(self, now: float) -> float:
        """Estimate the units that peers admit before their next counts, from demand.

        All instances see the same level and get about the same number of requests,
        refused ones included.
        """
        demand_rate = self._demand.total(now) / self.DEMAND_WINDOW_SECONDS
        since_update = (
            now - self._last_update_at if self._last_update_at is not None else 0.0
        )
        count_age = self.RELAYED_COUNT_AGE_SECONDS + since_update
        return demand_rate * self._others * count_age * self.UNREPORTED_RATIO

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._terms.rate * self._share
        self._refilled_at = max(now, self._refilled_at)
        self._level = min(self._terms.burst * self._share, self._level + gained)
