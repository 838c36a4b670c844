"""Keeps in the store which services are brittle, for instances that start.

An instance that starts learns it from its peers with their first heartbeats. If all
instances were killed at once, only the store knows, and the first requests of all of
them would overfill the queues of the backend servers.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from guavajunction.bounded import drop_oldest
from guavajunction.brittle import BrittlePlaces
from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.storage import Row, TableService

from . import _events as events

PARTITION = "brittle"
"""Partition with a row for each brittle service."""


class _KnownRow(NamedTuple):
    bears: float | None
    """Rejections a second in the row; None without a row."""
    version: int | None
    """Version of the row, 0 without one, None if unknown."""


class BrittleRows:
    """Reads the rows at the start, and writes the rows that this instance answers for.

    A row only makes the servers of its service taken for brittle until they answer. So
    a row that nobody removed costs the next start some questions for places.
    """

    CHECK_SECONDS = 1.0
    """Interval at which changes are written, and failed writes are repeated."""
    READ_SECONDS = 0.5
    """Longest time after the start for which the first request waits for the rows."""
    MAX_SERVICES = 1024
    """Number of services whose rows are known."""

    def __init__(
        self, table: TableService, places: BrittlePlaces, clock: Clock
    ) -> None:
        self._table = table
        self._places = places
        self._clock = clock
        self._rows: dict[str, _KnownRow] = {}
        self._is_read = asyncio.Event()
        self.answers_for: Callable[[str], bool] = lambda _: False
        """Returns whether this instance writes the row of a service."""

    async def run(self) -> None:
        """Read the rows once, then write changes until cancelled."""
        if not self._is_read.is_set():
            await self._read()
            self._is_read.set()
        while True:
            await self._clock.sleep(self.CHECK_SECONDS)
            await self._write_changes()

    async def wait_until_read(self) -> None:
        """Wait for the first read to end, `READ_SECONDS` at most."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._is_read.wait(), self.READ_SECONDS)

    def write_again(self) -> None:
        """Compare all rows with the store, which may have lost some."""
        self._rows = {service: _KnownRow(None, None) for service in self._rows}

    async def _read(self) -> None:
        try:
            rows = await self._table.query(PARTITION)
        except PlatformError as exc:
            events.BRITTLE_ROW_FAILED.log(call="read", reason=exc.message)
            return
        for row in rows[: self.MAX_SERVICES]:
            bears = _decode(row)
            self._rows[row.sort] = _KnownRow(bears, row.version)
            if bears is not None:
                self._places.presume(row.sort, bears)

    async def _write_changes(self) -> None:
        stated = self._places.brittle_services()
        for service in stated.keys() - self._rows.keys():
            self._rows[service] = _KnownRow(None, None)
        drop_oldest(self._rows, self.MAX_SERVICES)
        for service, known in list(self._rows.items()):
            bears = stated.get(service)
            if bears != known.bears and self.answers_for(service):
                self._rows[service] = await self._write(service, known, bears)

    async def _write(
        self, service: str, known: _KnownRow, bears: float | None
    ) -> _KnownRow:
        """Write or remove a row, and return what is known of it then."""
        version = known.version
        try:
            if version is None:
                row = await self._table.get(PARTITION, service)
                version = row.version if row else 0
            if bears is not None:
                body = msgspec.msgpack.encode(bears)
                row = await self._table.put(PARTITION, service, body, expected=version)
                return _KnownRow(bears, row.version)
            if version:
                await self._table.delete(PARTITION, service, expected=version)
        except (PlatformError, ConditionFailed) as exc:
            events.BRITTLE_ROW_FAILED.log(
                call="write", service=service, reason=exc.message
            )
            return known._replace(version=None)
        return _KnownRow(None, 0)


def _decode(row: Row) -> float | None:
    try:
        return msgspec.msgpack.decode(row.body, type=float)
    except msgspec.DecodeError as exc:
        events.DOCUMENT_REFUSED.log(reason=f"brittle service {row.sort!r}: {exc}")
        return None
