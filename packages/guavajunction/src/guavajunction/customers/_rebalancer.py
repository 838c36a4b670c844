"""Moves units to the instances with demand before their shares run out."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId

from ._local_share import LocalShare
from ._peer_shares import PeerShares
from ._share_registry import ShareRegistry
from ._share_targets import ShareTargets


class _PlannedTransfer(NamedTuple):
    """Units to send to a peer."""

    to: PeerId
    units: int


class Rebalancer:
    """Sends units above this instance's target to the instance that lacks the most.

    Only the sender of units acts, and only on its own surplus. Two instances
    therefore never correct the same imbalance with the same units.
    """

    MIN_MOVE_UNITS = 32
    """Smallest surplus that is moved, unless this instance's target is zero."""

    HIGH_FILL_RATIO = 0.75
    """Fraction of the capacity from which the level is high: refill is soon lost."""

    LOW_FILL_RATIO = 0.5
    """Fraction of the capacity up to which a peer's level is low."""

    def __init__(
        self,
        registry: ShareRegistry,
        peers: PeerShares,
        targets: ShareTargets,
        links: Links,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._targets = targets
        self._links = links
        self._clock = clock

    async def step(self) -> None:
        """Compare every share with its target once, and send the surplus."""
        await asyncio.gather(
            *(self._balance(share) for share in self._registry.local_shares())
        )

    async def _balance(self, share: LocalShare) -> None:
        reachable = set(self._links.peers())
        if not self._registry.may_send_units(share) or share.in_flight(reachable):
            return
        planned = self._plan_surplus(share) or self._plan_overflow(share, reachable)
        if planned is None:
            return
        transferable_units = share.transferable_units(self._clock.monotonic())
        amount = min(planned.units, transferable_units)
        if amount > 0:
            await self._registry.send_units(share, planned.to, amount)
            self._peers.add_sent_units(planned.to, share.customer.name, amount)

    def _plan_surplus(self, share: LocalShare) -> _PlannedTransfer | None:
        """Return the units above the target and the instance that lacks the most."""
        demands = self._targets.demands(share)
        deficits = self._targets.deficits(share, demands, with_standby=True)
        surplus = -deficits.pop(self._links.me, 0)
        min_surplus = 1 if surplus == share.units else self.MIN_MOVE_UNITS
        if not deficits or surplus < min_surplus:
            return None
        receiver = max(deficits, key=lambda peer: deficits[peer])
        amount = min(surplus, deficits[receiver])
        return _PlannedTransfer(receiver, amount) if amount > 0 else None

    def _plan_overflow(
        self, share: LocalShare, reachable: set[PeerId]
    ) -> _PlannedTransfer | None:
        """Return half the units and a peer with a low level if this level is high."""
        now = self._clock.monotonic()
        if share.fill_ratio(now) < self.HIGH_FILL_RATIO:
            return None
        shares = self._peers.by_customer(share.customer.name, reachable)
        fills = {
            peer: peer_share.level_at(share.customer, now)
            / peer_share.capacity(share.customer)
            for peer, peer_share in shares.items()
            if peer_share.epoch == share.epoch
            and peer_share.demand > 0
            and peer_share.units > 0
        }
        lowest = min(fills, key=lambda peer: fills[peer], default=None)
        if lowest is None or fills[lowest] > self.LOW_FILL_RATIO:
            return None
        return _PlannedTransfer(lowest, share.units // 2)
