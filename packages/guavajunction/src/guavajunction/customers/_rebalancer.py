"""Moves units toward where they are asked for, before they run short."""

from __future__ import annotations

import asyncio

from guavajunction.clock import Clock
from guavajunction.customers._holding import Holding
from guavajunction.customers._peer_shares import PeerShares
from guavajunction.customers._share_book import ShareBook
from guavajunction.peers import Links, PeerId


class Rebalancer:
    """Gives units above this instance's part of the demand to whom lacks most.

    Only givers act, each on its own surplus, so two instances never correct the
    same imbalance twice with the same units.
    """

    MIN_MOVE_UNITS = 32
    """Smaller differences stay, unless this instance has no demand at all."""

    def __init__(
        self,
        book: ShareBook,
        peers: PeerShares,
        links: Links,
        clock: Clock,
    ) -> None:
        self._book = book
        self._peers = peers
        self._links = links
        self._clock = clock

    async def step(self, heard: set[PeerId]) -> None:
        """Compare every share with its demand once, and move what is too much."""
        holdings = self._book.all()
        await asyncio.gather(*(self._balance(holding, heard) for holding in holdings))

    async def _balance(self, holding: Holding, heard: set[PeerId]) -> None:
        if not self._book.may_give(holding) or holding.in_flight(heard):
            return
        demands, units = self._known(holding, heard)
        total_demand = sum(demands.values())
        if total_demand <= 0:
            return
        total = sum(units.values())
        lacking = {
            peer: int(total * demand / total_demand) - units[peer]
            for peer, demand in demands.items()
        }
        surplus = -lacking.pop(self._links.me)
        idle = demands[self._links.me] <= 0
        if not lacking or surplus < (1 if idle else self.MIN_MOVE_UNITS):
            return
        neediest = max(lacking, key=lambda peer: lacking[peer])
        amount = min(surplus, lacking[neediest], holding.units)
        if amount > 0:
            await self._book.move(holding, neediest, amount)
            self._peers.add(neediest, holding.customer.name, amount)

    def _known(
        self, holding: Holding, heard: set[PeerId]
    ) -> tuple[dict[PeerId, float], dict[PeerId, int]]:
        me = self._links.me
        demands = {me: holding.demand.rate(self._clock.monotonic())}
        units = {me: holding.units}
        for peer, share in self._peers.of(holding.customer.name, heard).items():
            if share.epoch == holding.epoch:
                demands[peer] = share.demand
                units[peer] = share.units
        return demands, units
