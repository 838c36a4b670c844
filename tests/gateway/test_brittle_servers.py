"""Tests of requests to backend servers that bear only a few rejections."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import BOOKINGS, FakeAnswer, FakeGateway, backend
from guavajunction.errors import Overloaded
from guavajunction.gateway import AnswerHead, Framing
from platform_calls import wait_until

PATIENCE_SECONDS = 2.0
"""Time after which a request counts as not served."""

BRITTLE = backend("b1", service=BOOKINGS)
OTHER = backend("b2", service=BOOKINGS)


def answer(bears, status=200, *, not_run=False):
    reply = FakeAnswer()
    reply.head = AnswerHead(
        status, "", (), not_run, False, Framing.LENGTH, bears_rejections=bears
    )
    return reply


class Fleet:
    """A gateway whose questions for places are answered at once, or never."""

    def __init__(self, *backends, granted=True):
        self.gateway = FakeGateway(*backends)
        self.places = self.gateway.places
        self.asked = []
        self.given_back = []
        self.granted = granted
        self.places.ask = self.ask
        self.places.give_back = lambda *given: self.given_back.append(given)
        queue = self.gateway.queue
        self.places.on_granted = queue.use_place
        self.places.on_refused = queue.schedule_dispatch

    def ask(self, number, question):
        self.asked.append(question.backend.name)
        if self.granted:
            self.places.on_answer(question.backend, number, True)

    async def serve(self, *script, **changes):
        self.gateway.caller.script = list(script)
        async with asyncio.timeout(PATIENCE_SECONDS):
            await self.gateway.serve(**changes)

    @property
    def used(self):
        return [sent.backend for sent in self.gateway.caller.sent]


class TestStatements:
    """Answers tell how many rejections a backend server bears."""

    @pytest.mark.parametrize("bears", ["0", "2", "0.5", "999999999999"])
    async def test_stated_number_makes_a_server_brittle(self, bears):
        fleet = Fleet(BRITTLE)
        await fleet.serve(answer(bears))
        assert fleet.places.is_brittle(BRITTLE)

    @pytest.mark.parametrize("bears", ["", "-1", "nan", "1e9", "1, 2", "9" * 99])
    async def test_malformed_number_changes_nothing(self, bears):
        fleet = Fleet(BRITTLE)
        await fleet.serve(answer(bears))
        assert not fleet.places.is_brittle(BRITTLE)
        await fleet.serve(answer("2"))
        await fleet.serve(answer(bears))
        assert fleet.places.is_brittle(BRITTLE)

    async def test_servers_of_the_service_are_brittle_until_they_answer_otherwise(self):
        fleet = Fleet(BRITTLE, OTHER)
        await fleet.serve(answer("2"))
        assert fleet.places.is_brittle(OTHER)
        fleet.places.note_answer(OTHER, None, fleet.places.book.of(OTHER.identity))
        assert not fleet.places.is_brittle(OTHER)

    async def test_answer_without_a_number_ends_it(self):
        fleet = Fleet(BRITTLE)
        await fleet.serve(answer("2"))
        await fleet.serve(answer(None))
        fleet.places.refresh([BRITTLE])
        assert not fleet.places.any_brittle

    async def test_restarted_server_is_brittle_while_others_say_so(self):
        fleet = Fleet(BRITTLE, OTHER)
        await fleet.serve(answer("2"))
        restarted = OTHER._replace(incarnation=2)
        fleet.places.refresh([BRITTLE, restarted])
        assert fleet.places.is_brittle(restarted)


class TestGrantedAtOnce:
    """An instance that hands places out itself gets them without waiting."""

    async def test_places_granted_at_once_are_used_one_after_the_other(self):
        fleet = Fleet(BRITTLE, granted=False)
        await fleet.serve(answer("2"))
        fleet.gateway.caller.script = [answer("2")] * 3
        tasks = [asyncio.ensure_future(fleet.gateway.serve()) for _ in range(3)]
        await wait_until(lambda: fleet.asked)
        fleet.granted = True
        fleet.places.on_answer(BRITTLE.identity, 1, True)
        async with asyncio.timeout(PATIENCE_SECONDS):
            await asyncio.gather(*tasks)
        assert len(fleet.asked) < 10


class TestWaits:
    """The rate of places is that of waits that go on."""

    async def test_idle_time_does_not_count_as_a_wait_for_a_place(self):
        fleet = Fleet(BRITTLE, granted=False)
        await fleet.serve(answer("2"))
        clock, places = fleet.gateway.clock, fleet.places
        ask = {"run_seconds": 0.03, "longest_seconds": 1.0}
        places.ask_to_send(BRITTLE, "r1", **ask)
        clock.advance(0.5)
        places.on_answer(BRITTLE.identity, 1, False)
        clock.advance(60.0)
        places.ask_to_send(BRITTLE, "r2", **ask)
        clock.advance(0.2)
        assert places.rate({BRITTLE.identity}) == pytest.approx(5.0)

    async def test_wait_goes_on_over_several_questions(self):
        fleet = Fleet(BRITTLE, granted=False)
        await fleet.serve(answer("2"))
        clock, places = fleet.gateway.clock, fleet.places
        ask = {"run_seconds": 0.03, "longest_seconds": 1.0}
        for number in range(1, 4):
            places.ask_to_send(BRITTLE, f"r{number}", **ask)
            clock.advance(0.5)
            places.on_answer(BRITTLE.identity, number, False)
        places.ask_to_send(BRITTLE, "r4", **ask)
        clock.advance(0.5)
        assert places.rate({BRITTLE.identity}) == pytest.approx(0.5)


class TestPlaces:
    """A request goes to a brittle backend server only with a place."""

    async def test_place_is_asked_for_and_given_back(self):
        fleet = Fleet(BRITTLE)
        await fleet.serve(answer("2"))
        assert not fleet.asked
        await fleet.serve(answer("2"))
        assert fleet.asked == ["b1"]
        assert fleet.given_back == [(BRITTLE.identity, 1, False, 0.0)]

    async def test_rejection_is_reported_with_the_place(self):
        fleet = Fleet(BRITTLE)
        await fleet.serve(answer("2"))
        await fleet.serve(answer("2", 503, not_run=True), answer("2"))
        assert [given[2] for given in fleet.given_back] == [True, False]

    async def test_rejection_without_a_place_is_reported(self):
        fleet = Fleet(BRITTLE)
        await fleet.serve(answer("2", 503, not_run=True), answer("2"))
        assert fleet.given_back[0] == (BRITTLE.identity, 0, True, 0.0)

    async def test_request_without_a_place_is_refused_before_its_deadline(self):
        fleet = Fleet(BRITTLE, granted=False)
        await fleet.serve(answer("2"))
        fleet.gateway.clock.advance(1.0)
        with pytest.raises(Overloaded):
            await fleet.serve(seconds=0.02)
        assert fleet.used == ["b1"]

    async def test_request_that_was_rejected_takes_a_place_that_comes_later(self):
        fleet = Fleet(BRITTLE, granted=False)
        await fleet.serve(answer("2"))
        served = fleet.serve(answer("2", 503, not_run=True), answer("2"))
        task = asyncio.ensure_future(served)
        for number in (1, 2):
            await wait_until(lambda number=number: len(fleet.asked) == number)
            fleet.places.on_answer(BRITTLE.identity, number, True)
        await task
        assert fleet.used == ["b1", "b1", "b1"]
