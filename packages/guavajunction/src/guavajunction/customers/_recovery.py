"""Grants anew the units of a customer's rate that were lost."""

from __future__ import annotations

import asyncio

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import (
    ConditionFailed,
    PeerError,
    PlatformError,
    StoreAnswerLost,
)
from guavajunction.peers import Links, PeerId
from guavajunction.storage import Row, TableService

from . import _events
from ._bucket import MICRO
from ._local_share import TOTAL_UNITS, Holding
from ._members import Members
from ._messages import ReportAsk, ShareRow, UnitsReport
from ._peer_shares import PeerShares
from ._share_registry import SHARE_PARTITION, ShareBook


class _Count:
    """The reports of one epoch that this instance has raised."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.reports: dict[PeerId, int] = {}
        """Units that each member took into the epoch."""
        self.told: set[PeerId] = set()
        """Members that know that their report was counted."""
        self.granted = False
        self.missing = 0
        """Units that were granted."""


class Recovery:
    """Raises a customer's epoch when units are missing and grants them once.

    Only the customer's author acts, and only on customers whose every unrevoked
    member it hears from, since the others' units may still be spent.
    """

    MISSING_SECONDS = 3.0
    """How long units must be missing; longer than heartbeats take to agree."""

    NOTHING_LOST_PAUSE_SECONDS = 60.0
    """Pause after a count that found all units with members that hide them."""

    ASK_TIMEOUT_SECONDS = 0.5

    def __init__(
        self,
        book: ShareBook,
        peers: PeerShares,
        links: Links,
        table: TableService,
        members: Members,
        clock: Clock,
    ) -> None:
        self._book = book
        self._peers = peers
        self._links = links
        self._table = table
        self._members = members
        self._clock = clock
        self._counts: dict[str, _Count] = {}
        self._missing_since: dict[str, float] = {}
        self._stepping = asyncio.Lock()

    async def step(self) -> None:
        """Advance every customer that this instance is the author of."""
        if not self._book.ready or not self._members.standing():
            return
        async with self._stepping:
            await asyncio.gather(*(self._advance(h) for h in self._book.all()))

    async def create(self, holding: Holding) -> None:
        """Grant a customer that never had any units its whole rate, once.

        Any instance may do so, as only one insert of the row succeeds.

        Raises:
            PlatformError: The store did not answer.
        """
        name = holding.customer.name
        row = await self._table.get(SHARE_PARTITION, name)
        if row is not None:
            self._follow(holding, _decode(row))
            return
        if not await self._write(name, 1, expected=0) or holding.epoch != 0:
            return
        self._book.enter(holding, 1)
        holding.grant(TOTAL_UNITS, self._clock.monotonic(), full=True)
        _events.SHARE_CREATED.log(customer=name)

    async def _advance(self, holding: Holding) -> None:
        name = holding.customer.name
        try:
            if name in self._counts:
                await self._count(holding, self._counts[name])
            elif self._members.author(name) == self._links.me:
                await self._begin(holding)
        except PlatformError as exc:
            _events.SHARE_STORE_FAILED.log(customer=name, reason=exc.message)

    async def _begin(self, holding: Holding) -> None:
        name = holding.customer.name
        if holding.epoch == 0:
            await self.create(holding)
            return
        if not self._is_missing(holding) or not await self._hears_everyone():
            return
        row = await self._table.get(SHARE_PARTITION, name)
        if row is None:
            return
        epoch = _decode(row).epoch + 1
        if not await self._write(name, epoch, expected=row.version):
            return
        _events.EPOCH_RAISED.log(customer=name, epoch=epoch)
        self._book.enter(holding, epoch)
        self._counts[name] = _Count(epoch)
        await self._count(holding, self._counts[name])

    def _follow(self, holding: Holding, share: ShareRow) -> None:
        self._book.enter(holding, share.epoch)
        if share.epoch == 1 and share.author != self._links.me:
            # No heartbeat has told of the new customer: its creator has it all.
            level = int(holding.customer.burst * MICRO)
            now = self._clock.monotonic()
            self._peers.update(
                share.author, holding.customer.name, TOTAL_UNITS, level, now
            )

    async def _write(self, name: str, epoch: int, *, expected: int) -> bool:
        """Raise the row's epoch and return whether this instance did it."""
        share = ShareRow(epoch, self._links.me)
        body = msgspec.msgpack.encode(share)
        try:
            await self._table.put(SHARE_PARTITION, name, body, expected=expected)
        except ConditionFailed:
            return False
        except StoreAnswerLost:
            row = await self._table.get(SHARE_PARTITION, name)
            return row is not None and _decode(row) == share
        return True

    def _is_missing(self, holding: Holding) -> bool:
        name = holding.customer.name
        now = self._clock.monotonic()
        if self._visible_units(holding) >= TOTAL_UNITS:
            self._missing_since.pop(name, None)
            return False
        since = self._missing_since.setdefault(name, now)
        return now - since >= self.MISSING_SECONDS

    def _visible_units(self, holding: Holding) -> int:
        heard = set(self._links.peers())
        shares = self._peers.of(holding.customer.name, heard).values()
        others = sum(s.units + s.in_flight for s in shares if s.epoch == holding.epoch)
        return holding.units + holding.in_flight(heard) + others

    async def _hears_everyone(self) -> bool:
        unrevoked = set(await self._members.unrevoked_members())
        return unrevoked <= {*self._links.peers(), self._links.me}

    async def _count(self, holding: Holding, count: _Count) -> None:
        if holding.epoch != count.epoch:
            self._end(holding, count)
            return
        # Read after the row was written: whoever joins later starts in this epoch.
        unrevoked = set(await self._members.unrevoked_members())
        pending = unrevoked - count.told - {self._links.me}
        await asyncio.gather(*(self._ask(holding, count, m) for m in pending))
        reported = count.reports.keys() | {self._links.me}
        if holding.epoch == count.epoch and unrevoked <= reported:
            self._grant(holding, count)
        if count.granted and unrevoked <= count.told | {self._links.me}:
            self._end(holding, count)

    async def _ask(self, holding: Holding, count: _Count, member: PeerId) -> None:
        if member not in count.reports:
            units = await self._report(holding, count, member, counted=False)
            if units is None:
                return
            count.reports[member] = units
        if await self._report(holding, count, member, counted=True) is not None:
            count.told.add(member)

    async def _report(
        self, holding: Holding, count: _Count, member: PeerId, *, counted: bool
    ) -> int | None:
        """Return the member's report, or None if it gave none for this epoch."""
        ask = ReportAsk(holding.customer.name, count.epoch, counted)
        timeout = self.ASK_TIMEOUT_SECONDS
        try:
            report = await self._links.ask(member, ask, UnitsReport, timeout=timeout)
        except PeerError:
            return None
        self._book.enter(holding, report.epoch)
        return report.units if report.epoch == count.epoch else None

    def _grant(self, holding: Holding, count: _Count) -> None:
        if count.granted:
            return
        count.granted = True
        reported = sum(count.reports.values()) + holding.reported
        missing = max(0, TOTAL_UNITS - reported)
        count.missing = missing
        holding.note_counted(count.epoch)
        holding.grant(missing, self._clock.monotonic())
        _events.UNITS_GRANTED.log(
            customer=holding.customer.name, epoch=count.epoch, units=missing
        )

    def _end(self, holding: Holding, count: _Count) -> None:
        name = holding.customer.name
        del self._counts[name]
        self._missing_since.pop(name, None)
        if count.granted and not count.missing:
            paused_until = self._clock.monotonic() + self.NOTHING_LOST_PAUSE_SECONDS
            self._missing_since[name] = paused_until
        if not count.granted:
            _events.RECOVERY_ABANDONED.log(customer=name, epoch=count.epoch)


def _decode(row: Row) -> ShareRow:
    return msgspec.msgpack.decode(row.body, type=ShareRow)
