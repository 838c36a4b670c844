"""A token bucket with refunds that never admit more than rate and burst allow."""

from __future__ import annotations

import math
from typing import NamedTuple

MICROTOKENS_PER_TOKEN = 1_000_000
"""Microtokens in a token. Buckets count in whole microtokens."""


class Charge(NamedTuple):
    """One accepted charge, open until it is settled."""

    number: int
    """Sequence number of the charge in its bucket, from 1."""
    cost: int
    """Microtokens that were charged."""


class _HeadroomMinimum(NamedTuple):
    """A minimum of the headroom, which limits the refunds of earlier charges."""

    number: int
    """Number of the newest charge at the time of the minimum."""
    headroom: int
    """Microtokens between the level and the capacity."""


class TokenBucket:
    """Refills at a rate up to a capacity and is charged for each request.

    Settling a charge refunds its unused part, as if only the used part had been
    charged from the start. With the smaller charge, the bucket might have become full
    in the meantime and lost refill. A refund is therefore limited to the smallest
    headroom since the charge. With this limit, the net charges of any time window stay
    within rate times window plus capacity.
    """

    def __init__(self, rate: float, capacity: int, now: float) -> None:
        """Create an empty bucket.

        Args:
            rate: Microtokens a second.
            capacity: Microtokens.
            now: Monotonic time in seconds.
        """
        self._rate = rate
        self._capacity = capacity
        self._level = 0
        self._fraction = 0.0
        self._refilled_at = now
        self._last_number = 0
        self._open_costs: dict[int, int] = {}
        self._reserved = 0
        self._minima: list[_HeadroomMinimum] = []

    @property
    def capacity(self) -> int:
        """Highest level in microtokens."""
        return self._capacity

    @property
    def reserved(self) -> int:
        """Microtokens of the open charges."""
        return self._reserved

    def level(self, now: float) -> int:
        """Return the microtokens that can be charged now.

        Negative if settled charges used more than was charged.
        """
        self._refill(now)
        return self._level

    def charge(self, cost: int, now: float) -> Charge | None:
        """Charge microtokens, or return None if the level is too low."""
        self._refill(now)
        if cost > self._level:
            return None
        self._level -= cost
        self._last_number += 1
        self._open_costs[self._last_number] = cost
        self._reserved += cost
        self._record_headroom()
        return Charge(self._last_number, cost)

    def settle(self, charge: Charge, used: int, now: float) -> int:
        """Close a charge and refund its unused part up to the allowed limit.

        Args:
            charge: The charge; each may be settled once.
            used: Microtokens that the request used. The excess over the charge is
                deducted from the level, which may become negative.
            now: Monotonic time in seconds.

        Returns:
            Microtokens that were refunded; negative if more were deducted.
        """
        self._refill(now)
        unspent = charge.cost - used
        refund = self._refund(charge, unspent) if unspent > 0 else unspent
        if unspent < 0:
            self._level += unspent
        self._reserved -= self._open_costs.pop(charge.number, 0)
        self._prune_minima()
        return refund

    def adjust(self, rate: float, capacity: int, level_change: int, now: float) -> None:
        """Change rate and capacity, and add a transferred level.

        Args:
            rate: New rate in microtokens a second.
            capacity: New capacity in microtokens.
            level_change: Microtokens to add to the level; negative to deduct.
            now: Monotonic time in seconds.
        """
        self._refill(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level + level_change, capacity)
        self._record_headroom()

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self._rate + self._fraction
        self._refilled_at = now
        whole = math.floor(gained)
        self._fraction = gained - whole
        if self._level + whole >= self._capacity:
            whole = max(0, self._capacity - self._level)
            self._fraction = 0.0
        self._level += whole
        self._record_headroom()

    def _refund(self, charge: Charge, unspent: int) -> int:
        first = self._first_minimum(charge.number)
        refund = min(unspent, self._minima[first].headroom)
        self._level += refund
        later = [
            _HeadroomMinimum(number, headroom - refund)
            for number, headroom in self._minima[first:]
        ]
        smallest = later[0].headroom
        earlier = [
            minimum for minimum in self._minima[:first] if minimum.headroom < smallest
        ]
        self._minima = earlier + later
        return refund

    def _first_minimum(self, number: int) -> int:
        return next(
            i for i, minimum in enumerate(self._minima) if minimum.number >= number
        )

    def _record_headroom(self) -> None:
        # The minima increase strictly from the oldest to the newest, so the first one
        # at or after a charge is the smallest headroom since that charge.
        if not self._open_costs:
            return
        headroom = max(0, self._capacity - self._level)
        minima = self._minima
        while minima and minima[-1].headroom >= headroom:
            minima.pop()
        if not minima or minima[-1].number < self._last_number:
            minima.append(_HeadroomMinimum(self._last_number, headroom))

    def _prune_minima(self) -> None:
        if not self._open_costs:
            self._minima.clear()
            return
        oldest = next(iter(self._open_costs))
        first_needed = self._first_minimum(oldest)
        del self._minima[:first_needed]
