"""Leases with fencing numbers, each a row of the table service."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, LeaseLost, PlatformError
from guavajunction.peers import PeerId
from guavajunction.storage import Row, TableService, era_of

from . import _events as events

LEASE_PARTITION = "lease"


class LeaseRow(NamedTuple):
    """Content of a lease's row."""

    holder: PeerId | None
    """The incarnation that holds the lease; None after a release."""
    fence: int
    """Fencing number, increased each time that the lease is acquired. It carries the
    era of the store in which the lease was acquired."""
    renewals: int
    """Number of renewals by the holder."""


class _ObservedVersion(NamedTuple):
    """The latest version of the row that was read, and when it was first read."""

    version: int
    first_read_at: float
    """Monotonic time, in seconds, when the first read of this version ended."""


class Lease:
    """A lease from the point of view of one incarnation.

    The holder measures the duration from before it sent its write. A contender
    measures it from the end of the read that first returned the row's version, and
    adds a margin for clock drift. So the holder's time always ends before a contender
    may acquire the lease.

    If the store comes back from an older copy, the row may show a lease that has been
    acquired by another incarnation since, or is not there. So a contender also waits if
    the row shows a free lease of an earlier era, and the first fencing number of an era
    is the row's position, which is above all fencing numbers of earlier eras.
    """

    RENEWALS_PER_DURATION = 3
    """Number of renewals during one lease duration."""
    POLLS_PER_DURATION = 6
    """Number of reads during one lease duration while `acquire` waits for the lease."""
    RETRIES_PER_DURATION = 12
    """Number of retries of a failed renewal during one lease duration."""

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
            me: Identity of this incarnation.
            clock: Source of time.
            duration: Seconds from the start of a write of the row for which the lease
                is held.
            drift_margin: Seconds that a contender adds to the duration.
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
        """Fencing number with which this incarnation last held the lease."""
        return self._row.fence

    def held(self, now: float) -> bool:
        """Return whether the lease is certainly held at a monotonic time in seconds."""
        return now < self._held_until

    def check(self) -> int:
        """Return the fencing number if the lease is held.

        Call it right before an action under the lease, with no `await` in between.

        Raises:
            LeaseLost: The lease is not certainly held.
        """
        if not self.held(self._clock.monotonic()):
            raise LeaseLost(f"the lease {self.name} is not held")
        return self.fence

    async def acquire(self) -> None:
        """Wait until this incarnation holds the lease.

        A background task renews it from then on, until it is released or lost.
        """
        await self._stop_renewing()
        while not await self._attempt():
            await self._clock.sleep(self._duration / self.POLLS_PER_DURATION)
        events.LEASE_TAKEN.log(lease=self.name, fence=self.fence)
        self._renewing = asyncio.create_task(self._renew_forever())

    async def release(self) -> None:
        """Release the lease, if it is held, so that others can acquire it at once.

        A failure of the store is ignored: the lease then expires by itself.
        """
        held = self.held(self._clock.monotonic())
        self._held_until = float("-inf")
        await self._stop_renewing()
        if not held:
            return
        with contextlib.suppress(PlatformError):
            await self._put(self._row._replace(holder=None), self._version)
        events.LEASE_RELEASED.log(lease=self.name, fence=self.fence)

    async def abandon(self) -> None:
        """Stop holding the lease without writing to the store.

        The lease expires unless a peer takes it over.
        """
        self._held_until = float("-inf")
        await self._stop_renewing()

    async def try_acquire(self) -> bool:
        """Read the row once, and acquire the lease if it is free or has expired.

        Returns:
            Whether the lease is held now.

        Raises:
            PlatformError: The store did not answer. The lease may have been acquired;
                the next call reads the row to determine whether it was.
            msgspec.DecodeError: The row is malformed.
        """
        started = self._clock.monotonic()
        row = await self._table.get(LEASE_PARTITION, self.name)
        if row is None:
            return await self._write_holder(LeaseRow(self._me, 1, 0), 0)
        content = msgspec.msgpack.decode(row.body, type=LeaseRow)
        if not self._may_acquire(row, content, started):
            return False
        fence = _next_fence(row, content)
        return await self._write_holder(LeaseRow(self._me, fence, 0), row.version)

    async def take_over(self, previous: PeerId, fence: int) -> bool:
        """Acquire the lease from a holder that abandoned it.

        A holder that can't reach the store can't release its row. Once it has
        announced to its peers that it will never use its fencing number again, the
        lease can be acquired before it expires.

        Args:
            previous: The holder that abandoned the lease.
            fence: The fencing number that this holder will not use again.

        Returns:
            Whether the lease is held now. False if the row names another holder or
            another fencing number, is of an earlier era, or changed meanwhile.

        Raises:
            PlatformError: The store did not answer; the lease may have been acquired.
            msgspec.DecodeError: The row is malformed.
        """
        await self._stop_renewing()
        row = await self._table.get(LEASE_PARTITION, self.name)
        if row is None:
            return False
        content = msgspec.msgpack.decode(row.body, type=LeaseRow)
        if content.fence != fence or content.holder != previous:
            return False
        if not _is_of_present_era(row, content):
            return False
        fence = _next_fence(row, content)
        if not await self._write_holder(LeaseRow(self._me, fence, 0), row.version):
            return False
        events.LEASE_TAKEN.log(lease=self.name, fence=self.fence)
        self._renewing = asyncio.create_task(self._renew_forever())
        return True

    async def renew(self) -> None:
        """Renew the lease once.

        Raises:
            LeaseLost: Another incarnation has acquired the lease.
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
        # The row names this incarnation if the answer to an earlier write was lost.
        is_free = content.holder is None or content.holder == self._me
        if is_free and _is_of_present_era(row, content):
            return True
        if (
            self._observed_version is None
            or self._observed_version.version != row.version
        ):
            self._observed_version = _ObservedVersion(
                row.version, self._clock.monotonic()
            )
            return False
        waited = started - self._observed_version.first_read_at
        return waited >= self._duration + self._drift_margin

    async def _write_holder(self, row: LeaseRow, expected: int) -> bool:
        started = self._clock.monotonic()
        try:
            self._version = await self._put(row, expected)
        except ConditionFailed:
            return False
        if era_of(row.fence) != era_of(self._version):
            # A new era began since the row was read.
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
        """Read the row after a conflict, and adopt its version if it is still ours.

        The cause of the conflict is either an earlier renewal whose answer was lost or
        another incarnation that acquired the lease.

        Raises:
            LeaseLost: Another incarnation has acquired the lease.
        """
        row = await self._table.get(LEASE_PARTITION, self.name)
        content = msgspec.msgpack.decode(row.body, type=LeaseRow) if row else None
        still_holder = content is not None and content.holder == self._me
        if (
            row is None
            or content is None
            or not still_holder
            or content.fence != self.fence
        ):
            self._held_until = float("-inf")
            raise LeaseLost(
                f"the lease {self.name} was acquired by another incarnation"
            )
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


def _is_of_present_era(row: Row, content: LeaseRow) -> bool:
    """Return whether the lease was acquired in the store's present era."""
    return era_of(content.fence) == era_of(row.version)


def _next_fence(row: Row, content: LeaseRow) -> int:
    """Return the fencing number of the incarnation that replaces a row.

    Each acquisition raises the row's version by one or more. So a fencing number is at
    most the version of the row that it replaced, and the present version is higher.
    """
    if _is_of_present_era(row, content):
        return content.fence + 1
    return row.version
