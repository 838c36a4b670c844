"""Enforces each customer's rate and burst across all instances."""

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
    """Enforces fleet-wide rate limits at one instance.

    Each instance charges requests only to its own share of a customer's rate and
    burst. The shares of all instances never add up to more than the whole.
    """

    STEP_SECONDS = 0.5
    """Interval of the background work."""

    MIN_RETRY_AFTER_SECONDS = 0.05
    """Lower limit of `Retry-After`."""

    HAND_OVER_TRIES = 5
    """Attempts to send all units to peers before this instance stops."""

    HAND_OVER_RETRY_SECONDS = 0.2
    """Pause between two attempts to hand over the units."""

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
        links.add_topic(
            SHARES_TOPIC, self._own_digests, self._on_digests, list[ShareDigest]
        )

    async def admit(self, customer: Customer, cost: float) -> Reservation:
        """Charge a request to its customer.

        Suspends the task only if the local share is too low.

        Args:
            customer: The customer whose rate and burst are charged.
            cost: Tokens of the prompt, plus the most tokens that the answer may have.

        Raises:
            ExceedsBurst: The request alone costs more than the burst.
            RateLimited: The customer is over its rate. `retry_after` is set.
            InstanceNotReady: This instance may not charge its shares now.
        """
        if cost > customer.burst:
            raise ExceedsBurst(
                f"the request costs {cost:g} tokens, the burst is {customer.burst:g}"
            )
        self._registry.require_standing()
        share = self._registry.local_share(customer)
        share.demand.add(cost, self._clock.monotonic())
        microtokens = math.ceil(cost * MICROTOKENS_PER_TOKEN)
        charge = share.charge(microtokens, self._clock.monotonic())
        if charge is None:
            return await self._admit_with_peers(share, microtokens)
        return Reservation(share, charge, self._clock)

    async def refresh(self) -> None:
        """Apply new customers, rates and bursts of the current configuration."""
        await self._registry.prepare()
        await self._recovery.step()

    async def run(self) -> None:
        """Resend, rebalance and recover units periodically until cancelled."""
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
        """Send all units to peers before this instance stops.

        Units that no peer has acknowledged after the last attempt are recovered by
        the fleet after this instance has left the membership.
        """
        self._registry.stopping = True
        for _ in range(self.HAND_OVER_TRIES):
            await self._registry.resend()
            await asyncio.gather(
                *(self._send_all_units(s) for s in self._registry.local_shares())
            )
            if not any(s.units or s.outgoing() for s in self._registry.local_shares()):
                return
            await self._clock.sleep(self.HAND_OVER_RETRY_SECONDS)
        for share in self._registry.local_shares():
            lost = share.units + sum(s.transfer.units for s in share.outgoing())
            if lost:
                name = share.customer.name
                _events.UNITS_ABANDONED.log(customer=name, units=lost)

    async def _admit_with_peers(self, share: LocalShare, cost: int) -> Reservation:
        if share.epoch == 0:
            await self._create(share)
        charge = await self._units_requester.charge(share, cost)
        if charge is None:
            raise self._refusal(share, cost)
        reservation = Reservation(share, charge, self._clock)
        try:
            self._registry.require_standing()
        except InstanceNotReady:
            reservation.settle(0.0)
            raise
        return reservation

    async def _create(self, share: LocalShare) -> None:
        async with share.request_lock:
            if share.epoch != 0:
                return
            try:
                await self._recovery.create(share)
            except PlatformError as exc:
                raise InstanceNotReady(
                    "the customer's rate is not known yet", retry_after=1.0
                ) from exc

    def _refusal(self, share: LocalShare, cost: int) -> RateLimited:
        seconds = self._units_requester.wait_seconds(share, cost)
        return RateLimited(
            f"customer {share.customer.name} is over its rate",
            retry_after=max(self.MIN_RETRY_AFTER_SECONDS, seconds),
        )

    async def _send_all_units(self, share: LocalShare) -> None:
        # Peers that are stopping too are reachable, but no longer live members.
        others = set(self._members.live_members()) - {self._links.me}
        shares = self._peers.by_customer(share.customer.name, others)
        if not others or not self._registry.may_send_units(share):
            return
        to = max(sorted(others), key=lambda p: shares[p].demand if p in shares else 0.0)
        await self._registry.send_units(share, to, share.units)

    def _own_digests(self) -> list[ShareDigest]:
        if self._registry.stopping or not self._members.standing():
            return []
        now = self._clock.monotonic()
        reachable = set(self._links.peers())
        digests = [
            self._digest(share, reachable, now)
            for share in self._registry.local_shares()
        ]
        return [d for d in digests if d.units or d.in_flight or d.demand]

    def _digest(
        self, share: LocalShare, reachable: set[PeerId], now: float
    ) -> ShareDigest:
        return ShareDigest(
            share.customer.name,
            share.epoch,
            share.units,
            share.in_flight(reachable),
            share.level(now),
            share.demand.rate(now),
            share.demand.largest(now),
        )

    def _on_digests(self, sender: PeerId, digests: list[ShareDigest]) -> None:
        self._peers.replace_shares(sender, digests, self._clock.monotonic())
        for digest in digests:
            share = self._registry.find(digest.customer)
            if share is not None:
                self._registry.enter_epoch(share, digest.epoch)
