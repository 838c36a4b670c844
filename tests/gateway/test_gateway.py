"""Tests of the gateway: admission, retries and queueing of requests."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fakes_clock import QuickClock
from fakes_gateway import (
    BOOKINGS,
    FakeAnswer,
    FakeGateway,
    FakeSink,
    backend,
    catalogue,
    fake_stream,
    request,
    route,
    size,
)
from guavajunction.errors import (
    AnswerCut,
    BackendRefused,
    InstanceNotReady,
    KeyRefused,
    NoReplica,
    NotSent,
    OutcomeUnknown,
    Overloaded,
    UnknownRoute,
)
from guavajunction.gateway import Framing, Gateway, RequestKind, RouteTable

ENGINES = (backend("e1", models=("m1",)),)
PLAIN = (backend("b1", BOOKINGS), backend("b2", BOOKINGS))


def event_stream(chunks, framing):
    return FakeAnswer(
        chunks=chunks, framing=framing, headers=(("Content-Type", "text/event-stream"),)
    )


class TestAdmission:
    """Routes, keys and time limits of the active configuration are enforced."""

    async def test_answer_is_relayed_for_the_customer_of_the_key(self):
        fleet = FakeGateway(*PLAIN)
        sink = await fleet.serve("/book/1")
        assert (sink.body, sink.finished) == (b"done", True)
        assert fleet.caller.sent[0].customer == "atelier"

    async def test_unknown_key_and_route_never_reach_a_backend_server(self):
        fleet = FakeGateway(*PLAIN)
        with pytest.raises(KeyRefused):
            await fleet.serve("/book/1", key="unknown")
        with pytest.raises(UnknownRoute):
            await fleet.serve("/nowhere/1")
        assert not fleet.caller.sent

    async def test_longest_prefix_wins(self):
        longer = route("book/urgent", RequestKind.SAFE, BOOKINGS)
        table = RouteTable(catalogue(routes=(*catalogue().routes, longer)))
        assert table.find("HERE.example", "/book/urgent/1").name == "book/urgent"
        assert table.find("here.example", "/book/urgently").name == "book"

    async def test_older_configuration_never_replaces_a_newer_one(self):
        fleet = FakeGateway(*PLAIN, document=catalogue(version=7))
        fleet.gateway.configure(RouteTable(catalogue(version=5, customers=())))
        assert fleet.gateway.routes.catalogue.version == 7

    async def test_without_configuration_requests_may_be_retried_later(self):
        fleet = FakeGateway(*PLAIN)
        fleet.gateway._routes = None
        with pytest.raises(InstanceNotReady) as caught:
            await fleet.serve("/book/1")
        assert caught.value.STATUS == 503
        assert caught.value.retry_after

    async def test_route_timeout_bounds_the_time_sent_to_backend_servers(self):
        document = catalogue(
            routes=(route("book", RequestKind.UNSAFE, BOOKINGS, timeout_seconds=0.8),)
        )
        fleet = FakeGateway(*PLAIN, document=document)
        await fleet.serve("/book/1", seconds=5.0)
        assert fleet.caller.sent[0].seconds_left == pytest.approx(0.8)


class TestRetries:
    """Which requests are retried, and which errors are returned if not."""

    async def test_unsafe_request_that_may_have_run_is_not_retried(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [OutcomeUnknown("no answer")]
        with pytest.raises(OutcomeUnknown) as caught:
            await fleet.serve("/book/1")
        assert caught.value.STATUS == 504
        assert len(fleet.caller.sent) == 1

    async def test_unsafe_request_that_was_not_sent_is_retried_elsewhere(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [NotSent("refused")]
        sink = await fleet.serve("/book/1")
        assert sink.finished
        assert len({sent.backend for sent in fleet.caller.sent}) == 2

    async def test_refusal_of_a_backend_server_is_reported_as_not_run(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [FakeAnswer(503, not_run=True)] * 9
        with pytest.raises(BackendRefused) as caught:
            await fleet.serve("/book/1")
        assert caught.value.STATUS == 503
        assert caught.value.not_run == "true"

    async def test_retries_after_the_last_attempt_use_the_same_backend_server(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [FakeAnswer(503, not_run=True)] * 9
        with pytest.raises(BackendRefused):
            await fleet.serve("/book/1")
        assert len({sent.backend for sent in fleet.caller.sent}) == 1

    async def test_request_is_sent_again_until_its_adapter_has_loaded(self):
        fleet = FakeGateway(backend("e1", models=("m1",)), clock=QuickClock())
        fleet.registry.MISSING_SECONDS = 0.0
        fleet.caller.script = [FakeAnswer(421)] * 3
        sink = await fleet.serve("/draft/1")
        assert sink.finished
        assert len(fleet.caller.sent) == 4

    @pytest.mark.parametrize(
        "failure",
        [OutcomeUnknown("no answer"), FakeAnswer(500)],
        ids=["unknown", "500"],
    )
    async def test_refusal_after_an_attempt_that_may_have_run_promises_nothing(
        self, failure
    ):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [failure, *[FakeAnswer(503, not_run=True)] * 9]
        with pytest.raises(OutcomeUnknown) as caught:
            await fleet.serve("/look/1")
        assert caught.value.STATUS == 504

    async def test_server_that_another_one_replaced_does_not_use_up_attempts(self):
        fleet = FakeGateway(*PLAIN)
        gone = FakeAnswer(421, answered_by="b9")
        fleet.caller.script = [gone]
        sink = await fleet.serve("/book/1")
        assert sink.finished
        first, second = (sent.backend for sent in fleet.caller.sent)
        assert first != second
        record = fleet.registry.get(first)
        assert not fleet.registry.takes_requests(first)
        fleet.registry.put(record._replace(report_number=record.report_number + 1))
        assert fleet.registry.takes_requests(first)

    async def test_safe_request_is_retried_once_and_its_last_failure_returned(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [FakeAnswer(500, (b"one",)), FakeAnswer(500, (b"two",))]
        sink = await fleet.serve("/look/1")
        assert (sink.head.status, sink.body) == (500, b"two")

    async def test_failure_of_an_unsafe_request_is_relayed_as_the_answer(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [FakeAnswer(500, (b"ran badly",))]
        sink = await fleet.serve("/book/1")
        assert (sink.head.status, sink.body) == (500, b"ran badly")

    async def test_request_without_a_reachable_backend_server_is_refused(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [NotSent("refused")] * 9
        with pytest.raises((Overloaded, NoReplica)) as caught:
            await fleet.serve("/book/1", seconds=1.0)
        assert caught.value.STATUS == 503

    async def test_cut_answer_is_never_finished(self):
        fleet = FakeGateway(backend("e1", models=["m1"]))
        fleet.caller.script = [fake_stream((b"a",), cut=True)]
        sink = FakeSink()
        with pytest.raises(AnswerCut):
            await fleet.gateway.serve(request(at=1000.0), sink)
        assert sink.aborted
        assert not sink.finished

    async def test_load_is_released_however_a_request_ends(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [FakeAnswer(), OutcomeUnknown("x"), NotSent("y")]
        await fleet.serve("/book/1")
        with pytest.raises(OutcomeUnknown):
            await fleet.serve("/book/2")
        await fleet.serve("/book/3")
        assert [fleet.loads.of(b.name).running for b in PLAIN] == [0, 0]


class TestStreamEnds:
    """A stream is complete only if its last byte ends an event."""

    @pytest.mark.parametrize(
        "chunks",
        [
            (b"id: 1\ndata: a\n\nid: 2\nda",),
            (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n"),
            (b"id: 1\r\ndata: a\r\n\r\n", b"id: 2\r\ndata: b\r\n"),
            (b"id: 1\ndata: a\n\n", b":"),
        ],
    )
    @pytest.mark.parametrize("framing", [Framing.CONNECTION, Framing.CHUNKS])
    async def test_stream_that_ends_inside_an_event_is_never_finished(
        self, chunks, framing
    ):
        fleet = FakeGateway(*ENGINES)
        fleet.caller.script = [event_stream(chunks, framing)]
        sink = FakeSink()
        with pytest.raises(AnswerCut):
            await fleet.gateway.serve(request("/draft/1"), sink)
        assert (sink.finished, sink.aborted) == (False, True)

    @pytest.mark.parametrize(
        "chunks",
        [
            (b"id: 1\ndata: a\n\n",),
            (b"id: 1\ndata: a\n", b"\n"),
            (b"id: 1\r\ndata: a\r", b"\n\r", b"\n"),
            (b"data: a\r\r",),
            (b"data: a\n\n\n",),
            (),
        ],
    )
    async def test_stream_of_whole_events_is_finished(self, chunks):
        fleet = FakeGateway(*ENGINES)
        fleet.caller.script = [event_stream(chunks, Framing.CONNECTION)]
        sink = await fleet.serve("/draft/1")
        assert (sink.finished, sink.body) == (True, b"".join(chunks))

    async def test_endless_event_is_cut_off(self):
        fleet = FakeGateway(*ENGINES)
        chunks = itertools.chain((b"data: ",), itertools.repeat(b"x" * 4096))
        fleet.caller.script = [event_stream(chunks, Framing.CONNECTION)]
        sink = FakeSink()
        with pytest.raises(AnswerCut):
            await fleet.gateway.serve(request("/draft/1"), sink)
        assert sink.aborted
        assert len(sink.body) <= Gateway.MAX_EVENT_BYTES

    async def test_body_that_is_no_stream_may_end_anywhere(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [FakeAnswer(chunks=(b"half",))]
        assert (await fleet.serve("/book/1")).finished


class TestQueueing:
    """Requests wait for slots and models unless they would miss their deadline."""

    async def test_request_waits_for_a_full_backend_server(self):
        fleet = FakeGateway(backend("e1", models=["m1"], slots=1))
        filler = SlotFiller(fleet)
        await filler.fill()
        late = asyncio.create_task(fleet.serve("/draft/late"))
        await asyncio.sleep(0)
        assert len(fleet.queue) == 1
        filler.release_one()
        assert (await asyncio.wait_for(late, 1)).finished

    async def test_plain_request_that_a_long_run_would_outlast_is_refused(self):
        fleet = FakeGateway(backend("b1", BOOKINGS, slots=1))
        for seconds in (0.15, 0.3) * 10:
            fleet.queue.run_times.note(BOOKINGS, seconds)
        early = fleet.clock.monotonic()
        fleet.clock.advance(1.25)
        late = request("/book/1", at=early, seconds=1.5)
        with pytest.raises(Overloaded):
            await fleet.gateway.serve(late, FakeSink())
        assert not fleet.caller.sent

    async def test_generation_is_sent_at_once_though_its_maximum_would_end_late(self):
        fleet = FakeGateway(*ENGINES)
        sink = await fleet.serve("/draft/1", size=size(output=900), seconds=3.0)
        assert sink.finished

    async def test_run_times_are_forgotten_where_nothing_is_sent(self):
        fleet = FakeGateway(backend("b1", BOOKINGS, slots=1))
        fleet.queue.run_times.note(BOOKINGS, 2.0)
        with pytest.raises(Overloaded):
            await fleet.serve("/book/1", seconds=1.0)
        fleet.clock.advance(fleet.queue.run_times.FORGET_SECONDS + 0.1)
        assert (await fleet.serve("/book/1", seconds=1.0)).finished

    async def test_cancelled_request_leaves_the_queue(self):
        fleet = FakeGateway(backend("e1", models=["m1"], slots=1))
        await SlotFiller(fleet).fill()
        task = asyncio.create_task(fleet.serve("/draft/late"))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert len(fleet.queue) == 0

    async def test_request_is_refused_if_its_model_loads_too_late(self):
        fleet = FakeGateway(backend("e1", models=["m1"]))
        with pytest.raises(NoReplica) as caught:
            await fleet.serve("/draft/x", size=size("m2"))
        assert caught.value.retry_after >= 8.0

    async def test_request_waits_for_a_model_with_local_weights(self):
        holder = backend("e1", models=["m1"])
        fleet = FakeGateway(holder._replace(in_memory=frozenset({"m1", "m2"})))
        task = asyncio.create_task(fleet.serve("/draft/x", size=size("m2")))
        await asyncio.sleep(0)
        assert fleet.queue.waiting_by_model() == {"m2": 1}
        fleet.registry.put(backend("e1", models=["m1", "m2"]))
        fleet.queue.schedule_dispatch()
        assert (await asyncio.wait_for(task, 1)).finished

    async def test_missing_adapter_is_requested(self):
        fleet = FakeGateway(backend("e1", models=["m1"]))
        requested = []
        fleet.queue.on_adapter_wanted = lambda size, service, _: requested.append(
            (size.artifact, service)
        )
        task = asyncio.create_task(fleet.serve("/draft/x", size=size("m1", "a1")))
        await asyncio.sleep(0)
        assert requested == [("m1/a1", "engines")]
        held = backend("e1")._replace(models={"m1": frozenset({"a1"})})
        fleet.registry.put(held)
        fleet.queue.schedule_dispatch()
        assert (await asyncio.wait_for(task, 1)).finished

    async def test_draining_backend_server_gets_no_new_requests(self):
        fleet = FakeGateway(*PLAIN)
        fleet.registry.put(PLAIN[0]._replace(draining=True))
        for _ in range(4):
            await fleet.serve("/book/1")
        assert {sent.backend for sent in fleet.caller.sent} == {"b2"}

    async def test_stopping_instance_refuses_requests_that_end_too_late(self):
        fleet = FakeGateway(backend("e1", models=["m1"], slots=1))
        await SlotFiller(fleet).fill()
        task = asyncio.create_task(fleet.serve("/draft/x"))
        await asyncio.sleep(0)
        fleet.queue.stops_at = fleet.clock.monotonic() + 0.1
        fleet.queue.schedule_dispatch()
        with pytest.raises(InstanceNotReady) as caught:
            await asyncio.wait_for(task, 1)
        assert caught.value.retry_after < 0.1


class SlotFiller:
    """Occupies all slots of the only backend server."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._backend = next(iter(fleet.registry.records()))

    async def fill(self):
        for _ in range(self._backend.slots + self._fleet.queue.ENGINE_QUEUE_SLOTS):
            self._fleet.loads.begin(self._backend.name, size())

    def release_one(self):
        self._fleet.queue.release(request(), self._backend, prompt_pending=True)
