"""Recovers units that were lost with a failed instance or a lost message."""

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
from ._bucket import MICROTOKENS_PER_TOKEN
from ._local_share import TOTAL_UNITS, LocalShare
from ._members import Members
from ._messages import ReportAsk, ShareRow, UnitsReport
from ._peer_shares import PeerShares
from ._share_registry import SHARE_PARTITION, ShareRegistry


class _EpochRecovery:
    """State of the recovery in one epoch that this instance has raised."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.reports: dict[PeerId, int] = {}
        """Units of each member on entry to the epoch."""
        self.notified: set[PeerId] = set()
        """Members that have acknowledged that their report was counted."""
        self.granted = False
        """Whether the missing units were granted."""
        self.granted_units = 0
        """Number of missing units that were granted."""


class Recovery:
    """Raises a customer's epoch when units are missing, and grants them once.

    Only the customer's owner acts: the live member responsible for the customer by
    rendezvous hashing. It acts only while it reaches all unrevoked members, since an
    unreachable member may still charge requests to its units.
    """

    MISSING_SECONDS = 3.0
    """Time for which units must be missing before the epoch is raised.

    It is longer than the instances need to converge by heartbeats.
    """

    NOTHING_MISSING_PAUSE_SECONDS = 60.0
    """Pause after a recovery that found no missing units.

    Such a recovery begins when members do not announce their units in heartbeats.
    """

    REQUEST_TIMEOUT_SECONDS = 0.5
    """Timeout of one `ReportAsk` to a member."""

    def __init__(
        self,
        registry: ShareRegistry,
        peers: PeerShares,
        links: Links,
        table: TableService,
        members: Members,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._links = links
        self._table = table
        self._members = members
        self._clock = clock
        self._recoveries: dict[str, _EpochRecovery] = {}
        self._missing_since: dict[str, float] = {}
        self._step_lock = asyncio.Lock()

    async def step(self) -> None:
        """Advance the recovery of every customer whose owner this instance is."""
        if not self._registry.ready or not self._members.standing():
            return
        async with self._step_lock:
            await asyncio.gather(
                *(self._advance(share) for share in self._registry.local_shares())
            )

    async def create(self, share: LocalShare) -> None:
        """Grant all units of a new customer to this instance, once.

        Any instance may call this, as only one insert of the share row succeeds.

        Raises:
            PlatformError: The store is unavailable.
        """
        name = share.customer.name
        row = await self._table.get(SHARE_PARTITION, name)
        if row is not None:
            self._adopt_row(share, _decode(row))
            return
        if not await self._write_epoch(name, 1, expected=0) or share.epoch != 0:
            return
        self._registry.enter_epoch(share, 1)
        share.grant(TOTAL_UNITS, self._clock.monotonic(), full=True)
        _events.SHARE_CREATED.log(customer=name)

    async def _advance(self, share: LocalShare) -> None:
        name = share.customer.name
        try:
            if name in self._recoveries:
                await self._continue(share, self._recoveries[name])
            elif self._members.owner_of(name) == self._links.me:
                await self._begin(share)
        except PlatformError as exc:
            _events.SHARE_STORE_FAILED.log(customer=name, reason=exc.message)

    async def _begin(self, share: LocalShare) -> None:
        name = share.customer.name
        if share.epoch == 0:
            await self.create(share)
            return
        if not self._has_missing_units(share) or not await self._reaches_every_member():
            return
        row = await self._table.get(SHARE_PARTITION, name)
        if row is None:
            return
        epoch = _decode(row).epoch + 1
        if not await self._write_epoch(name, epoch, expected=row.version):
            return
        _events.EPOCH_RAISED.log(customer=name, epoch=epoch)
        self._registry.enter_epoch(share, epoch)
        self._recoveries[name] = _EpochRecovery(epoch)
        await self._continue(share, self._recoveries[name])

    def _adopt_row(self, share: LocalShare, row: ShareRow) -> None:
        self._registry.enter_epoch(share, row.epoch)
        if row.epoch == 1 and row.author != self._links.me:
            # Peers learn of a new customer from heartbeats. Until then, assume that
            # the instance that created the row has all units.
            level = int(share.customer.burst * MICROTOKENS_PER_TOKEN)
            now = self._clock.monotonic()
            self._peers.update(row.author, share.customer.name, TOTAL_UNITS, level, now)

    async def _write_epoch(self, name: str, epoch: int, *, expected: int) -> bool:
        """Write an epoch to the share row.

        Returns:
            False if another instance wrote the row first.
        """
        new_row = ShareRow(epoch, self._links.me)
        body = msgspec.msgpack.encode(new_row)
        try:
            await self._table.put(SHARE_PARTITION, name, body, expected=expected)
        except ConditionFailed:
            return False
        except StoreAnswerLost:
            row = await self._table.get(SHARE_PARTITION, name)
            return row is not None and _decode(row) == new_row
        return True

    def _has_missing_units(self, share: LocalShare) -> bool:
        """Return whether units have been missing for `MISSING_SECONDS`."""
        name = share.customer.name
        now = self._clock.monotonic()
        if self._visible_units(share) >= TOTAL_UNITS:
            self._missing_since.pop(name, None)
            return False
        since = self._missing_since.setdefault(name, now)
        return now - since >= self.MISSING_SECONDS

    def _visible_units(self, share: LocalShare) -> int:
        reachable = set(self._links.peers())
        shares = self._peers.by_customer(share.customer.name, reachable).values()
        others = sum(s.units + s.in_flight for s in shares if s.epoch == share.epoch)
        return share.units + share.in_flight(reachable) + others

    async def _reaches_every_member(self) -> bool:
        unrevoked = set(await self._members.unrevoked_members())
        return unrevoked <= {*self._links.peers(), self._links.me}

    async def _continue(self, share: LocalShare, recovery: _EpochRecovery) -> None:
        if share.epoch != recovery.epoch:
            self._end(share, recovery)
            return
        # Read after the share row was written. Members that join later start in this
        # epoch, so their reports are not needed.
        unrevoked = set(await self._members.unrevoked_members())
        pending = unrevoked - recovery.notified - {self._links.me}
        await asyncio.gather(
            *(self._collect_report(share, recovery, m) for m in pending)
        )
        reported = recovery.reports.keys() | {self._links.me}
        if share.epoch == recovery.epoch and unrevoked <= reported:
            self._grant(share, recovery)
        if recovery.granted and unrevoked <= recovery.notified | {self._links.me}:
            self._end(share, recovery)

    async def _collect_report(
        self, share: LocalShare, recovery: _EpochRecovery, member: PeerId
    ) -> None:
        if member not in recovery.reports:
            units = await self._request_report(share, recovery, member, counted=False)
            if units is None:
                return
            recovery.reports[member] = units
        if (
            await self._request_report(share, recovery, member, counted=True)
            is not None
        ):
            recovery.notified.add(member)

    async def _request_report(
        self,
        share: LocalShare,
        recovery: _EpochRecovery,
        member: PeerId,
        *,
        counted: bool,
    ) -> int | None:
        """Return the member's report, or None if it sent none for this epoch."""
        request = ReportAsk(share.customer.name, recovery.epoch, counted)
        timeout = self.REQUEST_TIMEOUT_SECONDS
        try:
            report = await self._links.request(
                member, request, UnitsReport, timeout=timeout
            )
        except PeerError:
            return None
        self._registry.enter_epoch(share, report.epoch)
        return report.units if report.epoch == recovery.epoch else None

    def _grant(self, share: LocalShare, recovery: _EpochRecovery) -> None:
        if recovery.granted:
            return
        recovery.granted = True
        reported = sum(recovery.reports.values()) + share.reported_units
        missing = max(0, TOTAL_UNITS - reported)
        recovery.granted_units = missing
        share.mark_report_counted(recovery.epoch)
        share.grant(missing, self._clock.monotonic())
        _events.UNITS_GRANTED.log(
            customer=share.customer.name, epoch=recovery.epoch, units=missing
        )

    def _end(self, share: LocalShare, recovery: _EpochRecovery) -> None:
        name = share.customer.name
        del self._recoveries[name]
        self._missing_since.pop(name, None)
        if recovery.granted and not recovery.granted_units:
            # A start in the future also delays the next recovery.
            paused_until = self._clock.monotonic() + self.NOTHING_MISSING_PAUSE_SECONDS
            self._missing_since[name] = paused_until
        if not recovery.granted:
            _events.RECOVERY_ABANDONED.log(customer=name, epoch=recovery.epoch)


def _decode(row: Row) -> ShareRow:
    return msgspec.msgpack.decode(row.body, type=ShareRow)
