"""Many adapters are asked for, so that each new one takes the place of another."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))

import stand

INSTANCES = 3
ENGINES = 2
SLOTS = 32
ADAPTER_SLOTS = 8
ADAPTERS = 40
ADAPTER_SECONDS = 0.01
FEW = 8
"""Adapters that are asked for without the disruption: as many as there are places."""
PER_SECOND = 30
EVENTS, EVENT_SECONDS = 15, 0.08
LOAD_SECONDS = 0.5
DOWN_SECONDS = 2.0
PLAY_SECONDS = 60.0
MODEL = "m1"


class Engine(stand.Runner):
    """A model server that crashes if it is ordered to load more than it holds."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.slots = SLOTS
        self.overfull: list[str] = []
        self._models = [MODEL]
        self._adapters: set[str] = set()
        self._coming: set[str] = set()
        self._leaving: set[str] = set()
        self._in_use: Counter[str] = Counter()
        self._orders = self._fence = 0
        self._order: asyncio.Task[None] | None = None
        self._tasks_of_orders: set[asyncio.Task[None]] = set()
        self._fall: asyncio.Task[None] | None = None

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        at_hand = {"inMemory": [MODEL], "onDisk": [MODEL]}
        return super().entry() | {"models": self._resident(), "atHand": at_hand}

    def _resident(self) -> list[dict[str, Any]]:
        adapters = sorted(self._adapters)
        return [{"name": n, "version": 1, "adapters": adapters} for n in self._models]

    async def answer(self, req: stand.Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a report, an order or a request."""
        _, target, _ = req.first.split(" ")
        attempt = req.fields.get("x-attempt-id")
        if target == "/report":
            body = json.dumps(self._report()).encode()
            writer.write(stand.encode_answer(200, {}, body))
        elif target == "/order":
            status = self._take_order(req)
            if status == 0:
                return False
            writer.write(stand.encode_answer(status, {}))
        elif attempt and (status := self._refusal(req)):
            fields = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            writer.write(stand.encode_answer(status, fields))
        else:
            return await super().answer(req, writer)
        return True

    def _refusal(self, req: stand.Message) -> int:
        if req.fields.get("x-target-instance") != self.name:
            return 421
        adapter = req.fields["x-model"].partition("/")[2]
        if adapter in self._leaving:
            return 503
        return 0 if self._models and adapter in self._adapters else 421

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "colocated",
            "models": self._resident(),
            "busy": self._order is not None,
            "sequence": self._orders,
            "waiting": 0,
            "running": sum(self._in_use.values()),
            "kvUsed": 0,
            "kvTotal": 1_000_000,
            "handles": 0,
            "coming": [f"{MODEL}/{adapter}@1" for adapter in sorted(self._coming)],
            "born": self._born,
        }

    def _take_order(self, req: stand.Message) -> int:
        """Return the status of an order; 0 if the server crashes on it."""
        order = json.loads(req.body)
        if req.fields.get("x-target-instance") != self.name:
            return 421
        if order["fencingToken"] < self._fence:
            return 412
        known = order.get("precondition", self._orders)
        if self._order is not None or known != self._orders:
            return 409
        self._fence = order["fencingToken"]
        adapter = order.get("adapter")
        if adapter is None:
            self._orders += 1
            self._order = asyncio.create_task(self._change_model(order["operation"]))
            return 202
        return self._order_adapter(order["operation"], adapter, order["holder"])

    def _order_adapter(self, operation: str, adapter: str, holder: str) -> int:
        held = self._adapters | self._coming
        if operation == "load":
            if adapter in held:
                return 200
            self._orders += 1
            if len(held) >= ADAPTER_SLOTS:
                text = f"{self.name} crashes: {holder} orders a load of {adapter}"
                self.overfull.append(text)
                self._record(
                    f"{text}, beside {sorted(held)}, leaving {sorted(self._leaving)}"
                )
                self._fall = asyncio.create_task(self._restart())
                return 0
            self._coming.add(adapter)
            self._spawn(self._load_adapter(adapter))
            return 202
        if adapter not in held or adapter in self._leaving:
            return 200
        self._orders += 1
        if not self._in_use[adapter]:
            self._adapters.discard(adapter)
            return 200
        self._record(f"{self.name}: {holder} unloads {adapter}, in use")
        self._leaving.add(adapter)
        return 202

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks_of_orders.add(task)
        task.add_done_callback(self._tasks_of_orders.discard)

    async def _load_adapter(self, adapter: str) -> None:
        await asyncio.sleep(ADAPTER_SECONDS)
        self._coming.discard(adapter)
        self._adapters.add(adapter)

    async def _change_model(self, operation: str) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        self._models = [MODEL] if operation == "load" else []
        self._order = None
        self.write_entry()

    async def run(
        self, req: stand.Message, attempt: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request and answer it; return whether the connection is kept."""
        adapter = req.fields["x-model"].partition("/")[2]
        self._in_use[adapter] += 1
        try:
            writer.write(stand.encode_stream_head(attempt))
            for number in range(1, EVENTS + 1):
                writer.write(stand.encode_event(f"id: {number}\ndata: token\n\n"))
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)
            writer.write(stand.STREAM_END)
            await writer.drain()
        finally:
            self._in_use[adapter] -= 1
            if not self._in_use[adapter] and adapter in self._leaving:
                self._leaving.discard(adapter)
                self._adapters.discard(adapter)
        return True

    async def _restart(self) -> None:
        """Reset all connections, and be back some seconds later, empty."""
        address = self.address
        await self.stop()
        await asyncio.sleep(DOWN_SECONDS)
        self._models = []
        for some in (self._adapters, self._coming, self._leaving):
            some.clear()
        self._in_use.clear()
        self._orders = self._fence = 0
        await self.start(address)
        self._record(f"{self.name} is back, empty")


class Callers:
    """Callers of all instances."""

    def __init__(self, instances: list[stand.Instance], record: stand.Record) -> None:
        self._instances, self._record = instances, record
        self._rng = random.Random(1)
        self.statuses: dict[str, Counter[str]] = {"draft": Counter()}
        self.tasks: set[asyncio.Task[None]] = set()

    async def offer(self, kind: str, pause: float) -> None:
        """Send requests of one kind at fixed intervals."""
        began = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, began + number * pause - time.monotonic()))
            task = asyncio.create_task(self._call(kind, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _adapter(self) -> str:
        """Return an adapter, some of which are asked for more often."""
        most = ADAPTERS if stand.TROUBLE else FEW
        return f"a{1 + int(most * self._rng.random() ** 2)}"

    async def _call(self, kind: str, number: int) -> None:
        attempt = f"{kind}-{number}"
        instance = self._instances[number % len(self._instances)]
        request = stand.encode_request(
            f"/draft/{attempt}",
            attempt,
            body=attempt.encode(),
            X_Model=f"{MODEL}/{self._adapter()}",
            X_Token_Count=f"100,{EVENTS}",
            X_Prompt_Prefix=f"5e5e5e5e:60,{number:08x}:40",
        )
        status = await self._read(instance, request)
        self.statuses[kind][status] += 1

    async def _read(self, instance: stand.Instance, request: bytes) -> str:
        host, _, port = instance.front.rpartition(":")
        try:
            async with asyncio.timeout(10.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request)
                head = await stand.read_head(reader)
                if head is None:
                    return "closed"
                status = head.first.split(" ")[1]
                data = b""
                while status == "200" and not data.endswith(stand.STREAM_END):
                    chunk = await reader.read(65_536)
                    if not chunk:
                        return "broken off"
                    data = data[-16:] + chunk
                writer.close()
                return status
        except (OSError, TimeoutError) as exc:
            return type(exc).__name__


def engine_service() -> dict[str, Any]:
    """Return a service of model servers."""
    model = {
        "name": MODEL,
        "weightsMb": 60,
        "loadS": LOAD_SECONDS,
        "warmS": LOAD_SECONDS,
        "diskS": LOAD_SECONDS,
        "adapters": ADAPTERS,
        "adapterMb": 1,
    }
    engine = {
        "slots": SLOTS,
        "kvCapacityTokens": 1_000_000,
        "models": [model],
        "weightsMb": 130,
        "adapterSlots": ADAPTER_SLOTS,
        "loadsPerS": 5,
    }
    return {"name": "engines", "healthCheck": "/health", "engine": engine}


async def case(record: stand.Record) -> bool:
    """Play the case; return whether the rule was broken."""
    store = stand.Store()
    await store.start()
    routes = [
        stand.route("draft", "streaming", "engines"),
        stand.route("book", "unsafe", "desk"),
    ]
    stand.write_config(store, 3, routes, [engine_service(), "desk"])
    engines = [
        Engine(f"engine-{n}", "engines", store, record) for n in range(1, ENGINES + 1)
    ]
    # The second service, which each installation has. It gets no requests here.
    desks = [stand.Runner(f"desk-{n}", "desk", store, record) for n in (1, 2)]
    for runner in (*engines, *desks):
        await runner.start()
    async with stand.Fleet(INSTANCES, store) as fleet:
        callers = Callers(fleet.instances, record)
        job = asyncio.create_task(callers.offer("draft", 1 / PER_SECOND))
        await asyncio.sleep(PLAY_SECONDS)
        job.cancel()
        await asyncio.gather(job, return_exceptions=True)
        await asyncio.gather(*callers.tasks)
    overfull = [text for engine in engines for text in engine.overfull]
    text = f"{len(overfull)} orders beyond the places; {callers.statuses}"
    record(text)
    print(text)
    for server in (*engines, *desks, store):
        await server.stop()
    return bool(overfull)


if __name__ == "__main__":
    stand.play(case, __file__)
