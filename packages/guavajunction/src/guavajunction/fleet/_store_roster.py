"""Rows in the store through which starting instances discover each other."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.peers import PeerId
from guavajunction.storage import InstanceRecord, Row, TableService, era_of

from . import _events as events

PARTITION = "instance"


class InstanceEntry(NamedTuple):
    """Content of an instance's row."""

    incarnation: str
    data_centre: str
    address: str
    """IP address."""
    front_port: int
    """Port for callers."""
    peer_port: int
    """Port for links between instances."""
    strong: bool = False
    """Whether its processor and network can carry a hub's traffic."""


class ListedInstance(NamedTuple):
    """An instance that has a row in the store."""

    record: InstanceRecord
    strong: bool


class StoreRoster:
    """Writes this instance's row to the store and reads the rows of all instances.

    After the first seconds the instances know each other through heartbeats, so the
    interval between reads grows.
    """

    READ_SECONDS = (0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
    """Pauses between reads after the start; the last one repeats."""
    READ_SECONDS_JOINED = 30.0
    """Pause between reads while this instance has a source of rows. It then knows the
    others by heartbeats, or from its hub, and needs the rows only to select another
    source."""
    READ_SECONDS_UNLISTED = 2.0
    """Maximum pause while an instance is live but not in the rows last read, or the
    store may have lost rows. Instances select the same hub only if they have read the
    same list."""

    RENEWAL_CHECK_SECONDS = 0.25
    """Interval at which it is checked whether the row must be renewed."""

    def __init__(
        self, table: TableService, me: PeerId, entry: InstanceEntry, clock: Clock
    ) -> None:
        self._table = table
        self._me = me
        self._entry = entry
        self._clock = clock
        self._rng = random.Random(me.incarnation)
        self.on_read: Callable[[list[ListedInstance]], None] = lambda _: None
        """Called with all listed instances after each read."""
        self.is_joined: Callable[[], bool] = lambda: False
        """Returns whether another instance relays the store's rows to this one."""
        self.is_store_failing: Callable[[], bool] = lambda: False
        """Returns whether the last call of this instance to the store failed."""
        self.live_names: Callable[[], Collection[str]] = tuple
        """Returns the names of the other live instances."""
        self.on_rows: Callable[[Mapping[PeerId, int], float], None] = lambda *_: None
        """Called with the versions of all instances' rows after each read, and with the
        time at which it began."""
        self.must_read: Callable[[], bool] = lambda: False
        """Returns whether the rows must be read at once."""
        self.must_renew: Callable[[], bool] = lambda: False
        """Returns whether this instance's row must be renewed at once."""
        self.on_renewal: Callable[[], None] = lambda: None
        """Called when a renewal begins."""
        self.on_renewed: Callable[[float], None] = lambda _: None
        """Called after a renewal, with the time at which it began."""
        self.listed: list[ListedInstance] = []
        """All listed instances as of the last read."""
        self._listed_names: set[str] = set()
        self._is_outdated = False
        self._leaving = False
        self._written_in = 0
        self._version = 0

    async def run(self) -> None:
        """Write this instance's row, then read all rows until cancelled."""
        await self._retry_until_done(self._register)
        events.ENTERED.log(instance=self._me.name, incarnation=self._me.incarnation)
        pauses = list(self.READ_SECONDS)
        while True:
            await self._attempt(self._read)
            pause = pauses.pop(0) if len(pauses) > 1 else pauses[0]
            if self.is_joined():
                pause = max(pause, self.READ_SECONDS_JOINED)
            await self._wait(pause * self._rng.uniform(0.8, 1.2))

    async def _wait(self, seconds: float) -> None:
        """Wait before the next read.

        The wait is short if a live instance is not listed, if a silent one may have
        ended, or if it is not known whether the store answers this instance.
        """
        end = self._clock.monotonic() + seconds
        while (left := end - self._clock.monotonic()) > 0:
            pause = self.READ_SECONDS_UNLISTED * self._rng.uniform(0.5, 1.0)
            await self._clock.sleep(min(left, pause))
            if (
                self._is_outdated
                or self.is_store_failing()
                or self.must_read()
                or not self._listed_names.issuperset(self.live_names())
            ):
                return

    async def keep_renewed(self) -> None:
        """Renew this instance's row whenever others must see that it serves."""
        while True:
            await self._clock.sleep(self.RENEWAL_CHECK_SECONDS)
            if self._version and not self._leaving and self.must_renew():
                self.on_renewal()
                await self._attempt(self._renew)

    async def _renew(self) -> None:
        began_at = self._clock.monotonic()
        try:
            await self._put(expected=self._version)
        except ConditionFailed:
            # A renewal may have taken effect without an answer. Rows that the store
            # lost are written again after the next read.
            row = await self._table.get(PARTITION, self._me.name)
            if row is not None and _decode(row).incarnation == self._me.incarnation:
                self._version = row.version
            raise
        self.on_renewed(began_at)
        events.ROW_RENEWED.log(instance=self._me.name, version=self._version)

    def read_again(self) -> None:
        """Read the rows soon, because the store may have lost some."""
        self._is_outdated = True

    async def leave(self) -> None:
        """Remove this instance's row, unless a newer incarnation wrote it."""
        self._leaving = True
        await self._attempt(self._remove_own_row)

    async def _register(self) -> None:
        try:
            await self._put(expected=0)
        except ConditionFailed:
            row = await self._table.get(PARTITION, self._me.name)
            if row is None or _decode(row).incarnation != self._me.incarnation:
                await self._put(expected=row.version if row else 0)
            else:
                self._note_written(row)

    async def _put(self, *, expected: int) -> None:
        body = msgspec.msgpack.encode(self._entry)
        row = await self._table.put(PARTITION, self._me.name, body, expected=expected)
        self._note_written(row)

    def _note_written(self, row: Row) -> None:
        self._version = row.version
        self._written_in = era_of(row.version)

    async def _read(self) -> None:
        began_at = self._clock.monotonic()
        rows = await self._table.query(PARTITION)
        self._is_outdated = False
        self.listed = [_listed(row) for row in rows]
        self._listed_names = {entry.record.name for entry in self.listed}
        own = next((row for row in rows if row.sort == self._me.name), None)
        if self._was_lost(own) and not self._leaving:
            await self._register()
            events.ENTERED.log(instance=self._me.name, incarnation=self._me.incarnation)
            # The rows were read before this one was written again.
            others = [e for e in self.listed if e.record.name != self._me.name]
            self.listed = [*others, _listed_entry(self._me.name, self._entry)]
            self._listed_names.add(self._me.name)
        self.on_read(self.listed)
        versions = {PeerId(r.sort, _decode(r).incarnation): r.version for r in rows}
        self.on_rows(versions, began_at)

    def _was_lost(self, own: Row | None) -> bool:
        """Return whether the store came back from a copy without this instance's row.

        A row of another incarnation in the same era is of one that started later.
        """
        if own is None:
            return True
        return (
            era_of(own.version) > self._written_in
            and _decode(own).incarnation != self._me.incarnation
        )

    async def _remove_own_row(self) -> None:
        name, incarnation = self._me
        row = await self._table.get(PARTITION, name)
        if row is not None and _decode(row).incarnation == incarnation:
            await self._table.delete(PARTITION, name, expected=row.version)
            events.ROW_REMOVED.log(instance=name, incarnation=incarnation)

    async def _retry_until_done(self, call: Callable) -> None:
        while not await self._attempt(call):
            await self._clock.sleep(self.READ_SECONDS[0] * self._rng.uniform(0.5, 1.5))

    async def _attempt(self, call: Callable) -> bool:
        try:
            await call()
        except (PlatformError, ConditionFailed, msgspec.DecodeError) as exc:
            events.STORE_REFUSED.log(
                row=f"{PARTITION}/{self._me.name}",
                reason=type(exc).__name__,
                detail=str(exc),
            )
            return False
        return True


def _decode(row: Row) -> InstanceEntry:
    return msgspec.msgpack.decode(row.body, type=InstanceEntry)


def _listed(row: Row) -> ListedInstance:
    return _listed_entry(row.sort, _decode(row))


def _listed_entry(name: str, entry: InstanceEntry) -> ListedInstance:
    record = InstanceRecord(
        name=name,
        data_centre=entry.data_centre,
        address=entry.address,
        http_port=entry.front_port,
        peer_port=entry.peer_port,
        state="live",
    )
    return ListedInstance(record, entry.strong)
