"""Tests of relaying answers of faulty backend servers, with resume and retries.

The faults are interrupted streams, duplicate and missing events, and answers that
belong to another request.
"""

from __future__ import annotations

import random
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from fakes_routing import (
    DESK,
    FakeReplicas,
    Sink,
    State,
    Times,
    config_of,
    customer,
    request,
    service_router,
)
from guavajunction.clock import SystemClock
from guavajunction.errors import (
    AnswerCut,
    BackendFailed,
    KeyRefused,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
)
from guavajunction.routing import (
    AffinitySelector,
    DecisionLog,
    DemandMeter,
    Dispatcher,
    EngineRequest,
    FairQueue,
    InferenceRouter,
    LoadTracker,
    RetryBudget,
    ServiceRequest,
    engine_session,
    single_send_session,
)
from guavajunction_fakes.unframed_response import UnframedResponse

TOKENS = 5


class ScriptedEngine:
    """Serves streams with faults, with one handler of the script per connection."""

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.resumed_after: list[str | None] = []
        self.bodies: list[bytes] = []

    async def on_chat(self, req):
        handle = self.script.pop(0) if self.script else self.whole
        self.resumed_after.append(req.headers.get("Last-Event-ID"))
        self.bodies.append(await req.read())
        return await handle(req)

    async def open(self, req, request_id=None):
        own_id = req.headers["X-Request-Id"]
        response = web.StreamResponse(headers={"X-Request-Id": request_id or own_id})
        await response.prepare(req)
        return response

    def event(self, req, number, request_id=None):
        name = request_id or req.headers["X-Request-Id"]
        return f'id: {number}\ndata: {{"id":"chatcmpl-{name}"}}\n\n'.encode()

    def first(self, req):
        return int(req.headers.get("Last-Event-ID", -1)) + 1

    async def whole(self, req):
        response = await self.open(req)
        for number in range(self.first(req), TOKENS):
            await response.write(self.event(req, number))
        await response.write(f"id: {TOKENS}\ndata: [DONE]\n\n".encode())
        return response

    async def cut(self, req):
        response = await self.open(req)
        await response.write(self.event(req, self.first(req)))
        await response.write(self.event(req, self.first(req) + 1))
        req.transport.abort()
        return response

    async def short(self, req):
        response = await self.open(req)
        await response.write(self.event(req, self.first(req)))
        return response

    async def doubled(self, req):
        response = await self.open(req)
        for number in range(self.first(req), TOKENS):
            await response.write(self.event(req, number) * 2)
        await response.write(f"id: {TOKENS}\ndata: [DONE]\n\n".encode())
        return response

    async def crossed(self, req):
        response = await self.open(req)
        for number in range(self.first(req), TOKENS):
            await response.write(self.event(req, number + 7, "another"))
            await response.write(self.event(req, number))
        await response.write(f"id: {TOKENS}\ndata: [DONE]\n\n".encode())
        return response

    async def gap(self, req):
        response = await self.open(req)
        await response.write(self.event(req, self.first(req)))
        await response.write(self.event(req, self.first(req) + 2))
        return response

    async def other_request(self, req):
        response = await self.open(req, "another")
        await response.write(self.event(req, 0, "another"))
        await response.write(b"id: 1\ndata: [DONE]\n\n")
        return response

    async def refusal_of_another(self, req):
        headers = {"X-Request-Id": "another", "Retry-After": "1"}
        return web.Response(status=503, headers=headers)

    async def completion(self, req):
        name = req.headers["X-Request-Id"]
        return web.Response(text=f'{{"id":"chatcmpl-{name}","choices":[]}}')

    async def half_completion(self, req):
        response = UnframedResponse()
        await response.prepare(req)
        name = req.headers["X-Request-Id"]
        await response.write(f'{{"id":"chatcmpl-{name}","choi'.encode())
        return response

    async def vanish(self, req):
        req.transport.abort()
        return web.Response()

    async def full(self, req):
        return web.Response(status=503, headers={"Retry-After": "1"})

    async def broken(self, req):
        return web.Response(status=500)


async def serve(stack, handler, path="/v1/chat/completions"):
    app = web.Application()
    app.router.add_route("*", path, handler)
    runner = web.AppRunner(app)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return f"127.0.0.1:{runner.addresses[0][1]}"


async def route_to(*engines, check=lambda: None, stream=True):
    """Send a request to a router with `engines` as replicas."""
    async with AsyncExitStack() as stack:
        addresses = {
            f"e{i}": await serve(stack, engine.on_chat)
            for i, engine in enumerate(engines)
        }
        session = await stack.enter_async_context(engine_session())
        clock = SystemClock()
        replicas = FakeReplicas(*(State(name) for name in addresses))
        load_tracker = LoadTracker(clock)
        selector = AffinitySelector(replicas, load_tracker, random.Random(1))
        decisions = DecisionLog()
        dispatcher = Dispatcher(
            replicas,
            selector,
            load_tracker,
            DemandMeter(clock),
            decisions,
            clock,
            FairQueue(),
            max_queue=9,
        )
        cfg = config_of(addresses)
        router = InferenceRouter(
            session,
            dispatcher,
            replicas,
            RetryBudget(random.Random(1)),
            decisions,
            lambda: cfg,
            clock,
        )
        req = request(customer("one"), arrived=clock.monotonic())
        sink = Sink()
        engine_req = EngineRequest(req, "/v1/chat/completions", b"{}", stream=stream)
        try:
            await router.route(engine_req, sink, Times(), check)
        finally:
            assert load_tracker.total == 0
        return sink


def numbers(sink):
    events = sink.body.split(b"\n\n")[:-1]
    return [int(event.split(b"\n")[0].removeprefix(b"id: ")) for event in events]


WHOLE = list(range(TOKENS + 1))


class TestWholeAnswers:
    """A caller receives each event of its answer exactly once, or a typed error."""

    async def test_cut_stream_is_resumed_at_the_offset_that_the_caller_has(self):
        engine = ScriptedEngine()
        engine.script = [engine.cut]
        sink = await route_to(engine)
        assert numbers(sink) == WHOLE
        assert engine.resumed_after == [None, "1"]

    async def test_stream_without_end_mark_is_resumed(self):
        engine = ScriptedEngine()
        engine.script = [engine.short]
        sink = await route_to(engine)
        assert numbers(sink) == WHOLE

    async def test_duplicate_events_are_relayed_once(self):
        engine = ScriptedEngine()
        engine.script = [engine.doubled]
        assert numbers(await route_to(engine)) == WHOLE

    async def test_events_of_another_request_are_dropped(self):
        engine = ScriptedEngine()
        engine.script = [engine.crossed]
        sink = await route_to(engine)
        assert numbers(sink) == WHOLE
        assert b"another" not in sink.body

    async def test_missing_event_is_fetched_by_resuming(self):
        engine = ScriptedEngine()
        engine.script = [engine.gap]
        assert numbers(await route_to(engine)) == WHOLE

    async def test_completion_that_ends_early_is_never_relayed(self):
        engine = ScriptedEngine()
        engine.script = [engine.half_completion, engine.completion]
        sink = await route_to(engine, stream=False)
        assert sink.body.endswith(b'"choices":[]}')
        assert len(engine.bodies) == 2

    async def test_answer_to_another_request_is_never_relayed(self):
        engine = ScriptedEngine()
        engine.script = [engine.other_request] * InferenceRouter.MAX_ATTEMPTS
        other = ScriptedEngine()
        other.script = [other.other_request] * InferenceRouter.MAX_ATTEMPTS
        with pytest.raises(BackendFailed):
            await route_to(engine, other)

    async def test_refusal_of_another_request_is_not_believed(self):
        engine = ScriptedEngine()
        engine.script = [engine.refusal_of_another] * InferenceRouter.MAX_ATTEMPTS
        with pytest.raises(BackendFailed) as caught:
            await route_to(engine)
        assert caught.value.not_run != "true"

    async def test_stream_that_cannot_be_completed_ends_with_a_typed_error(self):
        engine = ScriptedEngine()
        engine.script = [engine.cut, engine.broken, engine.broken, engine.broken]
        with pytest.raises((AnswerCut, BackendFailed)) as caught:
            await route_to(engine)
        assert caught.value.not_run != "true"

    async def test_request_that_two_engines_ended_on_does_not_reach_a_third(self):
        engines = [ScriptedEngine() for _ in range(4)]
        for engine in engines:
            engine.script = [engine.vanish] * InferenceRouter.MAX_ATTEMPTS
        with pytest.raises(BackendFailed, match="2 backend servers"):
            await route_to(*engines)
        assert sum(bool(engine.bodies) for engine in engines) == 2

    async def test_single_replica_that_answered_another_request_is_retried(self):
        engine = ScriptedEngine()
        engine.script = [engine.other_request]
        assert numbers(await route_to(engine)) == WHOLE

    async def test_stream_is_resumed_on_the_engine_that_keeps_it(self):
        engines = [ScriptedEngine() for _ in range(3)]
        for engine in engines:
            engine.script = [engine.cut, engine.cut]
        sink = await route_to(*engines)
        assert numbers(sink) == WHOLE
        assert sorted(len(engine.bodies) for engine in engines) == [0, 0, 3]


class TestRetries:
    """Requests that were not run are retried elsewhere, within the retry budget."""

    async def test_request_refused_by_a_full_engine_goes_to_another(self):
        first, second = ScriptedEngine(), ScriptedEngine()
        first.script = [first.full]
        second.script = [second.full]
        third = ScriptedEngine()
        assert numbers(await route_to(first, second, third)) == WHOLE

    async def test_request_that_an_engine_failed_with_500_is_not_retried(self):
        engine, other = ScriptedEngine(), ScriptedEngine()
        engine.script = [engine.broken]
        other.script = [other.broken]
        with pytest.raises(BackendFailed):
            await route_to(engine, other)
        assert len(engine.bodies) + len(other.bodies) == 1

    async def test_request_refused_by_all_engines_is_reported_as_not_run(self):
        engine = ScriptedEngine()
        engine.script = [engine.full] * 9
        with pytest.raises((NoReplica, BackendFailed, Overloaded)) as caught:
            await route_to(engine)
        assert caught.value.not_run == "true"
        assert caught.value.retry_after > 0

    async def test_refusal_after_an_unanswered_attempt_reports_not_run_unknown(
        self,
    ):
        engine = ScriptedEngine()
        engine.script = [engine.vanish] + [engine.full] * 9
        with pytest.raises((NoReplica, BackendFailed, Overloaded)) as caught:
            await route_to(engine)
        assert caught.value.not_run == "unknown"

    async def test_key_withdrawn_after_an_unanswered_attempt_reports_not_run_unknown(
        self,
    ):
        engine = ScriptedEngine()
        engine.script = [engine.vanish] * 9
        checks = iter([None])

        def check():
            for _ in checks:
                return
            raise KeyRefused("the key is not valid")

        with pytest.raises(KeyRefused) as caught:
            await route_to(engine, check=check)
        assert caught.value.not_run == "unknown"

    async def test_empty_budget_allows_no_retry(self):
        budget = RetryBudget(random.Random(1))
        assert sum(budget.try_withdraw() for _ in range(50)) == budget.MAX_BALANCE
        for _ in range(20):
            budget.deposit()
        assert sum(budget.try_withdraw() for _ in range(50)) == 2


async def call_service(handler, method, *, idempotent, replicas=1):
    async with AsyncExitStack() as stack:
        address = await serve(stack, handler, "/bookings")
        names = [f"s{i}" for i in range(replicas)]
        session = await stack.enter_async_context(single_send_session())
        router = service_router(session, dict.fromkeys(names, address))
        route = DESK._replace(idempotent=idempotent)
        for number in range(2):
            req = ServiceRequest(f"r{number}", method, "/bookings", {}, b"x")
            answer = await router.call(route, req, lambda: None)
        return answer


class TestServices:
    """A non-idempotent call is sent at most once, whatever its method."""

    @pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
    async def test_connection_closed_by_the_server_causes_no_second_send(self, method):
        seen = []

        async def handler(req):
            seen.append(req.headers["X-Request-Id"])
            if len(seen) > 1:
                req.transport.abort()
            return web.Response(text="booked")

        with pytest.raises(OutcomeUnknown) as caught:
            await call_service(handler, method, idempotent=False)
        assert seen == ["r0", "r1"]
        assert caught.value.not_run == "unknown"

    async def test_repeatable_call_is_sent_again(self):
        seen = []

        async def handler(req):
            seen.append(req.headers["X-Request-Id"])
            if len(seen) == 1:
                req.transport.abort()
            return web.Response(text="booked")

        answer = await call_service(handler, "GET", idempotent=True, replicas=2)
        assert answer.body == b"booked"
        assert seen == ["r0", "r0", "r1"]

    async def test_relayed_header_names_are_plain_strings(self):
        async def handler(req):
            return web.Response(text="booked", headers={"Location": "/bookings/7"})

        answer = await call_service(handler, "POST", idempotent=False)
        assert answer.headers["Location"] == "/bookings/7"
        assert {type(name) for name in answer.headers} == {str}

    async def test_answer_to_another_call_is_not_relayed(self):
        async def handler(req):
            return web.Response(text="x", headers={"X-Request-Id": "another"})

        with pytest.raises(OutcomeUnknown):
            await call_service(handler, "POST", idempotent=False)
