"""Requests units from peers when the local share is too low for a request."""

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
    """Requests units from the peers with the highest levels, and answers such requests.

    A peer that receives a request sends the units that the requested level needs. It
    sends more if the requester's target is higher. So, after load has moved to another
    instance, a single request moves enough units.
    """

    MAX_WAIT_SECONDS = 0.25
    """Longest time that a customer's request waits for units from peers."""

    REQUEST_TIMEOUT_SECONDS = 0.1
    """Timeout of one `UnitsAsk` to a peer."""

    NO_UNITS_RETRY_AFTER_SECONDS = 1.0
    """`Retry-After` if no reachable instance is known to have any units."""

    MAX_ROUNDS = 3
    """Rounds of requests to peers for one customer request.

    A further round follows if peers had less than their last known level.
    """

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

    async def charge(self, share: LocalShare, cost: int) -> Charge | None:
        """Charge a cost after requesting the missing units from peers.

        Args:
            share: The customer's share at this instance.
            cost: Microtokens.

        Returns:
            The charge, or None if the peers have too little or do not reply within
            `MAX_WAIT_SECONDS`.
        """
        if not self._plan(share, cost):
            return share.charge(cost, self._clock.monotonic())
        try:
            async with asyncio.timeout(self.MAX_WAIT_SECONDS), share.request_lock:
                return await self._fetch_and_charge(share, cost)
        except TimeoutError:
            return None

    def wait_seconds(self, share: LocalShare, cost: int) -> float:
        """Return the time until this instance and its peers together can cover a cost.

        Args:
            share: The customer's share at this instance.
            cost: Microtokens.

        Returns:
            Seconds, computed from the last known levels of the reachable peers.
        """
        now = self._clock.monotonic()
        customer = share.customer
        shares = self._peers.by_customer(
            customer.name, set(self._links.peers())
        ).values()
        units = share.units + sum(s.units for s in shares)
        level = share.level(now) + sum(s.level_at(customer, now) for s in shares)
        if not units:
            return self.NO_UNITS_RETRY_AFTER_SECONDS
        rate = customer.rate * MICROTOKENS_PER_TOKEN * units / TOTAL_UNITS
        return max(0.0, cost - level) / rate

    async def _fetch_and_charge(self, share: LocalShare, cost: int) -> Charge | None:
        for _ in range(self.MAX_ROUNDS):
            charge = share.charge(cost, self._clock.monotonic())
            if charge is not None:
                return charge
            requests = self._plan(share, cost)
            if not requests:
                return None
            await asyncio.gather(*(self._request_units(share, p) for p in requests))
        return share.charge(cost, self._clock.monotonic())

    def _plan(self, share: LocalShare, cost: int) -> list[PlannedRequest]:
        now = self._clock.monotonic()
        needed = cost - share.level(now)
        own = OwnShare(share.units, share.demand.rate(now))
        return self._peers.plan(
            share.customer, needed, own, set(self._links.peers()), now
        )

    async def _request_units(self, share: LocalShare, planned: PlannedRequest) -> None:
        now = self._clock.monotonic()
        name = share.customer.name
        request = UnitsAsk(
            name,
            share.epoch,
            planned.level,
            share.units,
            share.demand.rate(now),
            share.demand.largest(now),
        )
        peer = planned.peer
        timeout = self.REQUEST_TIMEOUT_SECONDS
        try:
            reply = await self._links.request(
                peer, request, UnitsReply, timeout=timeout
            )
        except PeerError:
            # Treat the share of the unreachable peer as empty until its next heartbeat.
            self._peers.update(peer, name, 0, 0, now)
            return
        now = self._clock.monotonic()
        self._peers.update(peer, name, reply.units, reply.level, now)
        self._registry.enter_epoch(share, reply.epoch)
        if reply.transfer is not None:
            taken = self._registry.accept_transfer(peer, reply.transfer)
            self._links.send(peer, acknowledgement(reply.transfer, taken))

    async def _on_units_request(self, sender: PeerId, request: UnitsAsk) -> UnitsReply:
        share = self._registry.find(request.customer)
        if share is None:
            return UnitsReply(0, None, 0, 0)
        self._registry.enter_epoch(share, request.epoch)
        transfer = None
        if request.epoch == share.epoch and self._registry.may_send_units(share):
            transfer = self._transfer_to(share, sender, request)
        now = self._clock.monotonic()
        level = share.level(now) if self._registry.may_send_units(share) else 0
        return UnitsReply(share.epoch, transfer, share.units, level)

    def _transfer_to(
        self, share: LocalShare, to: PeerId, request: UnitsAsk
    ) -> Transfer | None:
        now = self._clock.monotonic()
        level = request.level
        if share.level(now) < level:
            # A transfer below the requested level would not suffice to admit the
            # request. The reply carries the level, so that the requester can plan
            # with it.
            return None
        transferable_surplus = min(
            self._surplus_for(share, to, request),
            share.transferable_units(now),
        )
        units = min(share.units, max(share.units_for(level), transferable_surplus))
        _events.UNITS_MOVED.log(
            customer=request.customer, to=to.name, units=units, why="asked"
        )
        return share.create_transfer(to, units, now, level=level)

    def _surplus_for(
        self, share: LocalShare, requester: PeerId, request: UnitsAsk
    ) -> int:
        """Return the units above this instance's target that the requester lacks."""
        demands = self._targets.demands(share)
        demands[requester] = InstanceDemand(
            request.units, request.demand, request.largest
        )
        deficits = self._targets.deficits(share, demands, with_standby=False)
        return min(-deficits.get(self._links.me, 0), deficits.get(requester, 0))
