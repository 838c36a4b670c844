"""Guarantees that hold while instances, backend servers and the store fail."""

from __future__ import annotations

import asyncio
import signal
import time

import aiohttp
import pytest
import pytest_asyncio

from fleet_caller import FleetCaller, is_expected_answer
from guavajunction_fakes._errors import OperationRefused
from guavajunction_fakes.fleet import PROFILES, Fleet
from guavajunction_fakes.load import LoadPlan, Verdict, run_load

pytestmark = pytest.mark.asyncio(loop_scope="module")

IN_FORCE_SECONDS = 3.0
"""Bound on the time until a configuration change is in force on all instances."""

RECOVERY_SECONDS = 30.0
"""Bound on the time until a fleet whose instances were all killed accepts changes: the
time in which changes that were sent before are settled, a lease and a start."""

TIMING_OVERRIDES = {"timing": {"lease": "3", "directory_ttl": "1"}}


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet(tmp_path_factory):
    var = tmp_path_factory.mktemp("fleet")
    profile = PROFILES["demo"]
    async with Fleet(profile, var, entries=4, overrides=TIMING_OVERRIDES) as fleet:
        await fleet.wait_until_ready(within=30)
        yield fleet


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def caller(fleet):
    async with aiohttp.ClientSession() as session:
        yield FleetCaller(fleet, session)


async def under_load(fleet, fault, *, seconds=8.0, scale=2.0, seed=1):
    """Send requests, inject a fault meanwhile, and return the report."""
    plan = LoadPlan(seconds=seconds, scale=scale, seed=seed)
    load = asyncio.create_task(run_load(fleet.roster(), plan))
    await asyncio.sleep(seconds / 4)
    try:
        await fault()
    finally:
        report = await load
    return report


def violations(report):
    return {
        name: count for name, count in report.as_dict()["promises"].items() if count
    }


def verdicts(report):
    return {outcome.verdict for outcome in report.outcomes}


async def wait_for(check, within: float) -> float:
    """Wait until a check passes; return the elapsed time in seconds."""
    start = time.monotonic()
    while not await check():
        assert time.monotonic() - start < within
        await asyncio.sleep(0.05)
    return time.monotonic() - start


class TestInstances:
    """Instances are killed, frozen and replaced."""

    async def test_killed_instance(self, fleet):
        async def fault():
            await fleet.kill(1)
            await asyncio.sleep(2)
            await fleet.start(1)

        report = await under_load(fleet, fault)
        assert violations(report) == {}

    async def test_frozen_instance_serves_after_it_resumes(self, fleet, caller):
        async def fault():
            fleet.freeze(2)
            await asyncio.sleep(5)
            fleet.resume(2)

        report = await under_load(fleet, fault, seconds=10)
        assert violations(report) == {}

        async def serves_again():
            return (await caller.send("GET", "/healthz", entry=2)).status == 200

        await wait_for(serves_again, within=15)

    async def test_rolling_replacement_interrupts_no_request(self, fleet):
        async def fault():
            for index in range(len(fleet.entries)):
                assert await fleet.stop(index) == 0
                await fleet.start(index)

        report = await under_load(fleet, fault, seconds=24, scale=1.0)
        assert violations(report) == {}
        assert verdicts(report) <= {Verdict.WHOLE, Verdict.REFUSED}

    async def test_second_signal_interrupts_no_request(self, fleet, caller):
        async def serves():
            return (await caller.chat("there?", entry=3)).is_complete

        # The previous test restarted the instance, which may still refuse requests.
        await wait_for(serves, within=15)
        prompt = "a long answer across a planned stop"
        chat = asyncio.create_task(caller.chat(prompt, max_tokens=100, entry=3))
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(fleet.stop(3))
        await asyncio.sleep(0.3)
        fleet.processes[3].signal(signal.SIGTERM)
        assert is_expected_answer(await chat, prompt, 100)
        assert await stop == 0
        await fleet.start(3)

    async def test_stop_waits_for_a_booking_whose_caller_disconnected(
        self, fleet, caller
    ):
        for url in fleet.service_urls:
            await fleet.set_faults(url, late_seconds=3.0, only=["POST /bookings"])
        booking = await self._begin_booking(caller, "left-1", entry=3)
        booking.cancel()
        assert await fleet.stop(3) == 0
        for url in fleet.service_urls:
            await fleet.set_faults(url, clear=True)
        repeat = await caller.book("left-1", entry=0)
        assert repeat.status == 201
        assert repeat.headers["idempotent-replayed"] == "true"
        assert await caller.runs("left-1") == 1
        await fleet.start(3)

    async def test_changes_are_accepted_after_all_instances_were_killed(self, fleet):
        for index in range(len(fleet.entries)):
            await fleet.kill(index)
        for index in range(len(fleet.entries)):
            await fleet.start(index)
        customer = fleet.customers[0].plan.name

        async def accepts_change():
            try:
                await fleet.call_operator("POST", "keys", {"customer": customer})
            except (OperationRefused, aiohttp.ClientError):
                return False
            return True

        await wait_for(accepts_change, RECOVERY_SECONDS)

    async def _begin_booking(self, caller, key, *, entry):
        """Return a task of a booking that a backend server has begun to run.

        The previous test restarted the instance, which may still refuse requests.
        """
        refusals = []
        async with asyncio.timeout(10.0):
            while True:
                booking = asyncio.create_task(caller.book(key, entry=entry))
                while not booking.done():
                    if await caller.runs(key):
                        return booking
                    await asyncio.sleep(0.05)
                refusals.append(booking.result())
                assert refusals[-1].error["not_run"] == "true", refusals
                await asyncio.sleep(refusals[-1].error["retry_after"])


class TestKeys:
    """Keys are issued and withdrawn during traffic."""

    async def test_withdrawn_key_stops_everywhere_on_open_connections(
        self, fleet, caller
    ):
        customer = fleet.customers[0].plan.name
        issued = await fleet.call_operator("POST", "keys", {"customer": customer})
        key = issued["key"]
        entries = range(len(fleet.entries))

        async def models_status(entry):
            return (await caller.send("GET", "/v1/models", key=key, entry=entry)).status

        async def all_return(status):
            return {await models_status(entry) for entry in entries} == {status}

        await wait_for(lambda: all_return(200), IN_FORCE_SECONDS)
        await fleet.call_operator("DELETE", f"keys/{issued['key_id']}", {}, index=1)
        await wait_for(lambda: all_return(401), IN_FORCE_SECONDS)


class TestBackends:
    """Backend servers are drained."""

    async def test_draining_backend_server_gets_no_new_requests(self, fleet, caller):
        await fleet.call_operator("POST", "backends/engine-2/drain", {})
        await asyncio.sleep(IN_FORCE_SECONDS)
        url = fleet.engine_urls[1]
        before = (await fleet.stats(url))["runs"]
        report = await under_load(fleet, lambda: asyncio.sleep(0), seconds=5)
        assert (await fleet.stats(url))["runs"] == before
        assert violations(report) == {}
        await wait_for(lambda: self.all_models_answer(fleet, caller), within=20)

    async def all_models_answer(self, fleet, caller):
        answers = [
            await caller.chat("there?", model=model)
            for model in fleet.profile.model_names
        ]
        return all(answer.is_complete for answer in answers)


class TestStore:
    """The store is unavailable or loses replies."""

    async def test_chats_are_served_while_the_store_is_unavailable(self, fleet):
        table = fleet.platform.table

        async def fault():
            await fleet.set_faults(table, outage="drop")
            await asyncio.sleep(12)
            await fleet.set_faults(table, clear=True)

        report = await under_load(fleet, fault, seconds=20, scale=1.0)
        assert violations(report) == {}
        chats = [o for o in report.outcomes if o.arrival.kind != "call"]
        whole = sum(o.verdict is Verdict.WHOLE for o in chats)
        assert whole >= 0.95 * len(chats)

    async def test_lost_replies_of_the_store(self, fleet):
        table = fleet.platform.table

        async def fault():
            for _ in range(8):
                await fleet.set_faults(table, lose_answers=2)
                await asyncio.sleep(0.5)
            await fleet.set_faults(table, clear=True)

        report = await under_load(fleet, fault)
        assert violations(report) == {}
