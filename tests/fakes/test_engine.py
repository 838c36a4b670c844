"""Tests of the emulated model engine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

import aiohttp
import pytest

from guavajunction_fakes import (
    EngineConfig,
    FakeEngine,
    FakeWeights,
    Resident,
    WeightStoreConfig,
    expected_answer,
)

CFG = EngineConfig(
    memory_mib=1000,
    kv_reserve_mib=200,
    residents=(Resident("m@1", 300),),
    step_seconds=0.002,
    step_seconds_per_request=0.0002,
    load_seconds=0.05,
    unload_seconds=0.01,
)


@pytest.fixture
async def session():
    timeout = aiohttp.ClientTimeout(total=5)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


def body_of(prompt, *, model="m@1", max_tokens=64, stream=True):
    messages = [{"role": "user", "content": prompt}]
    return {
        "model": model,
        "messages": messages,
        "max_tokens": max_tokens,
        "stream": stream,
    }


async def read_events(resp):
    events = []
    async for line in resp.content:
        if line.startswith(b"id: "):
            number = int(line[4:])
        elif line.startswith(b"data: "):
            events.append((number, line[6:].decode().strip()))
    return events


def text_of(events):
    chunks = [json.loads(data) for _, data in events if data != "[DONE]"]
    return "".join(c["choices"][0]["delta"].get("content", "") for c in chunks)


def infer(session, url, body, **headers):
    headers = {name.replace("_", "-"): str(value) for name, value in headers.items()}
    return session.post(f"{url}/v1/chat/completions", json=body, headers=headers)


async def run(session, url, prompt, **headers):
    async with infer(session, url, body_of(prompt), **headers) as resp:
        return await read_events(resp)


async def order(session, url, order_id, action, artifact, *, fence=1, mib=300):
    body = {"order_id": order_id, "fence": fence, "action": action}
    body |= {"artifact": artifact, "mib": mib, "base": None}
    async with session.post(f"{url}/admin/orders", json=body) as resp:
        return resp.status


async def until(condition, seconds=2.0):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    for _ in iter(lambda: bool(condition()), True):
        assert loop.time() < deadline
        await asyncio.sleep(0.005)


class TestStreams:
    """Complete, aborted, resumed and wrong responses."""

    async def test_a_stream_is_complete_and_numbered(self, session):
        async with (
            FakeEngine(CFG).serve() as url,
            infer(session, url, body_of("hi"), X_Request_Id="r") as resp,
        ):
            events = await read_events(resp)
            assert resp.headers["X-Request-Id"] == "r"
        assert [number for number, _ in events] == list(range(len(events)))
        assert events[-1][1] == "[DONE]"
        assert json.loads(events[0][1])["id"] == "chatcmpl-r"
        assert text_of(events) == expected_answer("m", "hi", 64)

    async def test_a_response_without_streaming_has_the_same_text(self, session):
        async with (
            FakeEngine(CFG).serve() as url,
            infer(session, url, body_of("hi", stream=False)) as resp,
        ):
            answer = await resp.json()
        content = answer["choices"][0]["message"]["content"]
        assert content == expected_answer("m", "hi", 64)

    async def test_an_aborted_stream_is_resumed_without_loss(self, session):
        engine = FakeEngine(CFG)
        async with engine.serve() as url:
            engine.faults.set(cut_streams=1, cut_after_events=4)
            async with infer(session, url, body_of("hi"), X_Request_Id="r") as resp:
                with pytest.raises(aiohttp.ClientError):
                    await resp.read()
            async with infer(
                session, url, body_of("hi"), X_Request_Id="r", Last_Event_ID=3
            ) as resp:
                rest = await read_events(resp)
        assert rest[0][0] == 4
        words = expected_answer("m", "hi", 64).split()
        assert text_of(rest).split() == words[4:]
        assert engine.stats()["runs"] == 1

    async def test_resuming_at_the_last_token_sends_only_the_end(self, session):
        async with FakeEngine(CFG).serve() as url:
            async with infer(session, url, body_of("hi"), X_Request_Id="r") as resp:
                events = await read_events(resp)
            last = events[-2][0]
            async with infer(
                session, url, body_of("hi"), X_Request_Id="r", Last_Event_ID=last
            ) as resp:
                assert await read_events(resp) == events[-1:]

    async def test_an_unknown_stream_is_not_resumed(self, session):
        async with (
            FakeEngine(CFG).serve() as url,
            infer(
                session, url, body_of("hi"), X_Request_Id="r", Last_Event_ID=3
            ) as resp,
        ):
            assert resp.status == 410

    async def test_a_crossed_answer_has_another_request_id(self, session):
        engine = FakeEngine(CFG)
        async with engine.serve() as url:
            engine.faults.set(cross_answers=1)
            async with infer(session, url, body_of("hi"), X_Request_Id="r") as resp:
                assert resp.headers["X-Request-Id"] != "r"
                text = text_of(await read_events(resp))
        assert text != expected_answer("m", "hi", 64)

    async def test_a_disconnect_frees_the_slot(self, session):
        engine = FakeEngine(CFG._replace(step_seconds=0.05))
        async with engine.serve() as url:
            async with infer(session, url, body_of("hi")) as resp:
                await resp.content.readline()
                assert len(engine.batch.running) == 1
            await until(lambda: not engine.batch.running)
            assert engine.stats()["disconnects"] == 1

    async def test_a_disconnect_before_the_response_frees_the_slot(self, session):
        engine = FakeEngine(CFG._replace(step_seconds=0.05))
        async with engine.serve() as url:
            request = asyncio.ensure_future(
                infer(session, url, body_of("hi", stream=False)).__aenter__()
            )
            await until(lambda: engine.batch.running)
            request.cancel()
            await until(lambda: not engine.batch.running, seconds=0.3)

    async def test_a_cancelled_stream_is_aborted(self, session):
        engine = FakeEngine(CFG._replace(step_seconds=0.05))
        async with (
            engine.serve() as url,
            infer(session, url, body_of("hi"), X_Request_Id="r") as resp,
        ):
            await resp.content.readline()
            await session.post(f"{url}/admin/cancel", json={"request_id": "r"})
            with pytest.raises(aiohttp.ClientError):
                await resp.read()


class TestBatch:
    """Step times, priorities and the prefix cache."""

    async def test_a_live_request_preempts_a_batch_request(self, session):
        engine = FakeEngine(CFG._replace(slots=1, step_seconds=0.004))
        async with engine.serve() as url:
            ended = []

            async def run_as(name, priority):
                events = await run(session, url, name, X_Priority=priority)
                ended.append(name)
                return text_of(events) == expected_answer("m", name, 64)

            batch = asyncio.ensure_future(run_as("slow batch", 5))
            await until(lambda: engine.batch.running)
            live = asyncio.ensure_future(run_as("live", 0))
            assert await asyncio.gather(batch, live) == [True, True]
        assert ended == ["live", "slow batch"]
        assert engine.stats()["preemptions"] == 1

    async def test_a_full_engine_refuses_without_a_run(self, session):
        engine = FakeEngine(CFG._replace(slots=1, max_waiting=1, step_seconds=0.05))
        async with engine.serve() as url:
            first = asyncio.ensure_future(run(session, url, "first"))
            await until(lambda: engine.batch.running)
            second = asyncio.ensure_future(run(session, url, "second"))
            await until(lambda: engine.batch.waiting)
            async with infer(session, url, body_of("third")) as resp:
                assert resp.status == 503
                assert resp.headers["Retry-After"] == "1"
            assert engine.stats()["runs"] == 2
            first.cancel()
            second.cancel()

    async def test_a_cached_prefix_shortens_the_time_to_first_token(self, session):
        cfg = CFG._replace(prefill_tokens_per_second=5000, kv_mib_per_token=0.1)
        prompt = "p" * 4000
        took = []
        async with FakeEngine(cfg).serve() as url:
            for _ in range(2):
                began = time.monotonic()
                async with infer(session, url, body_of(prompt, max_tokens=1)) as resp:
                    await resp.read()
                took.append(time.monotonic() - began)
        assert took[1] < took[0] / 2

    async def test_requests_and_prefix_cache_share_the_kv_memory(self, session):
        engine = FakeEngine(CFG._replace(kv_reserve_mib=50, cache_event_lag=0.0))
        used = []

        async def run_and_sample(number):
            body = body_of(f"{number} " + "p" * 150)
            async with infer(session, url, body) as resp:
                async for _ in resp.content:
                    used.append(engine.batch.kv_used_mib)

        async with engine.serve() as url:
            await asyncio.gather(*(run_and_sample(number) for number in range(12)))
            assert 40 < max(used) <= 50
            async with session.get(f"{url}/admin/cache-events?after=0") as resp:
                events = (await resp.json())["events"]
        seen = [event["seq"] for event in events]
        assert {event["kind"] for event in events} == {"stored", "removed"}
        assert 11 not in seen
        assert 12 in seen

    async def test_imported_prefixes_respect_the_kv_memory(self, session):
        engine = FakeEngine(CFG._replace(kv_reserve_mib=50))
        async with engine.serve() as url:
            for number in range(5):
                await session.put(f"{url}/admin/kv/p{number}", json={"m@1": 100})
            assert engine.batch.kv_used_mib == 50
            async with session.get(f"{url}/admin/kv/p4") as resp:
                assert json.loads(await resp.read()) == {"m@1": 100}
            async with session.get(f"{url}/admin/kv/p0") as resp:
                assert resp.status == 404

    async def test_a_larger_batch_is_slower(self, session):
        cfg = CFG._replace(step_seconds=0.002, step_seconds_per_request=0.004)

        async def seconds(count):
            async with FakeEngine(cfg).serve() as url:
                began = time.monotonic()

                async def run(number):
                    body = body_of(str(number), max_tokens=8)
                    async with infer(session, url, body) as resp:
                        await resp.read()

                await asyncio.gather(*(run(n) for n in range(count)))
                return time.monotonic() - began

        assert await seconds(8) > 2 * await seconds(1)


class TestOrders:
    """Loads and unloads, also with injected faults."""

    async def test_a_load_fetches_through_the_weight_store(self, session):
        async with contextlib.AsyncExitStack() as stack:
            cfg = WeightStoreConfig(models_burst=1, model_seconds=0.05)
            weights = FakeWeights(cfg._replace(models_per_second=10))
            weights_url = await stack.enter_async_context(weights.serve())
            engine = FakeEngine(
                CFG._replace(weights_url=weights_url, fetch_backoff_seconds=0.03)
            )
            url = await stack.enter_async_context(engine.serve())
            assert await order(session, url, "1", "load", "a@1") == 202
            assert await order(session, url, "2", "load", "b@1", mib=100) == 202
            assert engine.memory.ready_artifact("a@1") is None
            await until(lambda: engine.memory.ready_artifact("a@1"))
            await until(lambda: engine.memory.ready_artifact("b@1"))
            assert weights.stats()["slow_downs"] >= 1

    async def test_a_load_that_does_not_fit_is_refused(self, session):
        engine = FakeEngine(CFG)
        async with engine.serve() as url:
            assert await order(session, url, "1", "load", "a@1", mib=501) == 507
            assert engine.stats()["overcommits"] == 0
            assert list(engine.orders.refused) == ["1"]

    async def test_overcommit_is_counted_if_memory_is_not_checked(self, session):
        engine = FakeEngine(CFG._replace(checks_memory=False))
        async with engine.serve() as url:
            assert await order(session, url, "1", "load", "a@1", mib=501) == 202
            assert engine.stats()["overcommits"] == 1
            assert engine.stats()["peak_mib"] == 1001

    @pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 202)])
    async def test_an_old_fencing_number_is_refused_only_if_checked(
        self, session, checks, status
    ):
        engine = FakeEngine(CFG._replace(checks_orders=checks))
        async with engine.serve() as url:
            assert await order(session, url, "1", "load", "a@1", fence=7) == 202
            assert await order(session, url, "2", "unload", "a@1", fence=6) == status
            assert engine.stats()["stale_orders"] == 1
            unloading = engine.memory.artifacts["a@1"].state == "unloading"
            assert unloading is not checks

    async def test_an_order_id_is_applied_once(self, session):
        engine = FakeEngine(CFG)
        async with engine.serve() as url:
            engine.faults.set(duplicate_orders=1, delay_orders_seconds=0.1)
            await order(session, url, "1", "load", "a@1")
            await order(session, url, "2", "unload", "a@1")
            await until(lambda: engine.stats()["repeated_orders"] == 1)
            await until(lambda: "a@1" not in engine.memory.artifacts)
            assert engine.stats()["loads"] == 1

    async def test_a_lost_order_is_acknowledged_and_not_applied(self, session):
        engine = FakeEngine(CFG)
        async with engine.serve() as url:
            engine.faults.set(lose_orders=1)
            assert await order(session, url, "1", "load", "a@1") == 202
            assert not engine.orders.applied
            assert await order(session, url, "1", "load", "a@1") == 202
            assert list(engine.orders.applied) == ["1"]

    async def test_a_delayed_order_takes_effect_after_its_connection_closed(
        self, session
    ):
        engine = FakeEngine(CFG)
        async with engine.serve() as url:
            engine.faults.set(
                delay_orders=1, delay_orders_seconds=0.1, answer_delayed_orders=False
            )
            with pytest.raises(aiohttp.ClientError):
                await order(session, url, "1", "load", "a@1")
            assert not engine.orders.applied
            await until(lambda: engine.memory.ready_artifact("a@1"))

    async def test_an_unload_waits_for_running_requests(self, session):
        engine = FakeEngine(CFG._replace(step_seconds=0.01))
        async with engine.serve() as url:
            async with infer(session, url, body_of("hi")) as resp:
                await resp.content.readline()
                await order(session, url, "1", "unload", "m@1")
                async with infer(session, url, body_of("late")) as late:
                    assert late.status == 404
                await asyncio.sleep(0.05)
                assert engine.memory.weights_mib == 300
                assert b"[DONE]" in await resp.read()
            await until(lambda: engine.memory.weights_mib == 0)
            assert engine.stats()["unloads_in_use"] == 1

    async def test_an_adapter_serves_only_while_its_base_is_ready(self, session):
        residents = (Resident("m@1", 300), Resident("a@1", 10, "m@1"))
        engine = FakeEngine(CFG._replace(residents=residents))
        async with engine.serve() as url:
            async with infer(session, url, body_of("hi", model="a@1")) as resp:
                assert text_of(await read_events(resp)) == expected_answer(
                    "a", "hi", 64
                )
            await order(session, url, "1", "unload", "m@1")
            async with infer(session, url, body_of("hi", model="a@1")) as resp:
                assert resp.status == 404

    async def test_an_adapter_without_its_base_does_not_serve(self, session):
        engine = FakeEngine(CFG._replace(residents=(Resident("a@1", 10, "m@1"),)))
        async with engine.serve() as url:
            async with infer(session, url, body_of("hi", model="a@1")) as resp:
                assert resp.status == 404
            await order(session, url, "1", "load", "m@1")
            await until(lambda: engine.memory.ready_artifact("m@1"))
            async with infer(session, url, body_of("hi", model="a@1")) as resp:
                assert resp.status == 200

    async def test_the_load_report_lags(self, session):
        cfg = CFG._replace(load_report_every=0.01, load_report_lag=0.1)
        async with FakeEngine(cfg).serve() as url:
            await asyncio.sleep(0.12)
            await order(session, url, "1", "load", "a@1")
            async with session.get(f"{url}/admin/load") as resp:
                early = await resp.json()
            await asyncio.sleep(0.15)
            async with session.get(f"{url}/admin/load") as resp:
                late = await resp.json()
        assert early["applied_orders"] == []
        assert early["age_seconds"] >= 0.1
        assert late["applied_orders"] == ["1"]
        assert late["seq"] > early["seq"]
