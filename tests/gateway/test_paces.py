"""Tests that the answers of a backend server that ramps up change its pace."""

from __future__ import annotations

import pytest

from fakes_gateway import BOOKINGS, FakeAnswer, FakeGateway, backend
from guavajunction.errors import RequestError
from guavajunction.gateway import AnswerHead, Framing

SERVER = backend("b1", service=BOOKINGS, slots=32)
INITIAL = 8.0


@pytest.fixture
def fake():
    fake = FakeGateway(SERVER)
    fake.limits.paces.is_enabled = True
    fake.limits.paces.begin(SERVER.identity, SERVER.slots, "test")
    fake.limits.ask = lambda identity: fake.limits.on_answer(identity, 0.0)
    return fake


def answer_with(status, not_run=False):
    answer = FakeAnswer()
    answer.head = AnswerHead(status, "", (), not_run, False, Framing.LENGTH, None)
    return answer


class TestAnswers:
    """Good answers raise the pace; rejections and failures lower it."""

    async def test_good_answer_raises_the_pace(self, fake):
        await fake.serve()
        assert fake.limits.rate(SERVER.identity) == INITIAL + 0.5

    @pytest.mark.parametrize(("status", "not_run"), [(500, False), (503, True)])
    async def test_failure_and_rejection_lower_the_pace(self, fake, status, not_run):
        fake.caller.script = [answer_with(status, not_run) for _ in range(1)]
        try:
            await fake.serve()
        except RequestError:
            assert not_run
        assert fake.limits.rate(SERVER.identity) < INITIAL

    async def test_late_answer_lowers_the_pace(self, fake):
        fake.gateway.MIN_LATE_SECONDS = fake.gateway.LATE_FACTOR = -1.0
        await fake.serve()
        assert fake.limits.rate(SERVER.identity) < INITIAL

    async def test_missing_request_error_of_the_caller_changes_nothing(self, fake):
        fake.caller.script = [answer_with(404)]
        await fake.serve()
        assert fake.limits.rate(SERVER.identity) == INITIAL


class TestReadmission:
    """A server that was suspect begins a ramp; own cuts do not."""

    def test_readmitted_server_is_announced(self):
        fake = FakeGateway(SERVER)
        readmitted = []
        fake.health.on_readmitted = readmitted.append
        for _ in range(fake.health.FAILURE_THRESHOLD):
            fake.health.note_failure("b1")
        fake.clock.advance(fake.health.SUSPECT_SECONDS)
        fake.health.expire()
        assert readmitted == ["b1"]
