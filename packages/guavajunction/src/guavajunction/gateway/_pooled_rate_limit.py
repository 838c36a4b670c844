"""A customer's rate and burst, spent by all instances from one pool.

Answers one customer that sends many times its usual, spread over all instances: each
counts what it let through and hears within a heartbeat or two what the others did, from
each of them or, in a large fleet, as a sum from a hub. So nobody is refused while the
pool has units, wherever they are asked for. While some instances are not heard, each
side keeps to its part of the pool, as the other may be serving.

The pool is a bucket that refills at the rate. A sliding window would let a customer
have more, but spend a whole window at once: instances that restart then can't know it,
and what they let through comes on top.
"""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.peers import PeerId

from ._sliding_window_sum import SlidingWindowSum


class RateLimitTerms(NamedTuple):
    """What a customer was promised and how exactly it is judged."""

    rate: float
    """Units a second."""
    burst: float
    """Units on top."""
    tolerance: float
    """Units over rate and burst that a window may hold."""


class PooledRateLimit:
    """One instance's view of a customer's pool.

    The level may fall below zero, as peers spend unseen until the next heartbeat;
    the debt is paid by refusing until the refill has covered it.

    >>> terms = AllowanceTerms(rate=10.0, burst=20.0, tolerance=0.0)
    >>> allowance = PooledAllowance(terms, now=0.0)
    >>> allowance.spend(5.0, now=0.1), allowance.spend(5.0, now=1.0)
    (False, True)
    """

    TOLERANCE_LENT_RATIO = 0.75
    """Part of the tolerance that is lent."""
    UNSEEN_SECONDS = 0.25
    """What peers spent in this time has not been heard: a heartbeat and its way."""
    UNSEEN_RATIO = 0.5
    """Callers spread over the instances, so peers spend about what this one does; a
    half of that is kept back, as the rest of the tolerance covers the other half."""
    MAX_OTHERS_BY_OWN_SPENDING = 15
    """Other instances up to which one's own requests tell of theirs; among more, one
    has too few of its own."""
    DEMAND_WINDOW_SECONDS = 2.0
    """Span over which it is judged how much is asked for, here and so elsewhere."""
    RELAYED_UNSEEN_SECONDS = 0.45
    """The same as `UNSEEN_SECONDS` where a hub stands between."""

    def __init__(self, terms: RateLimitTerms, now: float) -> None:
        """Start with an empty pool whose tolerance is lent out.

        What was spent before is not known; an instance that was killed may have spent
        both.
        """
        self._terms = terms
        self._level = -terms.tolerance * self.TOLERANCE_LENT_RATIO
        self._refilled_at = now
        self._share = 1.0
        self._spent = 0.0
        self._peer_counts: dict[PeerId, float] = {}
        self._spent_by_peer: dict[PeerId, float] = {}
        self._others = 0
        self._last_update_at: float | None = None
        self._gap_since: float | None = None
        self._demand = SlidingWindowSum(self.DEMAND_WINDOW_SECONDS)
        self._recent_spent = SlidingWindowSum(self.UNSEEN_SECONDS)
        self._recent_peer_spent = SlidingWindowSum(self.RELAYED_UNSEEN_SECONDS)

    @property
    def spent(self) -> float:
        """Return the units that this instance let through since its start."""
        return self._spent

    def level(self, now: float) -> float:
        """Return the units left; negative while there is a debt."""
        self._refill(now)
        return self._level

    def spend(self, units: float, now: float) -> bool:
        """Take units for a request.

        Returns:
            Whether the pool had them.
        """
        self._refill(now)
        self._demand.note(units, now)
        if self._level + self._lent() - self._unseen(now) < units:
            return False
        self._level -= units
        self._recent_spent.note(units, now)
        self._spent += units
        return True

    def seconds_until(self, units: float, now: float) -> float:
        """Return how long a request of some units would have to wait."""
        missing = units + self._unseen(now) - self._lent() - self.level(now)
        return max(0.0, missing / max(self._terms.rate * self._share, 1e-9))

    def change_terms(self, terms: RateLimitTerms, now: float) -> None:
        """Follow a new configuration; a lowered burst takes effect at once."""
        self._refill(now)
        self._terms = terms
        self._level = min(self._level, terms.burst * self._share)

    def hear(self, peer: PeerId, spent: float, now: float) -> None:
        """Take off what a peer let through since it was last heard.

        The first word of a peer only sets where its count stands. After a change of
        sources it is also taken that the others spent the whole rate meanwhile.
        """
        if self._gap_since is not None:
            self._refill(now)
            self._level -= (now - self._gap_since) * self._terms.rate * self._share
            self._gap_since = None
        self._last_update_at = now
        before = self._peer_counts.get(peer)
        self._peer_counts[peer] = spent
        if before is not None and spent > before:
            gained = spent - before
            self._refill(now)
            self._level -= gained
            self._spent_by_peer[peer] = self._spent_by_peer.get(peer, 0.0) + gained
            self._recent_peer_spent.note(gained, now)

    def spent_without(self, peer: PeerId) -> float:
        """Return what all but one peer were heard to spend, to be told to it.

        It never falls, and does not jump when a peer is first heard.
        """
        gained = sum(self._spent_by_peer.values()) - self._spent_by_peer.get(peer, 0.0)
        return self._spent + gained

    def reset_peer_counts(self) -> None:
        """Forget where counts stand: they will be heard from others than before."""
        self._peer_counts.clear()
        self._gap_since = self._last_update_at

    def limit_to_share(self, share: float, others: int, now: float) -> None:
        """Keep to a part of the pool while some instances are not heard.

        Args:
            share: Instances that are heard, this one included, by those that may
                be serving.
            others: Other instances that may be serving.
            now: Monotonic time in seconds.
        """
        self._refill(now)
        self._others = others
        if share < self._share and self._level > 0:
            self._level *= share / self._share
        self._share = share

    def _lent(self) -> float:
        return self._terms.tolerance * self.TOLERANCE_LENT_RATIO * self._share

    def _unseen(self, now: float) -> float:
        """Return what peers are likely to have spent since they were last heard."""
        if self._others > self.MAX_OTHERS_BY_OWN_SPENDING:
            return max(self._recent_peer_spent.total(now), self._unseen_by_demand(now))
        return self._recent_spent.total(now) * self._others * self.UNSEEN_RATIO

    def _unseen_by_demand(self, now: float) -> float:
        """Return what the others may let through unseen, all seeing the same level.

        They are asked for about as much as this one, refused or not.
        """
        asked = self._demand.total(now) / self.DEMAND_WINDOW_SECONDS
        silent = now - self._last_update_at if self._last_update_at is not None else 0.0
        unseen = self.RELAYED_UNSEEN_SECONDS + silent
        return asked * self._others * unseen * self.UNSEEN_RATIO

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._terms.rate * self._share
        self._refilled_at = max(now, self._refilled_at)
        self._level = min(self._terms.burst * self._share, self._level + gained)
