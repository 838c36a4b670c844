"""Stand-in for a runner: a plain service or a model runner."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from .http import Connection, Request, address_of, head, serve
from .record import Record
from .store import Store

EVENTS = 10
"""Number of events of a stream."""
EVENT_SECONDS = 0.04
"""Time until each of them."""

Work = Callable[["Runner", Request, Connection, dict[str, str]], Awaitable[bool]]
"""Runs a request and answers it with the given headers; returns whether the connection
is kept."""


class Runner:
    """One runner with its entry in the store, written once per heartbeat."""

    HEARTBEAT_SECONDS = 1.2
    REPORT_LAG_SECONDS = 0.1
    ADAPTER_SECONDS = 0.01

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        work: Work,
        *,
        slots: int = 8,
        models: tuple[str, ...] = (),
        load_seconds: float = 4.0,
        version: str = "v1",
        in_memory: tuple[str, ...] = (),
    ) -> None:
        """Describe a runner.

        Args:
            name: Its id.
            service: Its service.
            store: Where it writes its entry.
            record: Takes what it runs.
            work: Runs its requests.
            slots: Requests that it runs at once.
            models: Models that are resident at the start.
            load_seconds: Time of each load.
            version: Version of its software.
            in_memory: Models of which it has a copy in main memory.
        """
        self.version, self._in_memory = version, list(in_memory)
        self.name, self.service, self.slots = name, service, slots
        self.models: dict[str, set[str]] = {model: set() for model in models}
        self.orders: list[dict[str, Any]] = []
        """Accepted and refused orders with time, outcome, holder and fence."""
        self.address = ""
        self._store, self._record, self._work = store, record, work
        self._load_seconds, self._is_engine = load_seconds, bool(models)
        self._born = int(time.time() * 1000)
        self._beats = self._accepted = self._fence = self._running = 0
        self._busy = False
        self._is_gone = False
        self._open: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def listen(self, host: str) -> AsyncIterator[None]:
        """Serve requests and write the entry while the context is open."""
        async with serve(self._handle, host) as self._server:
            self.address = address_of(self._server)
            beating = asyncio.ensure_future(self._beat())
            try:
                yield
            finally:
                for task in (beating, *self._tasks):
                    task.cancel()

    def crash(self) -> None:
        """End for good: close the port, reset all connections, report no more."""
        self._is_gone = True
        self._server.close()
        for conn in list(self._open):
            conn.reset()

    async def _beat(self) -> None:
        while True:
            if not self._is_gone:
                self._write_entry()
            await asyncio.sleep(self.HEARTBEAT_SECONDS)

    def _write_entry(self) -> None:
        self._beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "here",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._beats,
            "born": self._born,
        }
        if self._is_engine:
            entry["models"] = self._wire_models()
            at_hand = {"inMemory": self._in_memory, "onDisk": self._in_memory}
            entry["atHand"] = at_hand
        self._store.put("servers", self.name, entry)

    def _wire_models(self) -> list[dict[str, Any]]:
        return [
            {"name": model, "version": 1, "adapters": sorted(adapters)}
            for model, adapters in sorted(self.models.items())
        ]

    async def _handle(self, req: Request, conn: Connection) -> bool:
        self._open.add(conn)
        try:
            return await self._answer(req, conn)
        finally:
            self._open.discard(conn)

    async def _answer(self, req: Request, conn: Connection) -> bool:
        if req.headers.get("x-target-instance", self.name) != self.name:
            conn.write(421, headers={"X-Instance-Id": self.name})
            return True
        if req.path == "/report":
            conn.write(200, json.dumps(self._report()).encode())
            return True
        if req.path == "/order":
            conn.write(self._take_order(json.loads(req.body)))
            return True
        if "x-attempt-id" not in req.headers:
            conn.write(400, headers={"X-Not-Executed": "1"})
            return True
        headers = {"X-Attempt-Id": req.headers["x-attempt-id"], "X-Server-Seal": "s"}
        model, _, adapter = req.headers.get("x-model", "").partition("/")
        if model and (
            model not in self.models or (adapter and adapter not in self.models[model])
        ):
            conn.write(421, headers=headers | {"X-Not-Executed": "1"})
            return True
        if self._running >= self.slots:
            conn.write(503, headers=headers | {"X-Not-Executed": "1"})
            return True
        self._running += 1
        self._record.note("run", id=headers["X-Attempt-Id"], runner=self.name)
        try:
            return await self._work(self, req, conn, headers)
        finally:
            self._running -= 1

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "colocated",
            "models": self._wire_models(),
            "busy": self._busy,
            "sequence": self._accepted,
            "waiting": 0,
            "running": self._running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
            "coming": [],
        }

    def _take_order(self, order: dict[str, Any]) -> int:
        status = self._status_of(order)
        self.orders.append({**order, "at": time.monotonic(), "status": status})
        self._record.note("order", runner=self.name, status=status, **order)
        return status

    def _status_of(self, order: dict[str, Any]) -> int:
        if order["fencingToken"] < self._fence:
            return 412
        adapter, model = order.get("adapter"), order["model"]
        if order.get("precondition", self._accepted) != self._accepted:
            return 409
        self._fence = order["fencingToken"]
        if adapter:
            if model not in self.models:
                return 400
            self._accepted += 1
            if order["operation"] == "load":
                self.models[model].add(adapter)
                return 202
            self.models[model].discard(adapter)
            return 200
        if self._busy:
            return 409
        self._accepted += 1
        self._busy = True
        task = asyncio.ensure_future(self._change_model(order["operation"], model))
        self._tasks.add(task)
        return 202

    async def _change_model(self, operation: str, model: str) -> None:
        if operation == "load":
            await asyncio.sleep(self._load_seconds)
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self._busy = False
        self._write_entry()


async def stream_in_chunks(
    _: Runner, req: Request, conn: Connection, headers: dict[str, str]
) -> bool:
    """Answer with a short stream."""
    fields = headers | {"Content-Type": "text/event-stream"}
    conn.writer.write(head(200, fields | {"Transfer-Encoding": "chunked"}, None))
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        event = f"id: {number}\ndata: token\n\n".encode()
        conn.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    conn.writer.write(b"0\r\n\r\n")
    return True


async def answer_at_once(
    _: Runner, req: Request, conn: Connection, headers: dict[str, str]
) -> bool:
    """Answer a request after a few milliseconds of work."""
    await asyncio.sleep(0.02)
    conn.write(200, b"done " + req.headers["x-attempt-id"].encode(), headers)
    return True
