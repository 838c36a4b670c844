"""Fetches units from peers when the own share is too low for a request."""

from __future__ import annotations

import asyncio

from guavajunction.clock import Clock
from guavajunction.errors import PeerError
from guavajunction.peers import Links, PeerId

from . import _events
from ._bucket import MICROTOKENS_PER_TOKEN, Charge
from ._local_share import TOTAL_UNITS, LocalShare
from ._messages import Transfer, UnitsAsk, UnitsReply
from ._peer_shares import OwnShare, PeerShares, PlannedRequest
from ._share_registry import ShareRegistry, acknowledgement
from ._share_targets import InstanceDemand, ShareTargets


class UnitsRequester:
    """Asks the peers with the most to spare, and gives when it is asked.

    Whoever is asked gives what is needed at once, or more if the asker's part of
    both demands is larger, so that a load that moved is not asked for again and
    again.
    """

    MAX_WAIT_SECONDS = 0.25
    """How long one request may wait for units."""

    REQUEST_TIMEOUT_SECONDS = 0.1

    NO_UNITS_RETRY_AFTER_SECONDS = 1.0
    """When to come back if no instance that is heard from has any units."""

    MAX_ROUNDS = 3
    """Asks for one request: more if the first found less than was expected."""

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
        links.handle(UnitsAsk, self._on_units_request)

    async def charge(self, local_share: LocalShare, cost: int) -> Charge | None:
        """Charge a cost after fetching what it lacks, or return None."""
        if not self._plan(local_share, cost):
            return local_share.charge(cost, self._clock.monotonic())
        try:
            async with asyncio.timeout(self.MAX_WAIT_SECONDS), local_share.request_lock:
                return await self._fetch_and_charge(local_share, cost)
        except TimeoutError:
            return None

    def wait_seconds(self, local_share: LocalShare, cost: int) -> float:
        """Return how long until this instance and its peers have a cost together."""
        now = self._clock.monotonic()
        customer = local_share.customer
        shares = self._peers.by_customer(
            customer.name, set(self._links.peers())
        ).values()
        units = local_share.units + sum(s.units for s in shares)
        level = local_share.level(now) + sum(s.level_at(customer, now) for s in shares)
        if not units:
            return self.NO_UNITS_RETRY_AFTER_SECONDS
        rate = customer.rate * MICROTOKENS_PER_TOKEN * units / TOTAL_UNITS
        return max(0.0, cost - level) / rate

    async def _fetch_and_charge(
        self, local_share: LocalShare, cost: int
    ) -> Charge | None:
        for _ in range(self.MAX_ROUNDS):
            charge = local_share.charge(cost, self._clock.monotonic())
            if charge is not None:
                return charge
            requests = self._plan(local_share, cost)
            if not requests:
                return None
            await asyncio.gather(
                *(self._request_units(local_share, p) for p in requests)
            )
        return local_share.charge(cost, self._clock.monotonic())

    def _plan(self, local_share: LocalShare, cost: int) -> list[PlannedRequest]:
        now = self._clock.monotonic()
        needed = cost - local_share.level(now)
        own = OwnShare(local_share.units, local_share.demand.rate(now))
        return self._peers.plan(
            local_share.customer, needed, own, set(self._links.peers()), now
        )

    async def _request_units(
        self, local_share: LocalShare, portion: PlannedRequest
    ) -> None:
        now = self._clock.monotonic()
        name = local_share.customer.name
        ask = UnitsAsk(
            name,
            local_share.epoch,
            portion.level,
            local_share.units,
            local_share.demand.rate(now),
            local_share.demand.largest(now),
        )
        peer = portion.peer
        timeout = self.REQUEST_TIMEOUT_SECONDS
        try:
            reply = await self._links.request(peer, ask, UnitsReply, timeout=timeout)
        except PeerError:
            # Nothing is expected of it before its next heartbeat.
            self._peers.update(peer, name, 0, 0, now)
            return
        now = self._clock.monotonic()
        self._peers.update(peer, name, reply.units, reply.level, now)
        self._registry.enter_epoch(local_share, reply.epoch)
        if reply.transfer is not None:
            taken = self._registry.accept(peer, reply.transfer)
            self._links.send(peer, acknowledgement(reply.transfer, taken))

    async def _on_units_request(self, sender: PeerId, ask: UnitsAsk) -> UnitsReply:
        local_share = self._registry.find(ask.customer)
        if local_share is None:
            return UnitsReply(0, None, 0, 0)
        self._registry.enter_epoch(local_share, ask.epoch)
        transfer = None
        if ask.epoch == local_share.epoch and self._registry.may_send_units(
            local_share
        ):
            transfer = self._transfer_to(local_share, sender, ask)
        now = self._clock.monotonic()
        left = (
            local_share.level(now) if self._registry.may_send_units(local_share) else 0
        )
        return UnitsReply(local_share.epoch, transfer, local_share.units, left)

    def _transfer_to(
        self, local_share: LocalShare, to: PeerId, ask: UnitsAsk
    ) -> Transfer | None:
        now = self._clock.monotonic()
        level = ask.level
        if local_share.level(now) < level:
            # Too little is of no use there; the asker learns what there is.
            return None
        fair = min(
            self._surplus_for(local_share, to, ask), local_share.transferable_units(now)
        )
        units = min(local_share.units, max(local_share.units_for(level), fair))
        _events.UNITS_MOVED.log(
            customer=ask.customer, to=to.name, units=units, why="asked"
        )
        return local_share.create_transfer(to, units, now, level=level)

    def _surplus_for(
        self, local_share: LocalShare, asker: PeerId, ask: UnitsAsk
    ) -> int:
        """Return the units of this instance that are above its target and lacking."""
        demands = self._targets.demands(local_share)
        demands[asker] = InstanceDemand(ask.units, ask.demand, ask.largest)
        deficits = self._targets.deficits(local_share, demands, with_standby=False)
        return min(-deficits.get(self._links.me, 0), deficits.get(asker, 0))
