"""A request that crashes each backend server that runs it comes again and again."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))

import stand

INSTANCES = 3
RUNNERS = int(os.environ.get("RUNNERS", "3"))
WORK_SECONDS = 0.03
PER_SECOND = 40
DOWN_SECONDS = 3.0
CRASH_SECONDS = 0.05
REPEAT_SECONDS = float(os.environ.get("REPEAT", "0.7"))
"""Pause between an answer to the crashing request and its next repeat."""
CONTACT_SECONDS = 3.0
PLAY_SECONDS = 45.0
DEADLY = b"the request that crashes backend servers"
TARGET = "/book/deadly"


class Desk(stand.Runner):
    """Crashes when it begins to run the crashing request."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.crashed_at = []
        self.deadly_at = []
        self._fall = None

    async def run(
        self, req: stand.Message, attempt: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request and answer it; return whether the connection is kept."""
        if req.body == DEADLY:
            self.deadly_at.append(time.monotonic())
            await asyncio.sleep(CRASH_SECONDS)
            if self._fall is None:
                self.crashed_at.append(time.monotonic())
                self._record(f"{self.name} crashes on {attempt}")
                self._fall = asyncio.get_running_loop().create_task(self._restart())
            await asyncio.sleep(1.0)
            return False
        await asyncio.sleep(WORK_SECONDS)
        fields = {"X-Attempt-Id": attempt, "X-Server-Seal": f"seal-{attempt}"}
        writer.write(stand.encode_answer(200, fields, b"done"))
        await writer.drain()
        return True

    async def _restart(self) -> None:
        address = self.address
        await self.stop()
        await asyncio.sleep(DOWN_SECONDS)
        await self.start(address)
        self._fall = None
        self._record(f"{self.name} is back")


async def call(instance: stand.Instance, attempt: str, target: str, body: bytes) -> str:
    """Send a request on a new channel; return its status."""
    host, _, port = instance.front.rpartition(":")
    try:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                stand.encode_request(target, attempt, body=body, X_Deadline_Ms="1500")
            )
            head = await stand.read_head(reader)
            writer.close()
            return "closed" if head is None else head.first.split(" ")[1]
    except (OSError, TimeoutError) as exc:
        return type(exc).__name__


async def repeat(instances: list[stand.Instance], record: stand.Record) -> None:
    """Send the crashing request again and again, at the instances in turn."""
    for number in itertools.count():
        attempt = f"deadly-{number}"
        instance = instances[number % len(instances)]
        status = await call(instance, attempt, TARGET, DEADLY)
        record(f"{attempt} at {instance.name}: {status}")
        await asyncio.sleep(REPEAT_SECONDS)


async def offer(
    instances: list[stand.Instance],
    statuses: Counter[str],
    tasks: set[asyncio.Task[None]],
) -> None:
    """Send sound requests at a fixed rate."""
    began = time.monotonic()
    for number in itertools.count():
        due = began + number / PER_SECOND
        await asyncio.sleep(max(0.0, due - time.monotonic()))

        async def one(number: int = number) -> None:
            instance = instances[number % len(instances)]
            name = f"book-{number}"
            statuses[await call(instance, name, f"/book/{name}", name.encode())] += 1

        task = asyncio.create_task(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def case(record: stand.Record) -> bool:
    """Play the case; return whether the rule was broken."""
    store = stand.Store()
    await store.start()
    stand.write_config(store, 3, [stand.route("book", "unsafe", "desk")], ["desk"])
    runners = [Desk(f"desk-{n}", "desk", store, record) for n in range(1, RUNNERS + 1)]
    for runner in runners:
        await runner.start()
    statuses, tasks = Counter(), set()
    async with stand.Fleet(INSTANCES, store) as fleet:
        jobs = [asyncio.create_task(offer(fleet.instances, statuses, tasks))]
        await asyncio.sleep(4.0)
        if stand.TROUBLE:
            jobs.append(asyncio.create_task(repeat(fleet.instances, record)))
        await asyncio.sleep(PLAY_SECONDS)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
        await asyncio.gather(*tasks)
    crashes = sorted(at for runner in runners for at in runner.crashed_at)
    reached = [at for runner in runners for at in runner.deadly_at]
    late = 0
    if len(crashes) >= 3:
        late = sum(at > crashes[2] + CONTACT_SECONDS for at in reached)
    text = (
        f"{len(crashes)} crashes; the request reached backend servers {late} times "
        f"later than contactMs after its third crash; sound requests: {dict(statuses)}"
    )
    record(text)
    print(text)
    for server in (*runners, store):
        with contextlib.suppress(OSError):
            await server.stop()
    return late > 3


if __name__ == "__main__":
    stand.play(case, __file__)
