"""Moves units toward where they are asked for, before they run short."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId

from ._local_share import Holding
from ._peer_shares import PeerShares
from ._share_registry import ShareBook
from ._share_targets import Targets


class _Move(NamedTuple):
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

    FULL_PART = 0.75
    """A level above this part of the capacity will soon lose refill."""

    LOW_PART = 0.5
    """A level below this part of the capacity can take more."""

    def __init__(
        self,
        book: ShareBook,
        peers: PeerShares,
        targets: Targets,
        links: Links,
        clock: Clock,
    ) -> None:
        self._book = book
        self._peers = peers
        self._targets = targets
        self._links = links
        self._clock = clock

    async def step(self) -> None:
        """Compare every share with its target once, and move what is too much."""
        await asyncio.gather(*(self._balance(h) for h in self._book.all()))

    async def _balance(self, holding: Holding) -> None:
        heard = set(self._links.peers())
        if not self._book.may_give(holding) or holding.in_flight(heard):
            return
        move = self._surplus(holding) or self._overflow(holding, heard)
        if move is None:
            return
        givable = holding.givable(self._clock.monotonic())
        amount = min(move.units, givable)
        if amount > 0:
            await self._book.move(holding, move.to, amount)
            self._peers.add(move.to, holding.customer.name, amount)

    def _surplus(self, holding: Holding) -> _Move | None:
        """Return what is above the target, for the instance that lacks most."""
        wants = self._targets.wants(holding)
        lacking = self._targets.lacking(holding, wants, with_standby=True)
        surplus = -lacking.pop(self._links.me, 0)
        least = 1 if surplus == holding.units else self.MIN_MOVE_UNITS
        if not lacking or surplus < least:
            return None
        neediest = max(lacking, key=lambda peer: lacking[peer])
        amount = min(surplus, lacking[neediest])
        return _Move(neediest, amount) if amount > 0 else None

    def _overflow(self, holding: Holding, heard: set[PeerId]) -> _Move | None:
        """Return units whose refill is about to be lost while another is low."""
        now = self._clock.monotonic()
        if holding.fill(now) < self.FULL_PART:
            return None
        shares = self._peers.of(holding.customer.name, heard)
        fills = {
            peer: share.level_at(holding.customer, now)
            / share.capacity(holding.customer)
            for peer, share in shares.items()
            if share.epoch == holding.epoch and share.demand > 0 and share.units > 0
        }
        lowest = min(fills, key=lambda peer: fills[peer], default=None)
        if lowest is None or fills[lowest] > self.LOW_PART:
            return None
        return _Move(lowest, holding.units // 2)
