"""Fetches units from peers when the own share is too low for a request."""

from __future__ import annotations

import asyncio

from guavajunction.clock import Clock
from guavajunction.errors import PeerError
from guavajunction.peers import Links, PeerId

from . import _events
from ._bucket import MICRO, Charge
from ._local_share import TOTAL_UNITS, Holding
from ._messages import Transfer, UnitsAsk, UnitsReply
from ._peer_shares import Own, PeerShares, Portion
from ._share_registry import ShareBook, acknowledgement
from ._share_targets import Targets, Want


class Borrower:
    """Asks the peers with the most to spare, and gives when it is asked.

    Whoever is asked gives what is needed at once, or more if the asker's part of
    both demands is larger, so that a load that moved is not asked for again and
    again.
    """

    PATIENCE_SECONDS = 0.25
    """How long one request may wait for units."""

    ASK_TIMEOUT_SECONDS = 0.1

    UNKNOWN_WAIT_SECONDS = 1.0
    """When to come back if no instance that is heard from has any units."""

    ROUNDS = 3
    """Asks for one request: more if the first found less than was expected."""

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
        links.handle(UnitsAsk, self._on_ask)

    async def charge(self, holding: Holding, cost: int) -> Charge | None:
        """Charge a cost after fetching what it lacks, or return None."""
        if not self._plan(holding, cost):
            return holding.charge(cost, self._clock.monotonic())
        try:
            async with asyncio.timeout(self.PATIENCE_SECONDS), holding.borrowing:
                return await self._fetch_and_charge(holding, cost)
        except TimeoutError:
            return None

    def wait_seconds(self, holding: Holding, cost: int) -> float:
        """Return how long until this instance and its peers have a cost together."""
        now = self._clock.monotonic()
        customer = holding.customer
        shares = self._peers.of(customer.name, set(self._links.peers())).values()
        units = holding.units + sum(s.units for s in shares)
        level = holding.level(now) + sum(s.level_at(customer, now) for s in shares)
        if not units:
            return self.UNKNOWN_WAIT_SECONDS
        rate = customer.rate * MICRO * units / TOTAL_UNITS
        return max(0.0, cost - level) / rate

    async def _fetch_and_charge(self, holding: Holding, cost: int) -> Charge | None:
        for _ in range(self.ROUNDS):
            charge = holding.charge(cost, self._clock.monotonic())
            if charge is not None:
                return charge
            portions = self._plan(holding, cost)
            if not portions:
                return None
            await asyncio.gather(*(self._ask(holding, p) for p in portions))
        return holding.charge(cost, self._clock.monotonic())

    def _plan(self, holding: Holding, cost: int) -> list[Portion]:
        now = self._clock.monotonic()
        needed = cost - holding.level(now)
        own = Own(holding.units, holding.demand.rate(now))
        return self._peers.plan(
            holding.customer, needed, own, set(self._links.peers()), now
        )

    async def _ask(self, holding: Holding, portion: Portion) -> None:
        now = self._clock.monotonic()
        name = holding.customer.name
        ask = UnitsAsk(
            name,
            holding.epoch,
            portion.level,
            holding.units,
            holding.demand.rate(now),
            holding.demand.largest(now),
        )
        peer = portion.peer
        timeout = self.ASK_TIMEOUT_SECONDS
        try:
            reply = await self._links.ask(peer, ask, UnitsReply, timeout=timeout)
        except PeerError:
            # Nothing is expected of it before its next heartbeat.
            self._peers.update(peer, name, 0, 0, now)
            return
        now = self._clock.monotonic()
        self._peers.update(peer, name, reply.units, reply.level, now)
        self._book.enter(holding, reply.epoch)
        if reply.transfer is not None:
            taken = self._book.accept(peer, reply.transfer)
            self._links.tell(peer, acknowledgement(reply.transfer, taken))

    async def _on_ask(self, sender: PeerId, ask: UnitsAsk) -> UnitsReply:
        holding = self._book.by_name(ask.customer)
        if holding is None:
            return UnitsReply(0, None, 0, 0)
        self._book.enter(holding, ask.epoch)
        transfer = None
        if ask.epoch == holding.epoch and self._book.may_give(holding):
            transfer = self._give(holding, sender, ask)
        now = self._clock.monotonic()
        left = holding.level(now) if self._book.may_give(holding) else 0
        return UnitsReply(holding.epoch, transfer, holding.units, left)

    def _give(self, holding: Holding, to: PeerId, ask: UnitsAsk) -> Transfer | None:
        now = self._clock.monotonic()
        level = ask.level
        if holding.level(now) < level:
            # Too little is of no use there; the asker learns what there is.
            return None
        fair = min(self._fair_part(holding, to, ask), holding.givable(now))
        units = min(holding.units, max(holding.units_for(level), fair))
        _events.UNITS_MOVED.log(
            customer=ask.customer, to=to.name, units=units, why="asked"
        )
        return holding.give(to, units, now, level=level)

    def _fair_part(self, holding: Holding, asker: PeerId, ask: UnitsAsk) -> int:
        """Return the units of this instance that are above its target and lacking."""
        wants = self._targets.wants(holding)
        wants[asker] = Want(ask.units, ask.demand, ask.largest)
        lacking = self._targets.lacking(holding, wants, with_standby=False)
        return min(-lacking.get(self._links.me, 0), lacking.get(asker, 0))
