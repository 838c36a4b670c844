"""Tests of real instances on stand-ins of the platform."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS
from platform_calls import HOST, KEY, call, limit_holds, listed, runs, until


class TestRequests:
    """A request reaches a backend server as it was sent, and its answer the caller."""

    async def test_plain_request_passes_byte_for_byte(self, deployment):
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

    async def test_deadline_passed_on_is_what_is_left(self, deployment):
        await call(deployment, "/book/1")
        (run,) = runs(deployment)
        assert 3000 < run.deadline_ms <= 4000

    async def test_stream_arrives_whole(self, deployment):
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

    async def test_safe_request_goes_to_another_runner_once(self, deployment):
        for runner in deployment.runners.values():
            runner.error_status = 500
        reply = await call(deployment, "/look/1", method="GET")
        assert reply.status == 500
        assert reply.headers[HEADERS.seal] == "sealed"
        assert len(runs(deployment)) == 2

    async def test_unsafe_failure_is_passed_on_and_not_repeated(self, deployment):
        for runner in deployment.runners.values():
            runner.error_status = 500
        reply = await call(deployment, "/book/1")
        assert reply.status == 500
        assert len(runs(deployment)) == 1

    async def test_cut_stream_does_not_look_whole(self, deployment):
        for runner in deployment.runners.values():
            runner.cut_after_events = 1
        with pytest.raises(aiohttp.ClientError):
            await call(deployment, "/draft/1", model="m1")
        assert len(runs(deployment)) == 1

    async def test_caller_that_leaves_ends_its_run(self, deployment):
        engines = [r for r in deployment.runners.values() if r.spec.engine]
        for runner in engines:
            runner.spec = runner.spec._replace(events=1000)
        with pytest.raises(asyncio.TimeoutError):
            async with asyncio.timeout(0.5):
                await call(deployment, "/draft/1", model="m1")
        await until(lambda: all(runner._running == 0 for runner in engines), 0.5)

    async def test_body_over_the_limit_is_refused(self, deployment):
        url = deployment.front_url("front-1") + "/book/1"
        headers = {"Host": HOST, HEADERS.request_id: "large", HEADERS.key: KEY}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"x" * 200_000) as resp,
        ):
            assert resp.status == 413


class TestModels:
    """Models and adapters are loaded when they are asked for."""

    async def test_adapter_is_loaded_on_demand(self, deployment):
        reply = await call(deployment, "/draft/1", model="m1/a1")
        assert reply.status == 200
        holders = [
            r for r in deployment.runners.values() if "a1" in r.models.get("m1", ())
        ]
        assert len(holders) == 1

    async def test_many_adapters_share_few_places(self, deployment):
        for number in range(1, 9):
            reply = await call(deployment, "/draft/1", model=f"m1/a{number}")
            assert reply.status == 200
            await asyncio.sleep(0.15)
        assert not [o for r in deployment.runners.values() for o in r.overloads]

    async def test_rare_model_is_loaded_and_memory_kept(self, deployment):
        reply = await call(deployment, "/long/1", model="m3")
        assert reply.status == 200
        assert not [o for r in deployment.runners.values() for o in r.overloads]

    async def test_unknown_model_is_refused_at_once(self, deployment):
        reply = await call(deployment, "/draft/1", model="nothing")
        assert reply.status == 503
        assert not runs(deployment)


class TestChanges:
    """Changes that the operator writes are in force within moments."""

    async def test_withdrawn_key_stops_working(self, deployment):
        assert (await call(deployment, "/book/1")).status == 200
        deployment.operator.add_customer("atelier", ["another-key"])
        deployment.operator.write()
        await asyncio.sleep(0.3)
        for name in deployment.instances:
            assert (await call(deployment, "/book/1", name=name)).status == 401

    async def test_change_while_history_is_lost_is_still_seen(self, deployment):
        deployment.store.truncate_history()
        deployment.operator.add_customer("newcomer", ["new-key"])
        deployment.operator.write()
        await asyncio.sleep(4.0)
        assert (await call(deployment, "/book/1", key="new-key")).status == 200

    async def test_broken_rows_change_nothing(self, deployment):
        deployment.store.write("op", "config", b"{")
        deployment.store.write("servers", "stranger", {"service": 7})
        await asyncio.sleep(0.3)
        assert (await call(deployment, "/book/1")).status == 200

    async def test_leaving_runner_gets_nothing_new(self, deployment):
        deployment.runners["booking-1"].drain()
        await asyncio.sleep(0.3)
        for _ in range(6):
            assert (await call(deployment, "/book/1")).status == 200
        assert not deployment.runners["booking-1"].runs

    async def test_limit_holds_over_all_instances(self, deployment):
        await limit_holds(deployment, rounds=30, settle_seconds=0.5)


class TestSettings:
    """Changed settings are applied, wrong ones change nothing."""

    @pytest.mark.parametrize("signalled", [True, False])
    async def test_changed_bounds_are_applied(self, deployment, signalled):
        process = deployment.instances["front-1"]
        deployment.change_bounds("front-1", lambda bounds: bounds | {"graceS": 7})
        if signalled:
            process.signal(signal.SIGHUP)
        await until(lambda: "process:reloaded" in process.log_path.read_text(), 3.0)
        assert (await call(deployment, "/book/1")).status == 200

    async def test_wrong_settings_leave_the_old_ones_in_force(self, deployment):
        process = deployment.instances["front-1"]
        deployment.change_bounds("front-1", lambda _: {})
        process.signal(signal.SIGHUP)
        await until(lambda: "settings_refused" in process.log_path.read_text(), 3.0)
        assert (await call(deployment, "/book/1")).status == 200


class TestOutages:
    """Instances serve on through outages and are replaced at any time."""

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
        await until(lambda: not process.running, 4.0)
        assert process.exit_status == 0

    @pytest.mark.parametrize("outage", ["hang", "drop"])
    async def test_planned_stop_ends_in_time_without_the_store(
        self, deployment, outage
    ):
        deployment.store.faults.set(outage=outage)
        process = deployment.instances["front-1"]
        # Its caller keeps it busy beyond the last moment.
        for runner in deployment.runners.values():
            runner.spec = runner.spec._replace(work_seconds=6.0)
        patient = {HEADERS.deadline: "9000"}
        waiting = asyncio.create_task(call(deployment, "/book/1", **patient))
        await asyncio.sleep(0.3)
        process.signal(signal.SIGTERM)
        await until(lambda: not process.running, deployment.GRACE_SECONDS)
        assert process.exit_status == 0
        with pytest.raises(aiohttp.ClientError):
            await waiting

    async def test_killed_instance_leaves_the_directory_and_comes_back(
        self, deployment
    ):
        await deployment.instances["front-1"].kill()

        async def alone():
            return await listed(deployment, "front-2") == 1

        async def together():
            return await listed(deployment, "front-2") == 2

        await until(alone, 3.0)
        deployment.start("front-1")
        await until(together, 6.0)
        assert (await call(deployment, "/book/1")).status == 200

    async def test_author_that_is_killed_is_followed_by_another(self, deployment):
        assert (await call(deployment, "/draft/1", model="m1/a1")).status == 200
        logs = {n: p.log_path.read_text() for n, p in deployment.instances.items()}
        (author,) = [n for n, text in logs.items() if "author_began" in text]
        await deployment.instances[author].kill()
        other = next(n for n in deployment.instances if n != author)
        await until(
            lambda: "author_began" in deployment.instances[other].log_path.read_text()
        )
        reply = await call(deployment, "/draft/1", name=other, model="m1/a2")
        assert reply.status == 200
