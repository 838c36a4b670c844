"""The local shares of all customers, and the transfers of units to peers."""

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
"""Partition of the table with one row for each customer."""


class ShareRegistry:
    """Stores a `LocalShare` for each customer and exchanges transfers and reports.

    The registry takes part only after it has read all share rows, and it reads them
    only after this instance's member row was written. An author of an epoch reads the
    members after it has written the epoch. If it did not find this member row, the
    epoch was written before the share rows were read here. This instance therefore
    starts in that epoch or a later one, and rejects units of older epochs.
    """

    REQUEST_TIMEOUT_SECONDS = 0.5
    """Timeout for the acknowledgement of a transfer."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        links: Links,
        table: TableService,
        members: Members,
        clock: Clock,
    ) -> None:
        self.stopping = False
        """Whether this instance is stopping and rejects transfers."""
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
        """Raise unless this instance may charge its shares now.

        Raises:
            InstanceNotReady: The instance is starting, or cannot prove that it is a
                member.
        """
        if not self.ready or not self._members.standing():
            raise InstanceNotReady("the instance may not serve now", retry_after=1.0)

    def local_share(self, customer: Customer) -> LocalShare:
        """Return a customer's share with its rate and burst applied.

        The share is created if it does not exist.
        """
        now = self._clock.monotonic()
        share = self._local_shares.get(customer.name)
        if share is None:
            share = self._local_shares[customer.name] = LocalShare(customer, now)
            share.enter_epoch(self._first_epochs.get(customer.name, 0))
        share.set_customer(customer, now)
        return share

    def find(self, name: str) -> LocalShare | None:
        """Return the share of a customer of the current configuration, or None."""
        customer = self._configuration().customers.get(name)
        return self.local_share(customer) if customer else None

    def local_shares(self) -> list[LocalShare]:
        """Return the shares of all customers of the current configuration."""
        return [self.local_share(c) for c in self._configuration().customers.values()]

    def may_send_units(self, share: LocalShare) -> bool:
        """Return whether this instance may send units of a share to a peer."""
        standing = self.ready and self._members.standing()
        return standing and share.may_send_units and share.units > 0

    async def prepare(self) -> None:
        """Read the share rows once, as soon as this instance may act as a member."""
        if self.ready or not self._members.standing():
            return
        try:
            rows = await self._table.query(SHARE_PARTITION)
        except PlatformError as exc:
            _events.SHARE_STORE_FAILED.log(reason=exc.message)
            return
        for row in rows:
            share_row = msgspec.msgpack.decode(row.body, type=ShareRow)
            self._first_epochs[row.sort] = share_row.epoch
        for name, share in self._local_shares.items():
            share.enter_epoch(self._first_epochs.get(name, 0))
        self.ready = True

    async def send_units(self, share: LocalShare, to: PeerId, units: int) -> None:
        """Deduct units from a share and send them to a peer."""
        transfer = share.create_transfer(to, units, self._clock.monotonic())
        _events.UNITS_MOVED.log(
            customer=share.customer.name, to=to.name, units=units, why="balance"
        )
        await self._deliver(share, to, transfer)

    async def resend(self) -> None:
        """Resend the unacknowledged transfers to reachable receivers."""
        reachable = set(self._links.peers())
        sends = [
            self._deliver(share, sent.to, sent.transfer)
            for share in self._local_shares.values()
            for sent in share.outgoing()
            if sent.to in reachable
        ]
        await asyncio.gather(*sends)

    def accept_transfer(self, sender: PeerId, transfer: Transfer) -> bool:
        """Add the units of a received transfer.

        Returns:
            Whether the units were added now or by an earlier copy of the transfer;
            False if the transfer is rejected.
        """
        share = self.find(transfer.customer)
        if share is None or self.stopping or not self.ready:
            return False
        self.enter_epoch(share, transfer.epoch)
        return share.receive(sender, transfer, self._clock.monotonic())

    def enter_epoch(self, share: LocalShare, epoch: int) -> None:
        """Enter an epoch from a peer or the store if it is higher than the share's.

        Ignored until the share rows have been read.
        """
        if self.ready:
            share.enter_epoch(epoch)

    async def _deliver(self, share: LocalShare, to: PeerId, transfer: Transfer) -> None:
        timeout = self.REQUEST_TIMEOUT_SECONDS
        try:
            ack = await self._links.request(to, transfer, TransferAck, timeout=timeout)
        except PeerError:
            return
        await self._on_transfer_ack(to, ack)

    async def _on_transfer(self, sender: PeerId, transfer: Transfer) -> TransferAck:
        taken = self.accept_transfer(sender, transfer)
        return acknowledgement(transfer, taken)

    async def _on_transfer_ack(self, sender: PeerId, ack: TransferAck) -> None:
        share = self._local_shares.get(ack.customer)
        if share is not None and ack.taken:
            share.confirm_transfer(sender, ack.sequence)

    async def _on_report_request(
        self, sender: PeerId, request: ReportAsk
    ) -> UnitsReport:
        share = self.find(request.customer)
        if share is None or not self.ready:
            return UnitsReport(0, 0)
        share.enter_epoch(request.epoch)
        if request.counted:
            share.mark_report_counted(request.epoch)
        return UnitsReport(share.epoch, share.reported_units)


def acknowledgement(transfer: Transfer, taken: bool) -> TransferAck:
    """Return the acknowledgement of a transfer; `taken` as in `TransferAck`."""
    return TransferAck(transfer.customer, transfer.epoch, transfer.sequence, taken)
