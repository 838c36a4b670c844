"""Moves units toward where they are asked for, before they run short."""

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
    """Units that should go to a peer."""

    to: PeerId
    units: int


class Rebalancer:
    """Gives units above this instance's target to the instance that lacks most.

    Only givers act, each on its own surplus, so two instances never correct the
    same imbalance twice with the same units.
    """

    MIN_MOVE_UNITS = 32
    """Smaller differences stay, unless this instance should have no units."""

    HIGH_FILL_RATIO = 0.75
    """A level above this part of the capacity will soon lose refill."""

    LOW_FILL_RATIO = 0.5
    """A level below this part of the capacity can take more."""

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
        """Compare every share with its target once, and move what is too much."""
        await asyncio.gather(*(self._balance(h) for h in self._registry.all()))

    async def _balance(self, local_share: LocalShare) -> None:
        reachable = set(self._links.peers())
        if not self._registry.may_send_units(local_share) or local_share.in_flight(
            reachable
        ):
            return
        move = self._surplus(local_share) or self._overflow(local_share, reachable)
        if move is None:
            return
        transferable_units = local_share.transferable_units(self._clock.monotonic())
        amount = min(move.units, transferable_units)
        if amount > 0:
            await self._registry.send_units(local_share, move.to, amount)
            self._peers.add(move.to, local_share.customer.name, amount)

    def _surplus(self, local_share: LocalShare) -> _PlannedTransfer | None:
        """Return what is above the target, for the instance that lacks most."""
        demands = self._targets.demands(local_share)
        deficits = self._targets.deficits(local_share, demands, with_standby=True)
        surplus = -deficits.pop(self._links.me, 0)
        least = 1 if surplus == local_share.units else self.MIN_MOVE_UNITS
        if not deficits or surplus < least:
            return None
        neediest = max(deficits, key=lambda peer: deficits[peer])
        amount = min(surplus, deficits[neediest])
        return _PlannedTransfer(neediest, amount) if amount > 0 else None

    def _overflow(
        self, local_share: LocalShare, reachable: set[PeerId]
    ) -> _PlannedTransfer | None:
        """Return units whose refill is about to be lost while another is low."""
        now = self._clock.monotonic()
        if local_share.fill_ratio(now) < self.HIGH_FILL_RATIO:
            return None
        shares = self._peers.by_customer(local_share.customer.name, reachable)
        fills = {
            peer: share.level_at(local_share.customer, now)
            / share.capacity(local_share.customer)
            for peer, share in shares.items()
            if share.epoch == local_share.epoch and share.demand > 0 and share.units > 0
        }
        lowest = min(fills, key=lambda peer: fills[peer], default=None)
        if lowest is None or fills[lowest] > self.LOW_FILL_RATIO:
            return None
        return _PlannedTransfer(lowest, local_share.units // 2)
