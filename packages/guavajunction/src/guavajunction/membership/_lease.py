"""Leases with fencing numbers, each a row of the table service."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, LeaseLost, PlatformError
from guavajunction.peers import PeerId
from guavajunction.storage import Row, TableService

from . import _events as events

LEASE_PARTITION = "lease"


class LeaseRow(NamedTuple):
    """What the store keeps of a lease."""

    holder: PeerId | None
    """The incarnation that holds it, None after a release."""
    fence: int
    """Rises with each holder."""
    renewals: int
    """Counts the holder's renewals."""


class _ObservedVersion(NamedTuple):
    version: int
    at: float
    """When the first read ended that showed the version."""


class Lease:
    """A lease that one incarnation wants to hold.

    The holder's time counts from before its write was sent; an observer's from
    after the read that first showed the row, with a margin for clocks that drift.
    So the holder has always stopped before anybody else begins.
    """

    RENEWALS_PER_DURATION = 3
    POLLS_PER_DURATION = 6
    RETRIES_PER_DURATION = 12

    def __init__(
        self,
        table: TableService,
        name: str,
        me: PeerId,
        clock: Clock,
        *,
        duration: float,
        drift_margin: float,
    ) -> None:
        """Create a lease that is not held yet.

        Args:
            table: The platform's table service.
            name: Name of the lease, the row's sort key.
            me: The incarnation that wants to hold it.
            clock: Source of time.
            duration: Seconds that a write of the row lasts.
            drift_margin: Seconds that an observer waits longer.
        """
        self._table = table
        self.name = name
        """Name of the lease."""
        self._me = me
        self._clock = clock
        self._duration = duration
        self._drift_margin = drift_margin
        self._row = LeaseRow(None, 0, 0)
        self._version = 0
        self._held_until = float("-inf")
        self._observed_version: _ObservedVersion | None = None
        self._renewing: asyncio.Task[None] | None = None

    @property
    def fence(self) -> int:
        """Fencing number of the latest holding by this incarnation."""
        return self._row.fence

    def held(self, now: float) -> bool:
        """Return whether the lease is certainly held at a monotonic time."""
        return now < self._held_until

    def check(self) -> int:
        """Return the fencing number; call it after the last await before acting.

        Raises:
            LeaseLost: It cannot be proved that the lease is held.
        """
        if not self.held(self._clock.monotonic()):
            raise LeaseLost(f"the lease {self.name} is not held")
        return self.fence

    async def acquire(self) -> None:
        """Wait until this incarnation holds the lease; it is then kept renewed."""
        await self._stop_renewing()
        while not await self._attempt():
            await self._clock.sleep(self._duration / self.POLLS_PER_DURATION)
        events.LEASE_TAKEN.log(lease=self.name, fence=self.fence)
        self._renewing = asyncio.create_task(self._renew_forever())

    async def release(self) -> None:
        """Give the lease up at once, if it is held."""
        held = self.held(self._clock.monotonic())
        self._held_until = float("-inf")
        await self._stop_renewing()
        if not held:
            return
        # Unreleased, it runs out by itself.
        with contextlib.suppress(PlatformError):
            await self._put(self._row._replace(holder=None), self._version)
        events.LEASE_RELEASED.log(lease=self.name, fence=self.fence)

    async def abandon(self) -> None:
        """Stop holding the lease without a word to the store; it runs out there."""
        self._held_until = float("-inf")
        await self._stop_renewing()

    async def try_acquire(self) -> bool:
        """Take the lease if it is free or has run out; one look at the row.

        Returns:
            Whether it is held now.

        Raises:
            PlatformError: The store did not answer; it may have been taken, which
                the next look shows.
        """
        started = self._clock.monotonic()
        row = await self._table.get(LEASE_PARTITION, self.name)
        if row is None:
            return await self._write_holder(LeaseRow(self._me, 1, 0), 0)
        content = msgspec.msgpack.decode(row.body, type=LeaseRow)
        if not self._may_acquire(row, content, started):
            return False
        return await self._write_holder(
            LeaseRow(self._me, content.fence + 1, 0), row.version
        )

    async def take_over(self, previous: PeerId, fence: int) -> bool:
        """Take the lease from a holder that has given it up without the store.

        A holder that is cut from the store can't release its row. Once it has
        promised its peers never to use its fencing number again, nobody needs to
        wait until the lease runs out.

        Args:
            previous: The holder that promised.
            fence: The fencing number that it promised not to use.

        Returns:
            Whether it is held now.

        Raises:
            PlatformError: The store did not answer; it may have been taken.
        """
        await self._stop_renewing()
        row = await self._table.get(LEASE_PARTITION, self.name)
        if row is None:
            return False
        content = msgspec.msgpack.decode(row.body, type=LeaseRow)
        if content.fence != fence or content.holder != previous:
            return False
        if not await self._write_holder(LeaseRow(self._me, fence + 1, 0), row.version):
            return False
        events.LEASE_TAKEN.log(lease=self.name, fence=self.fence)
        self._renewing = asyncio.create_task(self._renew_forever())
        return True

    async def renew(self) -> None:
        """Renew the lease once.

        Raises:
            LeaseLost: Another incarnation has taken it.
            PlatformError: The store did not answer; the lease may have been renewed.
        """
        started = self._clock.monotonic()
        row = self._row._replace(renewals=self._row.renewals + 1)
        try:
            self._version = await self._put(row, self._version)
        except ConditionFailed:
            await self._reread_row()
            await self.renew()
            return
        self._row = row
        self._extend(started)

    async def _attempt(self) -> bool:
        try:
            return await self.try_acquire()
        except (PlatformError, msgspec.DecodeError):
            return False

    def _may_acquire(self, row: Row, content: LeaseRow, started: float) -> bool:
        # One's own row may be from a write whose answer was lost.
        if content.holder is None or content.holder == self._me:
            return True
        if (
            self._observed_version is None
            or self._observed_version.version != row.version
        ):
            self._observed_version = _ObservedVersion(
                row.version, self._clock.monotonic()
            )
            return False
        waited = started - self._observed_version.at
        return waited >= self._duration + self._drift_margin

    async def _write_holder(self, row: LeaseRow, expected: int) -> bool:
        started = self._clock.monotonic()
        try:
            self._version = await self._put(row, expected)
        except ConditionFailed:
            return False
        self._row = row
        self._extend(started)
        return True

    async def _put(self, row: LeaseRow, expected: int) -> int:
        body = msgspec.msgpack.encode(row)
        written = await self._table.put(
            LEASE_PARTITION, self.name, body, expected=expected
        )
        return written.version

    async def _reread_row(self) -> None:
        """Tell an earlier renewal whose answer was lost from a takeover."""
        row = await self._table.get(LEASE_PARTITION, self.name)
        content = msgspec.msgpack.decode(row.body, type=LeaseRow) if row else None
        mine = content is not None and content.holder == self._me
        if row is None or content is None or not mine or content.fence != self.fence:
            self._held_until = float("-inf")
            raise LeaseLost(f"the lease {self.name} was taken by another")
        self._row, self._version = content, row.version

    async def _renew_forever(self) -> None:
        pause = self._duration / self.RENEWALS_PER_DURATION
        retry_pause = self._duration / self.RETRIES_PER_DURATION
        await self._clock.sleep(pause)
        while self.held(self._clock.monotonic()):
            try:
                await self.renew()
            except LeaseLost:
                break
            except (PlatformError, msgspec.DecodeError):
                await self._clock.sleep(retry_pause)
            else:
                await self._clock.sleep(pause)
        events.LEASE_LOST.log(lease=self.name, fence=self.fence)

    async def _stop_renewing(self) -> None:
        task, self._renewing = self._renewing, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _extend(self, started: float) -> None:
        self._held_until = max(self._held_until, started + self._duration)
