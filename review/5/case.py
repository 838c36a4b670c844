"""A leader that was frozen wakes while its successor lets models be loaded."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import time
from pathlib import Path

from review.kit import deployment
from review.kit.case import run
from review.kit.deployment import BOUNDS, HOST, Fleet
from review.kit.http import request
from review.kit.record import Record
from review.kit.runner import Runner, stream_in_chunks
from review.kit.store import Store

INSTANCES = 3
RUNNERS = 14
LOADS_PER_SECOND = 1.0
WINDOW_SECONDS = BOUNDS["ceilingWindowS"]
MOST_LOADS = LOADS_PER_SECOND * WINDOW_SECONDS * BOUNDS["ceilingOvershoot"] + 3
FREEZE_SECONDS = 7.8
"""The longest freeze of the site file."""
SHIFT_SECONDS = 6.2
"""From the freeze until demand moves to other models."""
OBSERVED_SECONDS = 8.0


async def ask(fleet: Fleet, record: Record, name: str, model: str, number: int) -> None:
    """Send one generation request for a model."""
    attempt = deployment.new_id(number)
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Model": model,
        "X-Token-Count": "10,3",
        "X-Prompt-Prefix": f"a1:5,{number:x}:5",
        "X-Deadline-Ms": "15000",
        "Authorization": "Token key-of-atelier",
    }
    answer = await request(fleet.front(name), "POST", "/draft/x", headers, b"prompt")
    record.note("answered", id=attempt, model=model, status=answer.status)


async def demand_new_models(fleet: Fleet, record: Record, names: list[str]) -> None:
    """Ask for each of the models that no runner holds, four times a second."""
    numbers = itertools.count()
    async with asyncio.TaskGroup() as tasks:
        while True:
            for n in range(RUNNERS):
                number = next(numbers)
                name = names[number % len(names)]
                tasks.create_task(ask(fleet, record, name, f"new{n}", number))
            await asyncio.sleep(0.25)


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Freeze the leader, let demand move, and wake it; count the loads."""
    store = Store()
    store.put("op", "config", new_configuration())
    runners = [
        Runner(
            f"i-{n}",
            "writers",
            store,
            record,
            stream_in_chunks,
            slots=32,
            models=(f"old{n}",),
        )
        for n in range(RUNNERS)
    ]
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(store.listen("127.0.0.1"))
        for runner in runners:
            await stack.enter_async_context(runner.listen("127.0.0.1"))
        fleet = Fleet(address, INSTANCES)
        stack.callback(fleet.close)
        for name in fleet.addresses:
            fleet.start(name)
        await fleet.wait_until_ready()
        first = await store.wait_for_holder(1)
        await asyncio.sleep(4.0)
        if with_trouble:
            record.note("SIGSTOP", instance=first)
            fleet.send_signal(first, signal.SIGSTOP)
            frozen_at = time.monotonic()
            second = await store.wait_for_holder(2)
            record.note("second leader", instance=second)
            await asyncio.sleep(frozen_at + SHIFT_SECONDS - time.monotonic())
        others = [name for name in fleet.addresses if name != first]
        asking = asyncio.ensure_future(demand_new_models(fleet, record, others))
        try:
            await asyncio.sleep(FREEZE_SECONDS - SHIFT_SECONDS)
            if with_trouble:
                record.note("SIGCONT", instance=first)
                fleet.send_signal(first, signal.SIGCONT)
            await asyncio.sleep(OBSERVED_SECONDS)
        finally:
            asking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asking
    return find_ceilings(runners)


def find_ceilings(runners: list[Runner]) -> list[str]:
    """Return the window with the most loads from the weight store, if too many."""
    begun = sorted(
        order["at"]
        for runner in runners
        for order in runner.orders
        if order["operation"] == "load" and order["status"] == 202
    )
    if not begun:
        raise RuntimeError("no model was loaded")
    counts = [sum(at <= other < at + WINDOW_SECONDS for other in begun) for at in begun]
    if max(counts) <= MOST_LOADS:
        return []
    return [
        f"{max(counts)} loads from the weight store began within {WINDOW_SECONDS} s; "
        f"{MOST_LOADS:g} are allowed"
    ]


def new_configuration() -> dict[str, object]:
    """Return a configuration with a model for each runner, and as many more."""
    names = [f"{kind}{n}" for kind in ("old", "new") for n in range(RUNNERS)]
    size = {"weightsMb": 60.0, "loadS": 4.0, "adapters": 0, "adapterMb": 1.0}
    engine = {
        "slots": 32,
        "kvCapacityTokens": 100_000,
        "models": [{"name": name} | size for name in names],
        "weightsMb": 100.0,
        "adapterSlots": 2,
        "loadsPerS": LOADS_PER_SECOND,
    }
    service = {"name": "writers", "healthCheck": "/health", "maxConnections": 200}
    return deployment.configuration(
        4,
        [deployment.route("draft", "streaming", "writers")],
        [service | {"engine": engine}],
        [deployment.tenant("atelier")],
    )


if __name__ == "__main__":
    run(case, Path(__file__).parent)
