"""Keeps the origins of recent streams in the store, if all instances end at once.

Each stream is known to several instances. Only if all of them were killed together does
nobody know any more which software version began it, and a caller that resumes it
would have to be refused.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.gateway import StreamBegan, StreamOrigin, StreamOrigins
from guavajunction.peers import PeerId
from guavajunction.storage import Row, TableService

from . import _events as events

PARTITION = "stream"
"""Partition with rows of streams, several of each instance that has written them."""
ANSWERED_NAME = "streams"
"""The instance that answers for this name writes the streams of all."""

_Body = list[tuple[str, str, list[str]]]
"""Service, software version and streams."""


class StreamRows:
    """Writes the streams that have begun on any instance, and reads rows on demand.

    One instance writes, as every hub knows all streams. Its rows form a ring, so that
    nothing has to be removed and a row is written once for all streams of a second.
    """

    WRITE_SECONDS = 1.0
    """Interval at which new streams are written."""
    RING_ROWS = 30
    """Number of rows of one instance, one for each interval; the longest timeout of a
    route is 25 s."""
    MAX_ROW_STREAMS = 2_000
    """Number of streams in one row, the newest ones."""
    OVERLAP_SECONDS = 3.0
    """Age of the streams that an instance writes when it begins to write. The one that
    wrote before may have ended before it wrote them."""
    READ_AGAIN_SECONDS = 2.0
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
        self._written_until = clock.monotonic()
        self._versions: dict[str, int] = {}
        self._read_at = float("-inf")
        self._reading: asyncio.Task[None] | None = None
        self.answers_for: Callable[[str], bool] = lambda _: False
        """Returns whether this instance answers for a name."""
        origins.look_up = self._look_up

    async def run(self) -> None:
        """Write new streams until cancelled."""
        while True:
            await self._clock.sleep(self.WRITE_SECONDS)
            await self.write_new()

    async def write_new(self) -> None:
        """Write the streams that have begun since the last row."""
        now = self._clock.monotonic()
        if not self.answers_for(ANSWERED_NAME):
            self._written_until = now - self.OVERLAP_SECONDS
            return
        streams = self._origins.known_since(self._written_until)
        if not streams:
            self._written_until = now
            return
        # The time goes on over a restart, so that the oldest row is written over.
        interval = int(self._unix_time() / self.WRITE_SECONDS)
        sort = f"{self._me.name}/{interval % self.RING_ROWS}"
        try:
            await self._put(sort, _encode(streams[-self.MAX_ROW_STREAMS :]))
        except (PlatformError, ConditionFailed) as exc:
            self._versions.pop(sort, None)
            events.STREAM_ROW_FAILED.log(
                call="write", reason=exc.message, streams=len(streams)
            )
        else:
            self._written_until = now

    async def _put(self, sort: str, body: bytes) -> None:
        version = self._versions.get(sort, 0)
        try:
            row = await self._table.put(PARTITION, sort, body, expected=version)
        except ConditionFailed:
            # An earlier start of this instance has written it, or an answer was lost.
            present = await self._table.get(PARTITION, sort)
            version = present.version if present else 0
            row = await self._table.put(PARTITION, sort, body, expected=version)
        self._versions[sort] = row.version

    async def _look_up(self, stream: str) -> StreamOrigin | None:
        """Read the rows for a stream that no instance knows."""
        if self._reading is None:
            if self._clock.monotonic() - self._read_at < self.READ_AGAIN_SECONDS:
                return None
            self._reading = asyncio.ensure_future(self._read())
            self._reading.add_done_callback(self._end_reading)
        # Others wait for the same read, so one that leaves must not cancel it.
        await asyncio.shield(self._reading)
        return self._origins.get(stream)

    def _end_reading(self, _: asyncio.Task[None]) -> None:
        self._reading = None
        self._read_at = self._clock.monotonic()

    async def _read(self) -> None:
        try:
            rows = await self._table.query(PARTITION)
        except PlatformError as exc:
            events.STREAM_ROW_FAILED.log(call="read", reason=exc.message, streams=0)
            return
        for row in rows:
            for began in _decode(row):
                self._origins.note(began)


def _encode(streams: Iterable[StreamBegan]) -> bytes:
    by_origin: defaultdict[StreamOrigin, list[str]] = defaultdict(list)
    for began in streams:
        by_origin[began.origin].append(began.stream)
    body: _Body = [(*origin, ids) for origin, ids in by_origin.items()]
    return msgspec.msgpack.encode(body)


def _decode(row: Row) -> list[StreamBegan]:
    try:
        body = msgspec.msgpack.decode(row.body, type=_Body)
    except msgspec.DecodeError as exc:
        events.DOCUMENT_REFUSED.log(reason=f"streams {row.sort!r}: {exc}")
        return []
    return [
        StreamBegan(stream, StreamOrigin(service, version))
        for service, version, streams in body
        for stream in streams
    ]
