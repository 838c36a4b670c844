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
from ._local_share import Holding
from ._members import Members
from ._messages import (
    ReportAsk,
    ShareRow,
    Transfer,
    TransferAck,
    UnitsReport,
)

SHARE_PARTITION = "share"


class ShareBook:
    """Keeps a `Holding` for each customer and exchanges transfers and reports.

    It takes part only after it has read every share row, which it does once this
    instance's member row is written. An author that does not know this instance
    has therefore written its epoch before that read, and units of older epochs can
    no longer reach this instance.
    """

    ASK_TIMEOUT_SECONDS = 0.5

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
        self._holdings: dict[str, Holding] = {}
        self._first_epochs: dict[str, int] = {}
        links.handle(Transfer, self._on_transfer)
        links.handle(TransferAck, self._on_ack)
        links.handle(ReportAsk, self._on_report_ask)

    def require_standing(self) -> None:
        """Raise unless this instance may spend now.

        Raises:
            InstanceNotReady: It is starting or cannot prove that it is a member.
        """
        if not self.ready or not self._members.standing():
            raise InstanceNotReady("the instance may not serve now", retry_after=1.0)

    def holding(self, customer: Customer) -> Holding:
        """Return the share of a customer, up to date with its rate and burst."""
        now = self._clock.monotonic()
        found = self._holdings.get(customer.name)
        if found is None:
            found = self._holdings[customer.name] = Holding(customer, now)
            found.enter(self._first_epochs.get(customer.name, 0))
        found.set_customer(customer, now)
        return found

    def by_name(self, name: str) -> Holding | None:
        """Return the share of a customer of the configuration in force, if any."""
        customer = self._configuration().customers.get(name)
        return self.holding(customer) if customer else None

    def all(self) -> list[Holding]:
        """Return the shares of all customers of the configuration in force."""
        return [self.holding(c) for c in self._configuration().customers.values()]

    def may_give(self, holding: Holding) -> bool:
        """Return whether this instance may send units of a share to a peer."""
        standing = self.ready and self._members.standing()
        return standing and holding.may_give and holding.units > 0

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
        for name, holding in self._holdings.items():
            holding.enter(self._first_epochs.get(name, 0))
        self.ready = True

    async def move(self, holding: Holding, to: PeerId, units: int) -> None:
        """Give units to a peer and send them."""
        transfer = holding.give(to, units, self._clock.monotonic())
        _events.UNITS_MOVED.log(
            customer=holding.customer.name, to=to.name, units=units, why="balance"
        )
        await self._deliver(holding, to, transfer)

    async def resend(self) -> None:
        """Send again what a receiver that is heard from has not acknowledged."""
        heard = set(self._links.peers())
        sends = [
            self._deliver(holding, sent.to, sent.transfer)
            for holding in self._holdings.values()
            for sent in holding.outgoing()
            if sent.to in heard
        ]
        await asyncio.gather(*sends)

    def accept(self, sender: PeerId, transfer: Transfer) -> bool:
        """Add the units of a transfer that came, and return whether they count."""
        holding = self.by_name(transfer.customer)
        if holding is None or self.stopping or not self.ready:
            return False
        self.enter(holding, transfer.epoch)
        return holding.receive(sender, transfer, self._clock.monotonic())

    def enter(self, holding: Holding, epoch: int) -> None:
        """Enter an epoch that a peer or the store has named, if it is higher."""
        if self.ready:
            holding.enter(epoch)

    async def _deliver(self, holding: Holding, to: PeerId, transfer: Transfer) -> None:
        timeout = self.ASK_TIMEOUT_SECONDS
        try:
            ack = await self._links.ask(to, transfer, TransferAck, timeout=timeout)
        except PeerError:
            return
        await self._on_ack(to, ack)

    async def _on_transfer(self, sender: PeerId, transfer: Transfer) -> TransferAck:
        taken = self.accept(sender, transfer)
        return acknowledgement(transfer, taken)

    async def _on_ack(self, sender: PeerId, ack: TransferAck) -> None:
        holding = self._holdings.get(ack.customer)
        if holding is not None and ack.taken:
            holding.acknowledged(sender, ack.sequence)

    async def _on_report_ask(self, sender: PeerId, ask: ReportAsk) -> UnitsReport:
        holding = self.by_name(ask.customer)
        if holding is None or not self.ready:
            return UnitsReport(0, 0)
        holding.enter(ask.epoch)
        if ask.counted:
            holding.note_counted(ask.epoch)
        return UnitsReport(holding.epoch, holding.reported)


def acknowledgement(transfer: Transfer, taken: bool) -> TransferAck:
    """Return the answer to a transfer."""
    return TransferAck(transfer.customer, transfer.epoch, transfer.sequence, taken)
