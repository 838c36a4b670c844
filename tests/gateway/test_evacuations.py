"""Tests that requests stay away from evacuated data centres."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import BOOKINGS, ENGINES, FakeAnswer, FakeGateway, backend, size
from guavajunction.errors import NoReplica
from guavajunction.gateway import StreamBegan, StreamOrigin

PLAIN = (backend("b1", BOOKINGS), backend("b2", BOOKINGS, data_centre="z"))


def fleet_of(*backends):
    fleet = FakeGateway(*backends)
    fleet.registry.evacuations.on_changed = fleet.queue.schedule_dispatch
    return fleet


def sent_to(fleet):
    return [sent.backend for sent in fleet.caller.sent]


class TestRegistry:
    """The servers of an evacuated data centre are known, but take nothing."""

    def test_they_are_left_out_until_the_evacuation_ends(self):
        registry = fleet_of(*PLAIN).registry
        for evacuate, names in (
            (registry.evacuations.begin, ["b1"]),
            (registry.evacuations.end, ["b1", "b2"]),
        ):
            evacuate("z")
            for found in (
                registry.of_service(BOOKINGS),
                registry.responsive(BOOKINGS),
                registry.reachable(BOOKINGS),
                registry.outside_evacuations(),
            ):
                assert [record.name for record in found] == names
            assert registry.takes_requests("b2") is ("b2" in names)
        assert len(list(registry.records())) == len(PLAIN)

    def test_server_that_starts_there_takes_nothing(self):
        registry = fleet_of(*PLAIN).registry
        registry.evacuations.begin("z")
        registry.put(backend("b3", BOOKINGS, data_centre="z", incarnation=2))
        assert not registry.takes_requests("b3")


class TestRequests:
    """First sends and retries go elsewhere, wait, or are refused as not run."""

    async def test_retry_goes_to_no_evacuated_server(self):
        fleet = fleet_of(*PLAIN, backend("b3", BOOKINGS))
        fleet.registry.evacuations.begin("z")
        fleet.caller.script = [FakeAnswer(500) for _ in range(3)]
        for _ in range(8):
            await fleet.serve("/look/1")
        assert "b2" not in sent_to(fleet)
        assert len(set(sent_to(fleet))) == 2

    async def test_request_without_a_server_is_refused_as_not_run(self):
        fleet = fleet_of(*PLAIN)
        fleet.registry.evacuations.replace_all(["a", "z"])
        with pytest.raises(NoReplica) as caught:
            await fleet.serve("/book/1", seconds=1.0)
        assert caught.value.not_run == "true"
        assert caught.value.retry_after
        assert not fleet.caller.sent

    async def test_waiting_request_is_sent_at_once_when_the_evacuation_ends(self):
        fleet = fleet_of(*PLAIN)
        fleet.registry.evacuations.replace_all(["a", "z"])
        waiting = asyncio.ensure_future(fleet.serve("/book/1"))
        await asyncio.sleep(0)
        assert not fleet.caller.sent
        fleet.registry.evacuations.end("z")
        assert (await asyncio.wait_for(waiting, 1.0)).finished
        assert sent_to(fleet) == ["b2"]

    async def test_model_that_only_evacuated_servers_hold_is_wanted_elsewhere(self):
        fleet = fleet_of(
            backend("e1", models=("m1",), data_centre="z"),
            backend("e2", in_memory=frozenset({"m1"})),
        )
        fleet.registry.evacuations.begin("z")
        waiting = asyncio.ensure_future(fleet.serve("/draft/1", size=size()))
        await asyncio.sleep(0)
        assert fleet.queue.waiting_by_model() == {"m1": 1}
        waiting.cancel()

    async def test_resumed_stream_of_an_evacuated_version_may_be_tried_again(self):
        """Guards against giving up a stream whose servers are only evacuated."""
        fleet = fleet_of(
            backend("e1", models=("m1",), data_centre="z", software_version="v1"),
            backend("e2", models=("m1",), software_version="v2"),
        )
        fleet.streams.note(StreamBegan("s1", StreamOrigin(ENGINES, "v1")))
        fleet.registry.evacuations.begin("z")
        with pytest.raises(NoReplica) as caught:
            await fleet.serve(
                "/draft/1",
                size=size(),
                seconds=1.0,
                resume_after="3",
                resumed_stream="s1",
            )
        assert caught.value.retry_after
        assert not fleet.caller.sent
