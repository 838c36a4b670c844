"""Tests of the gateway's conduct towards servers that leave, or want a pause."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import BOOKINGS, FakeAnswer, FakeGateway, backend, size
from guavajunction.errors import BackendRefused, NoReplica, Overloaded
from guavajunction.gateway import AnswerHead, Framing

PLAIN = (backend("b1", BOOKINGS), backend("b2", BOOKINGS))


class Saying(FakeAnswer):
    """An answer with a statement of its backend server."""

    def __init__(self, status=200, **statement):
        super().__init__(status)
        not_run = status == 503
        self.head = AnswerHead(
            status, "", (), not_run, False, Framing.LENGTH, **statement
        )


def sent_to(fleet):
    return [sent.backend for sent in fleet.caller.sent]


class TestLeaving:
    """A backend server that leaves gets nothing more."""

    async def test_answer_is_relayed_and_the_next_request_goes_elsewhere(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [Saying(leaving=True)]
        assert (await fleet.serve("/book/1")).finished
        for _ in range(5):
            await fleet.serve("/book/1")
        first, *later = sent_to(fleet)
        assert first not in later

    async def test_request_that_waits_for_a_leaving_server_is_refused(self):
        fleet = FakeGateway(backend("e1", models=("m1",)))
        fleet.registry.statements.note_leaving([backend("e1").identity])
        with pytest.raises(NoReplica):
            await fleet.serve("/draft/1", size=size(), seconds=1.0)
        assert not fleet.caller.sent

    async def test_retry_does_not_return_to_a_server_that_leaves(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [Saying(503, leaving=True)]
        await fleet.serve("/look/1")
        assert len(set(sent_to(fleet))) == 2

    async def test_request_with_no_attempt_left_does_not_wait_for_a_leaving_server(
        self,
    ):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [Saying(503, leaving=True)]
        with pytest.raises(BackendRefused) as caught:
            await asyncio.wait_for(fleet.serve("/book/1"), 1.0)
        assert caught.value.not_run == "true"
        assert len(fleet.caller.sent) == 1


class TestPause:
    """A server that named a time gets nothing before its end."""

    async def test_request_goes_to_another_server(self):
        fleet = FakeGateway(*PLAIN)
        fleet.caller.script = [Saying(503, pause="3")]
        for _ in range(4):
            await fleet.serve("/look/1")
        first, *later = sent_to(fleet)
        assert first not in later

    async def test_request_waits_for_a_short_pause_of_all_servers(self):
        fleet = FakeGateway(*PLAIN)
        for record in PLAIN:
            fleet.registry.statements.note_pause(record.identity, "0.5")
        waiting = asyncio.ensure_future(fleet.serve("/book/1"))
        await asyncio.sleep(0)
        assert not fleet.caller.sent
        fleet.clock.advance(0.6)
        fleet.queue.schedule_dispatch()
        assert (await asyncio.wait_for(waiting, 1.0)).finished

    async def test_request_that_cannot_wait_is_refused_with_the_time_left(self):
        fleet = FakeGateway(*PLAIN)
        fleet.registry.statements.note_pause(PLAIN[0].identity, "60")
        fleet.registry.statements.note_pause(PLAIN[1].identity, "20")
        with pytest.raises(Overloaded) as caught:
            await fleet.serve("/book/1", seconds=2.0)
        assert caught.value.retry_after == pytest.approx(20.0)
        assert not fleet.caller.sent

    async def test_pause_of_the_only_holder_asks_for_no_load_of_its_model(self):
        fleet = FakeGateway(backend("e1", models=("m1",)), backend("e2"))
        fleet.registry.statements.note_pause(backend("e1").identity, "0.5")
        waiting = asyncio.ensure_future(fleet.serve("/draft/1", size=size()))
        await asyncio.sleep(0)
        assert fleet.queue.waiting_by_model() == {}
        fleet.clock.advance(0.6)
        fleet.queue.schedule_dispatch()
        assert (await asyncio.wait_for(waiting, 1.0)).finished
