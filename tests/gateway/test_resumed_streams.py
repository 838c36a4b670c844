"""Tests of requests that resume a stream."""

from __future__ import annotations

import asyncio

import pytest

from fakes_clock import ManualClock
from fakes_gateway import (
    ENGINES,
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
    BackendFailed,
    NoReplica,
    RequestError,
    StreamNotResumable,
)
from guavajunction.gateway import (
    Framing,
    RequestKind,
    RouteTable,
    StreamBegan,
    StreamOrigin,
    StreamOrigins,
    WeightedService,
)

ORIGIN = StreamOrigin(ENGINES, "v1")
RESUME = {"resume_after": "3", "resumed_stream": "s1"}


def stream_routes(**changes):
    changes = {"resumable": True, "max_attempts": 2} | changes
    return catalogue(routes=(route("draft", RequestKind.STREAM, ENGINES, **changes),))


def fleet_of(*versions, document=None):
    """Return a gateway with an engine of each version; the last is the least loaded."""
    backends = [
        backend(f"e{n}", models=("m1",), software_version=version)
        for n, version in enumerate(versions)
    ]
    fleet = FakeGateway(*backends, document=document or stream_routes())
    for n, record in enumerate(backends):
        for _ in range(len(backends) - n):
            fleet.loads.begin(record.name, size())
    return fleet


HTML = (("Content-Type", "text/html"),)


class TestKindOfAnswer:
    """What is no stream of events is no success on a route of streams."""

    @pytest.mark.parametrize("headers", [HTML, ()], ids=["text/html", "no type"])
    async def test_other_kind_of_answer_is_never_relayed(self, headers):
        fleet = fleet_of("v1", document=stream_routes(max_attempts=1))
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        fleet.caller.script = [FakeAnswer(200, (b"<html>",), headers=headers)]
        sink = FakeSink()
        with pytest.raises(BackendFailed):
            await fleet.gateway.serve(request("/draft/1", **RESUME), sink)
        assert not sink.started

    async def test_resumed_stream_goes_on_at_another_backend_server(self):
        fleet = fleet_of("v1", "v1")
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        fleet.caller.script = [FakeAnswer(200, (b"<html>",), headers=HTML)]
        sink = await fleet.serve("/draft/1", **RESUME)
        assert sink.body == b"data: done\n\n"

    async def test_stream_that_cannot_be_resumed_is_sent_once(self):
        fleet = fleet_of("v1", "v1", document=stream_routes(resumable=False))
        fleet.caller.script = [FakeAnswer(200, (b"<html>",), headers=HTML)]
        with pytest.raises(RequestError):
            await fleet.serve("/draft/1")
        assert len(fleet.caller.sent) == 1


class TestExpectedOutput:
    """A take-up that waits is refused only if it is not expected to end in time.

    Guards against take-ups that are refused by the largest output of their stream.
    """

    WHOLE_SECONDS = 4.0

    async def take_up(self, *, seconds_left, seen):
        """Take up a stream whose model must be loaded for 0.6 s; return its answer."""
        fleet = FakeGateway(backend("e1", in_memory={"m1"}), document=stream_routes())
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        if seen:
            fleet.queue.stream_times.note(ENGINES, self.WHOLE_SECONDS)
        req = request(
            "/draft/1",
            at=fleet.clock.monotonic(),
            size=size(output=600, prompt=100),
            seconds=seconds_left,
            **RESUME,
        )
        sink = FakeSink()
        task = asyncio.ensure_future(fleet.gateway.serve(req, sink))
        await asyncio.sleep(0)
        fleet.registry.put(backend("e1", models=["m1"]))
        fleet.queue.schedule_dispatch()
        await task
        return sink

    async def test_usual_stream_would_end_in_time(self):
        assert (await self.take_up(seconds_left=7.0, seen=True)).finished

    async def test_usual_stream_would_end_late(self):
        with pytest.raises(NoReplica):
            await self.take_up(seconds_left=4.0, seen=True)

    async def test_largest_output_counts_while_nothing_is_known(self):
        with pytest.raises(NoReplica):
            await self.take_up(seconds_left=7.0, seen=False)


class TestVersions:
    """A stream goes on only at a backend server of the version that began it."""

    async def test_resumed_stream_goes_to_the_version_that_began_it(self):
        fleet = fleet_of("v1", "v2", "v2")
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        await fleet.serve("/draft/1", **RESUME)
        assert [sent.backend for sent in fleet.caller.sent] == ["e0"]

    async def test_new_stream_may_go_to_any_version(self):
        fleet = fleet_of("v1", "v2")
        await fleet.serve("/draft/1")
        assert [sent.backend for sent in fleet.caller.sent] == ["e1"]

    async def test_origin_is_recorded_before_the_answer_is_relayed(self):
        fleet = fleet_of("v1", "v2")
        fleet.caller.script = [fake_stream(cut=True, framing=Framing.CHUNKS)]
        with pytest.raises(Exception, match="cut"):
            await fleet.serve("/draft/1", request_id="s1")
        assert fleet.streams.get("s1") == StreamOrigin(ENGINES, "v2")

    async def test_model_of_a_refused_stream_is_wanted_until_its_caller_is_back(self):
        fleet = fleet_of("v1", "v2")
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        with pytest.raises(NoReplica):
            await fleet.serve("/draft/1", size=size("m2"), seconds=1.0, **RESUME)
        assert fleet.queue.waiting_by_version() == {"v1": {"m2": 1}}
        fleet.clock.advance(fleet.queue.REFUSED_MODEL_SECONDS + 0.1)
        assert not fleet.queue.waiting_by_version()

    async def test_retry_of_a_resumed_stream_stays_with_its_version(self):
        fleet = fleet_of("v1", "v2", "v1")
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        fleet.caller.script = [FakeAnswer(status=503, not_run=True)]
        await fleet.serve("/draft/1", **RESUME)
        assert [sent.backend for sent in fleet.caller.sent] == ["e2", "e0"]

    async def test_split_route_resumes_at_the_service_that_began_the_stream(self):
        split = (WeightedService("other", 99.0), WeightedService(ENGINES, 1.0))
        document = stream_routes(services=split)
        services = document.services | {
            "other": document.services[ENGINES]._replace(name="other")
        }
        fleet = fleet_of("v1", document=document._replace(services=services))
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        for _ in range(5):
            await fleet.serve("/draft/1", **RESUME)
        assert {sent.backend for sent in fleet.caller.sent} == {"e0"}

    async def test_unnamed_stream_goes_on_if_there_was_one_version_only(self):
        fleet = fleet_of("v1", "v1")
        await fleet.serve("/draft/1", resume_after="3")
        assert len(fleet.caller.sent) == 1


class TestRefusals:
    """A stream that cannot go on is refused at once, without being run."""

    async def test_stream_that_no_instance_knows_is_refused(self):
        fleet = fleet_of("v1")
        with pytest.raises(StreamNotResumable) as caught:
            await fleet.serve("/draft/1", **RESUME)
        assert (caught.value.STATUS, caught.value.not_run) == (503, "true")
        assert not fleet.caller.sent

    async def test_request_that_names_no_stream_is_refused_among_versions(self):
        fleet = fleet_of("v1", "v2")
        fleet.registry.drop("e0")
        with pytest.raises(StreamNotResumable):
            await fleet.serve("/draft/1", resume_after="3")
        assert not fleet.caller.sent

    async def test_stream_whose_version_is_gone_is_refused_without_a_delay(self):
        fleet = fleet_of("v2")
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        with pytest.raises(StreamNotResumable) as caught:
            await fleet.serve("/draft/1", **RESUME)
        assert caught.value.retry_after is None

    async def test_stream_whose_version_is_unreachable_may_be_retried(self):
        fleet = fleet_of("v1", "v2")
        fleet.streams.note(StreamBegan("s1", ORIGIN))
        fleet.registry.note_unreachable(fleet.registry.get("e0"))
        with pytest.raises(NoReplica) as caught:
            await fleet.serve("/draft/1", seconds=1.0, **RESUME)
        assert caught.value.retry_after

    async def test_stream_whose_service_left_the_route_is_refused(self):
        fleet = fleet_of("v1")
        fleet.streams.note(StreamBegan("s1", StreamOrigin("previous", "v1")))
        with pytest.raises(StreamNotResumable):
            await fleet.serve("/draft/1", **RESUME)

    async def test_configuration_may_change_while_peers_are_asked(self):
        fleet = fleet_of("v1")
        newer = catalogue(
            version=2, routes=(route("draft", RequestKind.STREAM, "next"),), services={}
        )

        async def ask(_):
            fleet.gateway.configure(RouteTable(newer))
            return ORIGIN

        fleet.streams.ask_peers = ask
        with pytest.raises(StreamNotResumable):
            await fleet.serve("/draft/1", **RESUME)


class TestOrigins:
    """Origins are kept for as long as a stream can be resumed, and within bounds."""

    def test_first_report_stands(self):
        origins = StreamOrigins(ManualClock())
        origins.note(StreamBegan("s1", ORIGIN))
        origins.note(StreamBegan("s1", StreamOrigin(ENGINES, "v2")))
        assert origins.get("s1") == ORIGIN

    def test_old_origins_are_removed(self):
        clock = ManualClock()
        origins = StreamOrigins(clock)
        origins.note(StreamBegan("s1", ORIGIN))
        clock.advance(StreamOrigins.KEEP_SECONDS + 1)
        origins.note(StreamBegan("s2", ORIGIN))
        assert origins.get("s1") is None
        assert len(origins) == 1

    def test_number_of_origins_is_limited(self, monkeypatch):
        monkeypatch.setattr(StreamOrigins, "MAX_STREAMS", 10)
        origins = StreamOrigins(ManualClock())
        for n in range(30):
            origins.note(StreamBegan(f"s{n}", ORIGIN))
        assert len(origins) == 10
        assert origins.get("s29") == ORIGIN
