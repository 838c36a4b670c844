"""The shares of every customer at this instance, and their moves to peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from guavajunction.clock import Clock
from guavajunction.configuration import Configuration, Customer
from guavajunction.errors import InstanceNotReady, PeerError, PlatformError
from guavajunction.peers import Links, PeerId
from guavajunction.storage import TableService

from . import _events
from ._local_share import LocalShare
from ._members import Members
from ._messages import (
    ReportAsk,
    ShareRow,
    Transfer,
    TransferAck,
    UnitsReport,
)

SHARE_PARTITION = "share"


class ShareRegistry:
    """Keeps a `Holding` for each customer and exchanges transfers and reports.

    It takes part only after it has read every share row, which it does once this
    instance's member row is written. An author that does not know this instance
    has therefore written its epoch before that read, and units of older epochs can
    no longer reach this instance.
    """

    REQUEST_TIMEOUT_SECONDS = 0.5

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        links: Links,
        table: TableService,
        members: Members,
        clock: Clock,
    ) -> None:
        self.stopping = False
        """Whether this instance takes no more units."""
        self.ready = False
        """Whether the share rows have been read."""
        self._configuration = configuration
        self._links = links
        self._table = table
        self._members = members
        self._clock = clock
        self._local_shares: dict[str, LocalShare] = {}
        self._first_epochs: dict[str, int] = {}
        links.handle(Transfer, self._on_transfer)
        links.handle(TransferAck, self._on_transfer_ack)
        links.handle(ReportAsk, self._on_report_request)

    def require_standing(self) -> None:
        """Raise unless this instance may spend now.

        Raises:
            InstanceNotReady: It is starting or cannot prove that it is a member.
        """
        if not self.ready or not self._members.standing():
            raise InstanceNotReady("the instance may not serve now", retry_after=1.0)

    def local_share(self, customer: Customer) -> LocalShare:
        """Return the share of a customer, up to date with its rate and burst."""
        now = self._clock.monotonic()
        found = self._local_shares.get(customer.name)
        if found is None:
            found = self._local_shares[customer.name] = LocalShare(customer, now)
            found.enter_epoch(self._first_epochs.get(customer.name, 0))
        found.set_customer(customer, now)
        return found

    def find(self, name: str) -> LocalShare | None:
        """Return the share of a customer of the configuration in force, if any."""
        customer = self._configuration().customers.get(name)
        return self.local_share(customer) if customer else None

    def all(self) -> list[LocalShare]:
        """Return the shares of all customers of the configuration in force."""
        return [self.local_share(c) for c in self._configuration().customers.values()]

    def may_send_units(self, local_share: LocalShare) -> bool:
        """Return whether this instance may send units of a share to a peer."""
        standing = self.ready and self._members.standing()
        return standing and local_share.may_send_units and local_share.units > 0

    async def prepare(self) -> None:
        """Read the share rows once, if this instance is in standing."""
        if self.ready or not self._members.standing():
            return
        try:
            rows = await self._table.query(SHARE_PARTITION)
        except PlatformError as exc:
            _events.SHARE_STORE_FAILED.log(reason=exc.message)
            return
        for row in rows:
            share = msgspec.msgpack.decode(row.body, type=ShareRow)
            self._first_epochs[row.sort] = share.epoch
        for name, local_share in self._local_shares.items():
            local_share.enter_epoch(self._first_epochs.get(name, 0))
        self.ready = True

    async def send_units(self, local_share: LocalShare, to: PeerId, units: int) -> None:
        """Give units to a peer and send them."""
        transfer = local_share.create_transfer(to, units, self._clock.monotonic())
        _events.UNITS_MOVED.log(
            customer=local_share.customer.name, to=to.name, units=units, why="balance"
        )
        await self._deliver(local_share, to, transfer)

    async def resend(self) -> None:
        """Send again what a receiver that is heard from has not acknowledged."""
        reachable = set(self._links.peers())
        sends = [
            self._deliver(local_share, sent.to, sent.transfer)
            for local_share in self._local_shares.values()
            for sent in local_share.outgoing()
            if sent.to in reachable
        ]
        await asyncio.gather(*sends)

    def accept(self, sender: PeerId, transfer: Transfer) -> bool:
        """Add the units of a transfer that came, and return whether they count."""
        local_share = self.find(transfer.customer)
        if local_share is None or self.stopping or not self.ready:
            return False
        self.enter_epoch(local_share, transfer.epoch)
        return local_share.receive(sender, transfer, self._clock.monotonic())

    def enter_epoch(self, local_share: LocalShare, epoch: int) -> None:
        """Enter an epoch that a peer or the store has named, if it is higher."""
        if self.ready:
            local_share.enter_epoch(epoch)

    async def _deliver(
        self, local_share: LocalShare, to: PeerId, transfer: Transfer
    ) -> None:
        timeout = self.REQUEST_TIMEOUT_SECONDS
        try:
            ack = await self._links.request(to, transfer, TransferAck, timeout=timeout)
        except PeerError:
            return
        await self._on_transfer_ack(to, ack)

    async def _on_transfer(self, sender: PeerId, transfer: Transfer) -> TransferAck:
        taken = self.accept(sender, transfer)
        return acknowledgement(transfer, taken)

    async def _on_transfer_ack(self, sender: PeerId, ack: TransferAck) -> None:
        local_share = self._local_shares.get(ack.customer)
        if local_share is not None and ack.taken:
            local_share.confirm_transfer(sender, ack.sequence)

    async def _on_report_request(self, sender: PeerId, ask: ReportAsk) -> UnitsReport:
        local_share = self.find(ask.customer)
        if local_share is None or not self.ready:
            return UnitsReport(0, 0)
        local_share.enter_epoch(ask.epoch)
        if ask.counted:
            local_share.mark_counted(ask.epoch)
        return UnitsReport(local_share.epoch, local_share.reported)


def acknowledgement(transfer: Transfer, taken: bool) -> TransferAck:
    """Return the answer to a transfer."""
    return TransferAck(transfer.customer, transfer.epoch, transfer.sequence, taken)
