"""Stand-in for the platform's store: rows, conditions and a feed of changes."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import re
import time
from collections.abc import AsyncIterator
from typing import Any, NamedTuple
from urllib.parse import unquote

from .http import Connection, Request, address_of, serve
from .waiting import wait_until

LEASE_KEY = "order-author"
"""Key of the row that names the one instance which gives orders."""


class _Row(NamedTuple):
    ver: int
    value: str | None
    """Base64 of the content; None for a removed row."""


class Store:
    """Keeps rows in memory. All transactions raise one counter."""

    CALL_SECONDS = 0.004

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, _Row]] = {}
        self._ver = 0
        self._changed = asyncio.Event()
        self.writes: list[tuple[float, str, bytes]] = []
        """Time, key and content of each row that an instance wrote."""

    @contextlib.asynccontextmanager
    async def listen(self, host: str) -> AsyncIterator[str]:
        """Serve the store's calls; yield its address."""
        async with serve(self._handle, host) as server:
            yield address_of(server)

    def put(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator or a runner does; None removes it."""
        self._ver += 1
        text = json.dumps(content).encode()
        value = None if content is None else base64.b64encode(text).decode()
        self._tables.setdefault(table, {})[key] = _Row(self._ver, value)
        self._wake()

    def holders(self) -> list[str]:
        """Return the holders of the order lease in turn, by the rows written."""
        names = [
            match.group().decode()
            for _, key, content in self.writes
            if key == LEASE_KEY and (match := re.search(rb"front-\d+", content))
        ]
        return [name for name, _ in itertools.groupby(names)]

    async def wait_for_holder(self, count: int) -> str:
        """Return the holder with a number, as soon as it has written the lease."""
        await wait_until(lambda: len(self.holders()) >= count)
        return self.holders()[count - 1]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request, conn: Connection) -> bool:
        if req.path == "/rows-tx":
            status, answer = self._transact(json.loads(req.body))
        elif req.path == "/rows-get":
            status, answer = 200, self._get(req.query)
        elif req.path == "/rows-feed":
            status, answer = 200, await self._feed(req.query)
        else:
            status, answer = 404, {}
        await asyncio.sleep(self.CALL_SECONDS)
        now_ms = int(time.monotonic() * 1000)
        body = json.dumps({"ver": self._ver, "nowMs": now_ms, **answer}).encode()
        conn.write(status, body, {"Content-Type": "application/json"})
        return True

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for cond in body.get("precondition", ()):
            row = self._tables.get(cond["table"], {}).get(cond["key"])
            present = row.ver if row is not None and row.value is not None else 0
            if present != cond["ver"]:
                return 412, {"rows": []}
        self._ver += 1
        for entry in body.get("writes", ()):
            table = self._tables.setdefault(entry["table"], {})
            table[entry["key"]] = _Row(self._ver, entry["value"])
            content = base64.b64decode(entry["value"])
            self.writes.append((time.monotonic(), entry["key"], content))
        for entry in body.get("remove", ()):
            table = self._tables.setdefault(entry["table"], {})
            table[entry["key"]] = _Row(self._ver, None)
        self._wake()
        return 200, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        first, last = unquote(query.get("from", "")), query.get("to")
        last = None if last is None else unquote(last)
        rows = [
            self._wire(query["table"], key, row)
            for key, row in sorted(self._tables.get(query["table"], {}).items())
            if row.value is not None and key >= first and (last is None or key < last)
        ]
        return {"rows": rows, "truncated": False}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            rows = [
                self._wire(query["table"], key, row)
                for key, row in self._tables.get(query["table"], {}).items()
                if row.ver > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return {"rows": sorted(rows, key=lambda row: row["ver"])}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    @staticmethod
    def _wire(table: str, key: str, row: _Row) -> dict[str, Any]:
        wire = {"table": table, "part": "", "key": key, "ver": row.ver}
        if row.value is None:
            return {**wire, "tombstone": True}
        return {**wire, "value": row.value}
