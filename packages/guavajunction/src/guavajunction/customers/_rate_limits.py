"""Admits requests within each customer's rate and burst, fleet-wide."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from guavajunction.clock import Clock
from guavajunction.configuration import Configuration, Customer
from guavajunction.errors import (
    ExceedsBurst,
    InstanceNotReady,
    PlatformError,
    RateLimited,
)
from guavajunction.peers import Links, PeerId
from guavajunction.storage import TableService

from . import _events
from ._bucket import MICROTOKENS_PER_TOKEN
from ._local_share import LocalShare
from ._members import Members
from ._messages import ShareDigest
from ._peer_shares import PeerShares
from ._rebalancer import Rebalancer
from ._recovery import Recovery
from ._reservation import Reservation
from ._share_registry import ShareRegistry
from ._share_targets import ShareTargets
from ._units_requester import UnitsRequester

SHARES_TOPIC = "shares"


class RateLimits:
    """The fleet's limits as one instance enforces them.

    Each instance spends only from its own share of a customer's rate and burst. The
    shares of all instances never add up to more than the whole.
    """

    STEP_SECONDS = 0.5

    MIN_RETRY_AFTER_SECONDS = 0.05

    HAND_OVER_TRIES = 5

    HAND_OVER_RETRY_SECONDS = 0.2

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        links: Links,
        table: TableService,
        members: Members,
        clock: Clock,
    ) -> None:
        self._links = links
        self._members = members
        self._clock = clock
        self._registry = ShareRegistry(configuration, links, table, members, clock)
        self._peers = PeerShares()
        self._targets = ShareTargets(self._peers, links, clock)
        self._units_requester = UnitsRequester(
            self._registry, self._peers, self._targets, links, clock
        )
        self._rebalancer = Rebalancer(
            self._registry, self._peers, self._targets, links, clock
        )
        self._recovery = Recovery(
            self._registry, self._peers, links, table, members, clock
        )
        links.add_topic(SHARES_TOPIC, self._digests, self._accept, list[ShareDigest])

    async def admit(self, customer: Customer, cost: float) -> Reservation:
        """Charge a request to its customer.

        Suspends only if this instance's own share is too low.

        Args:
            customer: Whose rate and burst it counts against.
            cost: Tokens of the prompt and the most that the answer may have.

        Raises:
            ExceedsBurst: The request alone costs more than the burst.
            RateLimited: The customer is over its rate; carries when to come back.
            InstanceNotReady: This instance may not spend now.
        """
        if cost > customer.burst:
            raise ExceedsBurst(
                f"the request costs {cost:g} tokens, the burst is {customer.burst:g}"
            )
        self._registry.require_standing()
        local_share = self._registry.local_share(customer)
        local_share.demand.add(cost, self._clock.monotonic())
        micro = math.ceil(cost * MICROTOKENS_PER_TOKEN)
        charge = local_share.charge(micro, self._clock.monotonic())
        if charge is None:
            return await self._admit_with_peers(local_share, micro)
        return Reservation(local_share, charge, self._clock)

    async def refresh(self) -> None:
        """Take up new customers, rates and bursts of the configuration in force."""
        await self._registry.prepare()
        await self._recovery.step()

    async def run(self) -> None:
        """Keep the shares where they are needed; runs until it is cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self.STEP_SECONDS)

    async def step(self) -> None:
        """Resend, rebalance and recover units once."""
        await self._registry.prepare()
        reachable = set(self._links.peers())
        self._peers.retain(reachable)
        await self._registry.resend()
        await self._rebalancer.step()
        await self._recovery.step()

    async def hand_over(self) -> None:
        """Give every unit to peers before this instance stops.

        What no peer has acknowledged in the end is recovered after this instance
        has left the membership.
        """
        self._registry.stopping = True
        for _ in range(self.HAND_OVER_TRIES):
            await self._registry.resend()
            await asyncio.gather(
                *(self._send_all_units(h) for h in self._registry.all())
            )
            if not any(h.units or h.outgoing() for h in self._registry.all()):
                return
            await self._clock.sleep(self.HAND_OVER_RETRY_SECONDS)
        for local_share in self._registry.all():
            lost = local_share.units + sum(
                s.transfer.units for s in local_share.outgoing()
            )
            if lost:
                name = local_share.customer.name
                _events.UNITS_ABANDONED.log(customer=name, units=lost)

    async def _admit_with_peers(
        self, local_share: LocalShare, cost: int
    ) -> Reservation:
        if local_share.epoch == 0:
            await self._create(local_share)
        charge = await self._units_requester.charge(local_share, cost)
        if charge is None:
            raise self._refusal(local_share, cost)
        reservation = Reservation(local_share, charge, self._clock)
        try:
            self._registry.require_standing()
        except InstanceNotReady:
            reservation.settle(0.0)
            raise
        return reservation

    async def _create(self, local_share: LocalShare) -> None:
        async with local_share.request_lock:
            if local_share.epoch != 0:
                return
            try:
                await self._recovery.create(local_share)
            except PlatformError as exc:
                raise InstanceNotReady(
                    "the customer's rate is not known yet", retry_after=1.0
                ) from exc

    def _refusal(self, local_share: LocalShare, cost: int) -> RateLimited:
        seconds = self._units_requester.wait_seconds(local_share, cost)
        return RateLimited(
            f"customer {local_share.customer.name} is over its rate",
            retry_after=max(self.MIN_RETRY_AFTER_SECONDS, seconds),
        )

    async def _send_all_units(self, local_share: LocalShare) -> None:
        # Peers that are leaving themselves are heard from but no longer live.
        others = set(self._members.live_members()) - {self._links.me}
        shares = self._peers.by_customer(local_share.customer.name, others)
        if not others or not self._registry.may_send_units(local_share):
            return
        to = max(sorted(others), key=lambda p: shares[p].demand if p in shares else 0.0)
        await self._registry.send_units(local_share, to, local_share.units)

    def _digests(self) -> list[ShareDigest]:
        if self._registry.stopping or not self._members.standing():
            return []
        now = self._clock.monotonic()
        reachable = set(self._links.peers())
        digests = [
            self._digest(local_share, reachable, now)
            for local_share in self._registry.all()
        ]
        return [d for d in digests if d.units or d.in_flight or d.demand]

    def _digest(
        self, local_share: LocalShare, reachable: set[PeerId], now: float
    ) -> ShareDigest:
        return ShareDigest(
            local_share.customer.name,
            local_share.epoch,
            local_share.units,
            local_share.in_flight(reachable),
            local_share.level(now),
            local_share.demand.rate(now),
            local_share.demand.largest(now),
        )

    def _accept(self, sender: PeerId, digests: list[ShareDigest]) -> None:
        self._peers.accept(sender, digests, self._clock.monotonic())
        for digest in digests:
            local_share = self._registry.find(digest.customer)
            if local_share is not None:
                self._registry.enter_epoch(local_share, digest.epoch)
