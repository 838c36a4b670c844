"""Tests of real gateway processes on fake platform services."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS
from platform_calls import (
    HOST,
    KEY,
    assert_limit_holds,
    call,
    count_listed_instances,
    runs,
    wait_until,
)


class TestRequests:
    """Requests and responses are forwarded unchanged between caller and backend."""

    async def test_plain_request_is_forwarded_byte_for_byte(self, deployment):
        reply = await call(deployment, "/book//a%2Fb/../c?x=%20y", Kept="yes")
        assert reply.status == 200
        assert reply.headers[HEADERS.seal] == "sealed"
        (run,) = runs(deployment)
        assert run.target == "/book//a%2Fb/../c?x=%20y"
        assert run.body == b"a body"
        assert "kept" in run.headers

    async def test_runner_sees_the_customer_and_never_the_key(self, deployment):
        forged = {HEADERS.customer: "somebody-else", "X-Hold": "1", "Kv-From": "x"}
        await call(deployment, "/book/1", **forged)
        (run,) = runs(deployment)
        assert run.customer == "atelier"
        assert HEADERS.key.lower() not in run.headers
        assert not {"x-hold", "kv-from"} & set(run.headers)

    async def test_forwarded_deadline_is_the_remaining_time(self, deployment):
        await call(deployment, "/book/1")
        (run,) = runs(deployment)
        assert 3000 < run.deadline_ms <= 4000

    async def test_stream_is_relayed_completely(self, deployment):
        reply = await call(deployment, "/draft/1", model="m1")
        assert reply.status == 200
        assert reply.body.count(b"data: token") == 3

    async def test_unknown_key_and_route_are_refused(self, deployment):
        assert (await call(deployment, "/book/1", key="unknown")).status == 401
        assert (await call(deployment, "/nowhere/1")).status == 404
        assert not runs(deployment)

    async def test_answer_to_another_request_is_never_delivered(self, deployment):
        for runner in deployment.runners.values():
            runner.wrong_request_ids = True
        reply = await call(deployment, "/book/1")
        assert reply.status in (502, 504)
        assert b"crossed" not in reply.body
        assert len(runs(deployment)) == 1

    async def test_failed_safe_request_is_retried_on_one_other_runner(self, deployment):
        for runner in deployment.runners.values():
            runner.error_status = 500
        reply = await call(deployment, "/look/1", method="GET")
        assert reply.status == 500
        assert reply.headers[HEADERS.seal] == "sealed"
        assert len(runs(deployment)) == 2

    async def test_failed_unsafe_request_is_not_retried(self, deployment):
        for runner in deployment.runners.values():
            runner.error_status = 500
        reply = await call(deployment, "/book/1")
        assert reply.status == 500
        assert len(runs(deployment)) == 1

    async def test_cut_stream_is_reported_as_incomplete(self, deployment):
        for runner in deployment.runners.values():
            runner.cut_after_events = 1
        with pytest.raises(aiohttp.ClientError):
            await call(deployment, "/draft/1", model="m1")
        assert len(runs(deployment)) == 1

    async def test_disconnected_caller_ends_its_run(self, deployment):
        engines = [r for r in deployment.runners.values() if r.spec.engine]
        for runner in engines:
            runner.spec = runner.spec._replace(events=1000)
        with pytest.raises(asyncio.TimeoutError):
            async with asyncio.timeout(0.5):
                await call(deployment, "/draft/1", model="m1")
        await wait_until(lambda: all(runner._running == 0 for runner in engines), 0.5)

    async def test_body_over_the_limit_is_refused(self, deployment):
        url = deployment.front_url("front-1") + "/book/1"
        headers = {"Host": HOST, HEADERS.request_id: "large", HEADERS.key: KEY}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"x" * 200_000) as resp,
        ):
            assert resp.status == 413


class TestBrokenOffStreams:
    """A stream looks complete to its caller only if it was complete."""

    async def test_unframed_stream_that_ends_inside_an_event_is_incomplete(
        self, deployment
    ):
        for runner in deployment.runners.values():
            runner.unframed_streams = True
            runner.close_inside_event = 2
        with pytest.raises(aiohttp.ClientError):
            await call(deployment, "/draft/1", model="m1")
        assert len(runs(deployment)) == 1

    async def test_unframed_stream_gets_no_framing_on_its_way(self, deployment):
        for runner in deployment.runners.values():
            runner.unframed_streams = True
        reply = await call(deployment, "/draft/1", model="m1")
        assert reply.body.count(b"data: token") == 3
        assert not {"Transfer-Encoding", "Content-Length"} & set(reply.headers)
        assert reply.headers["Connection"] == "close"


class TestModels:
    """Models and adapters are loaded when a request needs them."""

    async def test_adapter_is_loaded_on_demand(self, deployment):
        reply = await call(deployment, "/draft/1", model="m1/a1")
        assert reply.status == 200
        holders = [
            r for r in deployment.runners.values() if "a1" in r.models.get("m1", ())
        ]
        assert len(holders) == 1

    async def test_many_adapters_share_few_adapter_slots(self, deployment):
        for number in range(1, 9):
            reply = await call(deployment, "/draft/1", model=f"m1/a{number}")
            assert reply.status == 200
            await asyncio.sleep(0.15)
        assert not [o for r in deployment.runners.values() for o in r.overloads]

    async def test_rare_model_is_loaded_without_exceeding_memory(self, deployment):
        reply = await call(deployment, "/long/1", model="m3")
        assert reply.status == 200
        assert not [o for r in deployment.runners.values() for o in r.overloads]

    async def test_unknown_model_is_refused_at_once(self, deployment):
        reply = await call(deployment, "/draft/1", model="nothing")
        assert reply.status == 503
        assert not runs(deployment)


class TestChanges:
    """Changes that the operator writes take effect within a short time."""

    async def test_withdrawn_key_stops_working(self, deployment):
        assert (await call(deployment, "/book/1")).status == 200
        deployment.operator.add_customer("atelier", ["another-key"])
        deployment.operator.write()
        await asyncio.sleep(0.3)
        for name in deployment.instances:
            assert (await call(deployment, "/book/1", name=name)).status == 401

    async def test_change_is_applied_after_feed_history_is_deleted(self, deployment):
        deployment.store.truncate_history()
        deployment.operator.add_customer("newcomer", ["new-key"])
        deployment.operator.write()
        await asyncio.sleep(4.0)
        assert (await call(deployment, "/book/1", key="new-key")).status == 200

    async def test_malformed_rows_are_ignored(self, deployment):
        deployment.store.write("op", "config", b"{")
        deployment.store.write("servers", "stranger", {"service": 7})
        await asyncio.sleep(0.3)
        assert (await call(deployment, "/book/1")).status == 200

    async def test_draining_runner_gets_no_new_requests(self, deployment):
        deployment.runners["booking-1"].drain()
        await asyncio.sleep(0.3)
        for _ in range(6):
            assert (await call(deployment, "/book/1")).status == 200
        assert not deployment.runners["booking-1"].runs

    async def test_limit_holds_over_all_instances(self, deployment):
        await assert_limit_holds(deployment, rounds=30, settle_seconds=0.5)


class TestSettings:
    """Changed settings are applied; invalid settings are ignored."""

    @pytest.mark.parametrize("signalled", [True, False])
    async def test_changed_bounds_are_applied(self, deployment, signalled):
        process = deployment.instances["front-1"]
        deployment.change_bounds("front-1", lambda bounds: bounds | {"graceS": 7})
        if signalled:
            process.signal(signal.SIGHUP)
        await wait_until(
            lambda: "process:reloaded" in process.log_path.read_text(), 3.0
        )
        assert (await call(deployment, "/book/1")).status == 200

    async def test_invalid_settings_keep_the_previous_ones_in_force(self, deployment):
        process = deployment.instances["front-1"]
        deployment.change_bounds("front-1", lambda _: {})
        process.signal(signal.SIGHUP)
        await wait_until(
            lambda: "settings_refused" in process.log_path.read_text(), 3.0
        )
        assert (await call(deployment, "/book/1")).status == 200


class TestOutages:
    """Instances keep serving during store outages and while others are replaced."""

    async def test_store_outage_does_not_stop_requests(self, deployment):
        deployment.store.faults.set(outage="hang")
        await asyncio.sleep(0.5)
        assert (await call(deployment, "/book/1")).status == 200
        assert (await call(deployment, "/draft/1", model="m1")).status == 200

    async def test_planned_stop_ends_with_0_and_leaves_the_directory(self, deployment):
        process = deployment.instances["front-1"]
        process.signal(signal.SIGTERM)
        await asyncio.sleep(0.4)
        assert not await deployment.is_ready("front-1")
        assert len(await deployment.resolve("front-2")) == 1
        assert (await call(deployment, "/book/1")).status == 200
        await wait_until(lambda: not process.running, 4.0)
        assert process.exit_status == 0

    @pytest.mark.parametrize("outage", ["hang", "drop"])
    async def test_planned_stop_ends_in_time_without_the_store(
        self, deployment, outage
    ):
        deployment.store.faults.set(outage=outage)
        process = deployment.instances["front-1"]
        # A request in progress outlasts the grace time.
        for runner in deployment.runners.values():
            runner.spec = runner.spec._replace(work_seconds=6.0)
        long_deadline = {HEADERS.deadline: "9000"}
        waiting = asyncio.create_task(call(deployment, "/book/1", **long_deadline))
        await asyncio.sleep(0.3)
        process.signal(signal.SIGTERM)
        await wait_until(lambda: not process.running, deployment.GRACE_SECONDS)
        assert process.exit_status == 0
        # It gets an answer before the process ends.
        assert (await waiting).status == 504

    async def test_killed_instance_is_delisted_and_relisted_after_restart(
        self, deployment
    ):
        await deployment.instances["front-1"].kill()

        async def one_is_listed():
            return await count_listed_instances(deployment, "front-2") == 1

        async def both_are_listed():
            return await count_listed_instances(deployment, "front-2") == 2

        await wait_until(one_is_listed, 3.0)
        deployment.start("front-1")
        await wait_until(both_are_listed, 6.0)
        assert (await call(deployment, "/book/1")).status == 200

    async def test_killed_order_leader_is_replaced(self, deployment):
        assert (await call(deployment, "/draft/1", model="m1/a1")).status == 200
        logs = {n: p.log_path.read_text() for n, p in deployment.instances.items()}
        (leader,) = [n for n, text in logs.items() if "author_began" in text]
        await deployment.instances[leader].kill()
        other = next(n for n in deployment.instances if n != leader)
        await wait_until(
            lambda: "author_began" in deployment.instances[other].log_path.read_text()
        )
        reply = await call(deployment, "/draft/1", name=other, model="m1/a2")
        assert reply.status == 200
