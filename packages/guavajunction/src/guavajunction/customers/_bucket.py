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


class _HeadroomLow(NamedTuple):
    """A minimum of the headroom, which bounds the refunds of earlier charges."""

    number: int
    """Number of the newest charge when the headroom was this low."""
    headroom: int
    """Microtokens between the level and the capacity."""


class TokenBucket:
    """Refills at a rate up to a capacity and is charged for each request.

    Settling a charge refunds its unused part, as if only the used part had been
    charged from the start. In that case, the bucket might have been full for a while
    and lost refill. A refund is therefore limited to the smallest headroom since the
    charge. With this limit, the net charges of any time window stay within rate times
    window plus capacity.
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
        self._charges = 0
        self._open: dict[int, int] = {}
        self._reserved = 0
        self._lows: list[_HeadroomLow] = []

    @property
    def capacity(self) -> int:
        """Highest level in microtokens."""
        return self._capacity

    @property
    def reserved(self) -> int:
        """Microtokens of the open charges."""
        return self._reserved

    def level(self, now: float) -> int:
        """Return the microtokens that can be charged now; negative after an overrun."""
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
        self._reserved -= self._open.pop(charge.number, 0)
        self._prune_lows()
        return refund

    def adjust(self, rate: float, capacity: int, moved: int, now: float) -> None:
        """Change rate and capacity, and add the transferred level.

        Args:
            rate: New rate in microtokens a second.
            capacity: New capacity in microtokens.
            moved: Microtokens to add to the level; negative to deduct.
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
        later = [_HeadroomLow(n, low - refund) for n, low in self._lows[first:]]
        smallest = later[0].headroom
        earlier = [low for low in self._lows[:first] if low.headroom < smallest]
        self._lows = earlier + later
        return refund

    def _first_low(self, number: int) -> int:
        return next(i for i, low in enumerate(self._lows) if low.number >= number)

    def _record_headroom(self) -> None:
        # The recorded headrooms increase strictly from the oldest to the newest, so
        # the first one at or after a charge is the smallest since that charge.
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
