"""Keeps in the store which software version began a stream.

Each stream is known to several instances. If all of them were killed at once, a caller
that resumes it would have to be refused. While a service has one version, that is all
that must be stored. While it has several, its streams are stored as well.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.gateway import StreamBegan, StreamOrigin, StreamOrigins
from guavajunction.peers import PeerId
from guavajunction.storage import Row, TableService

from . import _events as events

PARTITION = "stream"
"""Partition with rows of streams, and one row of versions."""
VERSIONS_KEY = "versions"
"""Sort key of the row with the recent versions of each service. Other sort keys contain
a slash."""
ANSWERED_NAME = "streams"
"""The instance that answers for this name writes the rows."""


class _StoredOrigin(NamedTuple):
    """Content of a row is a list of these."""

    service: str
    software_version: str
    streams: list[str] = []
    """Empty in the row of versions."""


class StreamRows:
    """Writes the rows if this instance answers for them, and reads them on demand.

    One instance writes, as every hub knows all streams. Its rows of streams form a
    ring, so that nothing has to be removed.
    """

    WRITE_SECONDS = 0.25
    """Interval at which changes are written. Streams of the last interval before a kill
    are lost, and many streams last about a second."""
    RETRY_SECONDS = 1.0
    """Pause after a write that failed. All changes of an outage share the next one."""
    HEAR_SECONDS = 1.2
    """Time after the start in which the first heartbeats of the others arrive. Until
    then each instance would take itself for the one that writes."""
    KEEP_SECONDS = 30.0
    """Time for which a version counts after its last backend server has left, and for
    which streams are kept. The longest timeout of a route is 25 s."""
    RING_ROWS = round(KEEP_SECONDS / WRITE_SECONDS)
    """Number of rows of one instance, one for each interval."""
    MAX_ROW_STREAMS = 2_000
    """Number of streams in one row, the newest ones."""
    READ_AGAIN_SECONDS = 1.0
    """Shortest interval between two reads. A stream that is in no row stays unknown."""

    def __init__(
        self,
        table: TableService,
        me: PeerId,
        origins: StreamOrigins,
        clock: Clock,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._unix_time = unix_time
        self._table = table
        self._me = me
        self._origins = origins
        self._clock = clock
        self._present_at: dict[tuple[str, str], float] = {}
        """When each service last had a backend server of a version."""
        self._stored_versions: bytes | None = None
        """Row of versions as last written; None if it has to be read first."""
        self._written_until = float("-inf")
        self._row_versions: dict[str, int] = {}
        self._read_versions: set[tuple[str, str]] | None = None
        """Services and versions of the last read; None without a successful one."""
        self._read_at = float("-inf")
        self._read_began_at = float("-inf")
        self._reading: asyncio.Task[None] | None = None
        self.answers_for: Callable[[str], bool] = lambda _: False
        """Returns whether this instance answers for a name."""
        self.versions: Callable[[], Collection[tuple[str, str]]] = tuple
        """Returns services and versions of the present backend servers."""
        origins.look_up = self._look_up

    async def run(self) -> None:
        """Write changes until cancelled."""
        await self._clock.sleep(self.HEAR_SECONDS)
        while True:
            done = await self.write_changes()
            await self._clock.sleep(self.WRITE_SECONDS if done else self.RETRY_SECONDS)

    def write_again(self) -> None:
        """Compare the row of versions with the store, which may have lost it."""
        self._stored_versions = None

    async def write_changes(self) -> bool:
        """Write the versions if they have changed, and new streams of mixed services.

        Returns:
            Whether nothing is left to write. What failed is written with the next
            changes.
        """
        now = self._clock.monotonic()
        self._present_at.update((version, now) for version in self.versions())
        oldest = now - self.KEEP_SECONDS
        for version, at in list(self._present_at.items()):
            if at < oldest:
                del self._present_at[version]
        if not self.answers_for(ANSWERED_NAME):
            self._stored_versions = None
            self._written_until = oldest
            return True
        try:
            await self._write_versions()
            mixed = self._mixed_services()
            if mixed:
                await self._write_streams(mixed, now)
            else:
                self._written_until = oldest
        except (PlatformError, ConditionFailed) as exc:
            self._stored_versions = None
            events.STREAM_ROW_FAILED.log(call="write", reason=exc.message)
            return False
        return True

    async def _write_versions(self) -> None:
        if self._stored_versions is None:
            # Versions from before a start of all instances count for a while, too.
            row = await self._table.get(PARTITION, VERSIONS_KEY)
            self._row_versions[VERSIONS_KEY] = row.version if row else 0
            self._stored_versions = row.body if row else b""
            for origin in _decode(row) if row else ():
                version = origin.service, origin.software_version
                self._present_at.setdefault(version, self._clock.monotonic())
        body = msgspec.msgpack.encode(
            [_StoredOrigin(*version) for version in sorted(self._present_at)]
        )
        if self._present_at and body != self._stored_versions:
            await self._put(VERSIONS_KEY, body)
            self._stored_versions = body

    def _mixed_services(self) -> set[str]:
        """Return the services that have had several versions recently."""
        counts = Counter(service for service, _ in self._present_at)
        return {service for service, count in counts.items() if count > 1}

    async def _write_streams(self, mixed: set[str], now: float) -> None:
        streams = [
            began
            for began in self._origins.known_since(self._written_until)
            if began.origin.service in mixed
        ]
        if streams:
            # The time goes on over a restart, so that the oldest row is written over.
            interval = int(self._unix_time() / self.WRITE_SECONDS)
            sort = f"{self._me.name}/{interval % self.RING_ROWS}"
            await self._put(sort, _encode(streams[-self.MAX_ROW_STREAMS :]))
        self._written_until = now

    async def _put(self, sort: str, body: bytes) -> None:
        expected = self._row_versions.pop(sort, 0)
        try:
            row = await self._table.put(PARTITION, sort, body, expected=expected)
        except ConditionFailed:
            # An earlier start of this instance has written it, or an answer was lost.
            present = await self._table.get(PARTITION, sort)
            expected = present.version if present else 0
            row = await self._table.put(PARTITION, sort, body, expected=expected)
        self._row_versions[sort] = row.version

    async def _look_up(self, stream: str, service: str | None) -> StreamOrigin | None:
        """Read the rows for a stream that no instance knows.

        It is of the only version that its service has had recently, or in a row. What
        was read before does not show the only version: another may have joined since.
        """
        asked_at = self._clock.monotonic()
        if self._reading is not None or self._next_read_at() <= asked_at:
            await self._share_read()
        origin = self._origins.get(stream)
        if origin is None and self._read_began_at < asked_at:
            await self._clock.sleep(self._next_read_at() - self._clock.monotonic())
            if self._reading is not None or self._read_began_at < asked_at:
                await self._share_read()
            origin = self._origins.get(stream)
        return origin or self._only_origin(service)

    def _next_read_at(self) -> float:
        return self._read_at + self.READ_AGAIN_SECONDS

    async def _share_read(self) -> None:
        """Wait for the running read, or begin one."""
        if self._reading is None:
            self._read_began_at = self._clock.monotonic()
            self._reading = asyncio.ensure_future(self._read())
            self._reading.add_done_callback(self._end_reading)
        # Others wait for the same read, so one that leaves must not cancel it.
        await asyncio.shield(self._reading)

    def _only_origin(self, service: str | None) -> StreamOrigin | None:
        stored = self._read_versions or set()
        if not any(name == service for name, _ in stored):
            return None
        known = {*stored, *self._present_at, *self.versions()}
        versions = {version for name, version in known if name == service}
        return StreamOrigin(service, versions.pop()) if len(versions) == 1 else None

    def _end_reading(self, _: asyncio.Task[None]) -> None:
        self._reading = None
        self._read_at = self._clock.monotonic()

    async def _read(self) -> None:
        self._read_versions = None
        try:
            rows = await self._table.query(PARTITION)
        except PlatformError as exc:
            events.STREAM_ROW_FAILED.log(call="read", reason=exc.message)
            return
        for row in rows:
            stored = _decode(row)
            if row.sort == VERSIONS_KEY:
                self._read_versions = {(o.service, o.software_version) for o in stored}
            for origin in stored:
                began = StreamOrigin(origin.service, origin.software_version)
                for stream in origin.streams:
                    self._origins.note(StreamBegan(stream, began))


def _encode(streams: Iterable[StreamBegan]) -> bytes:
    by_origin: defaultdict[StreamOrigin, list[str]] = defaultdict(list)
    for began in streams:
        by_origin[began.origin].append(began.stream)
    return msgspec.msgpack.encode(
        [_StoredOrigin(*origin, ids) for origin, ids in by_origin.items()]
    )


def _decode(row: Row) -> list[_StoredOrigin]:
    try:
        return msgspec.msgpack.decode(row.body, type=list[_StoredOrigin])
    except msgspec.DecodeError as exc:
        events.DOCUMENT_REFUSED.log(reason=f"streams {row.sort!r}: {exc}")
        return []
