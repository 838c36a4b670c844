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
from ._bucket import MICRO
from ._local_share import Holding
from ._members import Members
from ._messages import ShareDigest
from ._peer_shares import PeerShares
from ._rebalancer import Rebalancer
from ._recovery import Recovery
from ._reservation import Reservation
from ._share_registry import ShareBook
from ._share_targets import Targets
from ._units_requester import Borrower

SHARES_TOPIC = "shares"


class RateLimits:
    """The fleet's limits as one instance enforces them.

    Each instance spends only from its own share of a customer's rate and burst. The
    shares of all instances never add up to more than the whole.
    """

    STEP_SECONDS = 0.5

    MIN_RETRY_AFTER_SECONDS = 0.05

    HAND_OVER_TRIES = 5

    HAND_OVER_PAUSE_SECONDS = 0.2

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
        self._book = ShareBook(configuration, links, table, members, clock)
        self._peers = PeerShares()
        self._targets = Targets(self._peers, links, clock)
        self._borrower = Borrower(self._book, self._peers, self._targets, links, clock)
        self._rebalancer = Rebalancer(
            self._book, self._peers, self._targets, links, clock
        )
        self._recovery = Recovery(self._book, self._peers, links, table, members, clock)
        links.share(SHARES_TOPIC, self._digests, self._accept, list[ShareDigest])

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
        self._book.require_standing()
        holding = self._book.holding(customer)
        holding.demand.add(cost, self._clock.monotonic())
        micro = math.ceil(cost * MICRO)
        charge = holding.charge(micro, self._clock.monotonic())
        if charge is None:
            return await self._admit_with_peers(holding, micro)
        return Reservation(holding, charge, self._clock)

    async def refresh(self) -> None:
        """Take up new customers, rates and bursts of the configuration in force."""
        await self._book.prepare()
        await self._recovery.step()

    async def run(self) -> None:
        """Keep the shares where they are needed; runs until it is cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self.STEP_SECONDS)

    async def step(self) -> None:
        """Resend, rebalance and recover units once."""
        await self._book.prepare()
        heard = set(self._links.peers())
        self._peers.keep_only(heard)
        await self._book.resend()
        await self._rebalancer.step()
        await self._recovery.step()

    async def hand_over(self) -> None:
        """Give every unit to peers before this instance stops.

        What no peer has acknowledged in the end is recovered after this instance
        has left the membership.
        """
        self._book.stopping = True
        for _ in range(self.HAND_OVER_TRIES):
            await self._book.resend()
            await asyncio.gather(*(self._give_all(h) for h in self._book.all()))
            if not any(h.units or h.outgoing() for h in self._book.all()):
                return
            await self._clock.sleep(self.HAND_OVER_PAUSE_SECONDS)
        for holding in self._book.all():
            lost = holding.units + sum(s.transfer.units for s in holding.outgoing())
            if lost:
                name = holding.customer.name
                _events.UNITS_ABANDONED.log(customer=name, units=lost)

    async def _admit_with_peers(self, holding: Holding, cost: int) -> Reservation:
        if holding.epoch == 0:
            await self._create(holding)
        charge = await self._borrower.charge(holding, cost)
        if charge is None:
            raise self._refusal(holding, cost)
        reservation = Reservation(holding, charge, self._clock)
        try:
            self._book.require_standing()
        except InstanceNotReady:
            reservation.settle(0.0)
            raise
        return reservation

    async def _create(self, holding: Holding) -> None:
        async with holding.borrowing:
            if holding.epoch != 0:
                return
            try:
                await self._recovery.create(holding)
            except PlatformError as exc:
                raise InstanceNotReady(
                    "the customer's rate is not known yet", retry_after=1.0
                ) from exc

    def _refusal(self, holding: Holding, cost: int) -> RateLimited:
        seconds = self._borrower.wait_seconds(holding, cost)
        return RateLimited(
            f"customer {holding.customer.name} is over its rate",
            retry_after=max(self.MIN_RETRY_AFTER_SECONDS, seconds),
        )

    async def _give_all(self, holding: Holding) -> None:
        # Peers that are leaving themselves are heard from but no longer live.
        others = set(self._members.live_members()) - {self._links.me}
        shares = self._peers.of(holding.customer.name, others)
        if not others or not self._book.may_give(holding):
            return
        to = max(sorted(others), key=lambda p: shares[p].demand if p in shares else 0.0)
        await self._book.move(holding, to, holding.units)

    def _digests(self) -> list[ShareDigest]:
        if self._book.stopping or not self._members.standing():
            return []
        now = self._clock.monotonic()
        heard = set(self._links.peers())
        digests = [self._digest(holding, heard, now) for holding in self._book.all()]
        return [d for d in digests if d.units or d.in_flight or d.demand]

    def _digest(self, holding: Holding, heard: set[PeerId], now: float) -> ShareDigest:
        return ShareDigest(
            holding.customer.name,
            holding.epoch,
            holding.units,
            holding.in_flight(heard),
            holding.level(now),
            holding.demand.rate(now),
            holding.demand.largest(now),
        )

    def _accept(self, sender: PeerId, digests: list[ShareDigest]) -> None:
        self._peers.accept(sender, digests, self._clock.monotonic())
        for digest in digests:
            holding = self._book.by_name(digest.customer)
            if holding is not None:
                self._book.enter(holding, digest.epoch)
