"""Runs an open-loop load: sends each request at its scheduled time.

A request does not wait for the answers to earlier ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid

import aiohttp

from guavajunction_fakes.fleet import Roster

from ._arrivals import LoadPlan, arrivals
from ._backend_view import read_backend_snapshot
from ._caller import Caller
from ._outcome import Outcome
from ._report import LoadReport


async def run_load(roster: Roster, plan: LoadPlan) -> LoadReport:
    """Send the requests of a plan to a running fleet.

    Args:
        roster: Addresses and customers of the fleet.
        plan: Length, rate and content of the traffic.

    Returns:
        Report of the run, after every request has ended.

    Raises:
        FleetUnreachable: A stand-in did not return its statistics or runs.
    """
    run_id = uuid.uuid4().hex
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(_session())
        before = await read_backend_snapshot(session, roster)
        callers = {
            access.plan.name: Caller(
                await stack.enter_async_context(_session()),
                access,
                roster,
                plan,
                roster.data_centres[index % len(roster.data_centres)],
                run_id,
            )
            for index, access in enumerate(roster.customers)
        }
        started = time.monotonic()
        outcomes = await _send_all(callers, roster, plan)
        elapsed = time.monotonic() - started
        await asyncio.sleep(plan.settle_seconds)
        after = await read_backend_snapshot(session, roster)
    return LoadReport(roster, plan, outcomes, elapsed, before, after)


async def _send_all(
    callers: dict[str, Caller], roster: Roster, plan: LoadPlan
) -> list[Outcome]:
    planned = arrivals(roster, plan)
    start = time.monotonic()
    async with asyncio.TaskGroup() as group:
        tasks = []
        for arrival in planned:
            due = start + arrival.at
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            caller = callers[arrival.customer]
            tasks.append(group.create_task(caller.send_request(arrival, due)))
    return [task.result() for task in tasks]


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
