"""Stand-in for the metadata store: conditional writes and a feed of changes."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import Counter, deque
from typing import Any, NamedTuple

from aiohttp import web

from guavajunction_fakes._server import FakeServer

from . import _wire as wire

MILLISECONDS_PER_SECOND = 1000.0


class _Row(NamedTuple):
    ver: int
    value: str | None
    """Base64 of the content; None for a removed row, which the feed still reports."""


class _Write(NamedTuple):
    at: float
    """Monotonic time in seconds."""
    table: str
    key: str
    before: _Row | None
    """The row that the write replaced; None if there was none."""


class FakeStore(FakeServer):
    """Stores rows in memory; all tables share one version counter.

    In a drill the store comes back from an older copy: the newest writes are gone, and
    their versions are given out again.
    """

    MAX_WRITES = 100_000
    """Number of writes that a drill can undo."""

    CANCEL_ON_DISCONNECT = True

    def __init__(self) -> None:
        super().__init__()
        self._tables: dict[str, dict[str, _Row]] = {}
        self._ver = 0
        self._history_start = 0
        self._changed = asyncio.Event()
        self.reads: Counter[str] = Counter()
        """Number of reads by table."""
        self.era: int | None = None
        """How often the store came back from a copy. None sends no era."""
        self._writes: deque[_Write] = deque(maxlen=self.MAX_WRITES)
        self.address_views: dict[str, dict[str, str]] = {}
        """By address on which the store listens: the addresses that its readers see in
        place of those that runners registered."""

    def app(self) -> web.Application:
        """Return the web application, whose responses carry the era."""
        app = super().app()
        app.on_response_prepare.append(self._state_era)
        return app

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the store."""
        return [
            web.post("/rows-tx", self._handle_transaction),
            web.get("/rows-get", self._handle_rows),
            web.get("/rows-feed", self._handle_feed),
        ]

    def write(self, table: str, key: str, content: Any) -> int:
        """Write a row unconditionally, as an operator or runner does.

        Args:
            table: Table of the row.
            key: Key of the row.
            content: Bytes, or a value to store as JSON; None removes the row.

        Returns:
            Version of the row.
        """
        data = content if isinstance(content, bytes) else json.dumps(content).encode()
        value = None if content is None else base64.b64encode(data).decode()
        self._ver += 1
        rows = self._tables.setdefault(table, {})
        self._writes.append(_Write(time.monotonic(), table, key, rows.get(key)))
        rows[key] = _Row(self._ver, value)
        self._wake_readers()
        return self._ver

    def truncate_history(self) -> None:
        """Discard the history of changes.

        The feed then responds with status 410 to readers that have an older version.
        """
        self._ver += 1
        self._writes.clear()
        self._history_start = self._ver

    def restore(self, age_seconds: float) -> int:
        """Come back from a copy, in the next era.

        Args:
            age_seconds: Age of the copy; all later writes are undone.

        Returns:
            Number of writes that are gone.
        """
        copied_at = time.monotonic() - age_seconds
        undone = 0
        while self._writes and self._writes[-1].at > copied_at:
            write = self._writes.pop()
            rows = self._tables[write.table]
            if write.before is None:
                del rows[write.key]
            else:
                rows[write.key] = write.before
            undone += 1
        self._ver -= undone
        self.era = (self.era or 0) + 1
        self._wake_readers()
        return undone

    def rows(self, table: str) -> dict[str, bytes]:
        """Return the content of a table's rows by key."""
        rows = self._tables.get(table, {})
        return {k: base64.b64decode(r.value) for k, r in rows.items() if r.value}

    async def _handle_transaction(self, req: web.Request) -> web.Response:
        body = await req.json()
        for cond in body["precondition"]:
            row = self._tables.get(cond["table"], {}).get(cond["key"])
            if (row.ver if row and row.value is not None else 0) != cond["ver"]:
                return web.json_response({"rows": []}, status=412)
        for entry in body["writes"]:
            content = base64.b64decode(entry["value"])
            self.write(entry["table"], entry["key"], content)
        for entry in body["remove"]:
            self.write(entry["table"], entry["key"], None)
        return web.json_response({"ver": self._ver, "nowMs": self._now_ms()})

    async def _handle_rows(self, req: web.Request) -> web.Response:
        self.reads[req.query["table"]] += 1
        rows = self._tables.get(req.query["table"], {})
        first, last = req.query.get("from", ""), req.query.get("to")
        selected = [
            self._wire_row(req, key, row)
            for key, row in sorted(rows.items())
            if row.value is not None and key >= first and (last is None or key < last)
        ]
        return self._rows_response(selected) if selected else self._rows_response([])

    async def _handle_feed(self, req: web.Request) -> web.Response:
        table, after = req.query["table"], int(req.query["after"])
        self.reads[table] += 1
        ends_at = (
            time.monotonic() + float(req.query["waitMs"]) / MILLISECONDS_PER_SECOND
        )
        while True:
            if after < self._history_start or after > self._ver:
                return web.json_response({}, status=410)
            rows = [
                self._wire_row(req, key, row)
                for key, row in self._tables.get(table, {}).items()
                if row.ver > after
            ]
            seconds_left = ends_at - time.monotonic()
            if rows or seconds_left <= 0:
                return self._rows_response(sorted(rows, key=lambda row: row["ver"]))
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), seconds_left)
            except TimeoutError:
                continue

    def _rows_response(self, rows: list[dict[str, Any]]) -> web.Response:
        return web.json_response(
            {
                "rows": rows,
                "truncated": False,
                "ver": self._ver,
                "nowMs": self._now_ms(),
            }
        )

    def _wire_row(self, req: web.Request, key: str, row: _Row) -> dict[str, Any]:
        table = req.query["table"]
        common = {"table": table, "part": "", "key": key, "ver": row.ver}
        if row.value is None:
            return {**common, "tombstone": True}
        value = row.value
        if table == "servers" and self.address_views:
            value = self._in_view(req, value)
        return {**common, "value": value}

    def _in_view(self, req: web.Request, value: str) -> str:
        """Return a runner's entry with the address that a reader connects to."""
        assert req.transport is not None
        host, port = req.transport.get_extra_info("sockname")
        view = self.address_views.get(f"{host}:{port}", {})
        entry = json.loads(base64.b64decode(value))
        entry["address"] = view.get(entry["address"], entry["address"])
        return base64.b64encode(json.dumps(entry).encode()).decode()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _state_era(self, _: web.Request, resp: web.StreamResponse) -> None:
        if self.era is not None:
            resp.headers[wire.STORE_ERA] = str(self.era)

    def _now_ms(self) -> int:
        return int(time.monotonic() * MILLISECONDS_PER_SECOND)
