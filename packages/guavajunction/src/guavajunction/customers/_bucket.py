"""A token bucket whose refunds never let more through than was promised."""

from __future__ import annotations

import math
from typing import NamedTuple

MICROTOKENS_PER_TOKEN = 1_000_000
"""Microtokens in a token; the bucket counts in whole microtokens."""


class Charge(NamedTuple):
    """One accepted charge, kept until it is settled."""

    number: int
    """Counts the charges of its bucket, from 1."""
    cost: int
    """Microtokens."""


class _HeadroomLow(NamedTuple):
    """The smallest headroom since a charge."""

    number: int
    """The charge after which it was seen."""
    headroom: int
    """Microtokens between the level and the capacity."""


class TokenBucket:
    """Refills at a rate up to a capacity and is charged for each request.

    A settled charge counts with what was used, as if just that had been charged
    from the start. Had it been, the bucket could have been full for a while and
    lost refill, so a refund is no larger than the smallest headroom since the
    charge. With that, net charges of any window stay within rate times window plus
    capacity.
    """

    def __init__(self, rate: float, capacity: int, now: float) -> None:
        """Start empty.

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
        self._charges = 0
        self._open: dict[int, int] = {}
        self._reserved = 0
        self._lows: list[_HeadroomLow] = []

    @property
    def capacity(self) -> int:
        """Microtokens that fit."""
        return self._capacity

    @property
    def reserved(self) -> int:
        """Microtokens of the charges that are not settled."""
        return self._reserved

    def level(self, now: float) -> int:
        """Return the microtokens that may be charged now."""
        self._refill(now)
        return self._level

    def charge(self, cost: int, now: float) -> Charge | None:
        """Charge microtokens, or return None if the level is too low."""
        self._refill(now)
        if cost > self._level:
            return None
        self._level -= cost
        self._charges += 1
        self._open[self._charges] = cost
        self._reserved += cost
        self._record_headroom()
        return Charge(self._charges, cost)

    def settle(self, charge: Charge, used: int, now: float) -> int:
        """Close a charge and refund what was not used, where that is allowed.

        Args:
            charge: The charge; each may be settled once.
            used: Microtokens that it took in the end. More than was charged is
                taken from the level, which may become negative.
            now: Monotonic time in seconds.

        Returns:
            Microtokens that were given back, negative if more were taken.
        """
        self._refill(now)
        unspent = charge.cost - used
        refund = self._refund(charge, unspent) if unspent > 0 else unspent
        if unspent < 0:
            self._level += unspent
        self._reserved -= self._open.pop(charge.number, 0)
        self._prune_lows()
        return refund

    def adjust(self, rate: float, capacity: int, moved: int, now: float) -> None:
        """Change rate and capacity, and add to the level what moved along.

        Args:
            rate: New rate in microtokens a second.
            capacity: New capacity in microtokens.
            moved: Microtokens that come (positive) or go with the change.
            now: Monotonic time in seconds.
        """
        self._refill(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level + moved, capacity)
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
        first = self._first_low(charge.number)
        refund = min(unspent, self._lows[first].headroom)
        self._level += refund
        later = [_HeadroomLow(n, room - refund) for n, room in self._lows[first:]]
        smallest = later[0].headroom
        earlier = [low for low in self._lows[:first] if low.headroom < smallest]
        self._lows = earlier + later
        return refund

    def _first_low(self, number: int) -> int:
        return next(i for i, low in enumerate(self._lows) if low.number >= number)

    def _record_headroom(self) -> None:
        # Lows rise strictly from the oldest to the newest, so the first one at or
        # after a charge is the smallest headroom since that charge.
        if not self._open:
            return
        headroom = max(0, self._capacity - self._level)
        lows = self._lows
        while lows and lows[-1].headroom >= headroom:
            lows.pop()
        if not lows or lows[-1].number < self._charges:
            lows.append(_HeadroomLow(self._charges, headroom))

    def _prune_lows(self) -> None:
        if not self._open:
            self._lows.clear()
            return
        oldest = next(iter(self._open))
        keep = self._first_low(oldest)
        del self._lows[:keep]
