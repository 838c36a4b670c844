"""Tests of requests to backend servers that have named a limit."""

from __future__ import annotations

import pytest

from fakes_gateway import BOOKINGS, FakeAnswer, FakeGateway, backend
from guavajunction.errors import Overloaded
from guavajunction.gateway import AnswerHead, Framing

LIMITED = backend("b1", service=BOOKINGS, slots=100)
OTHER = backend("b2", service=BOOKINGS)


def gateway(*backends, wait=0.0):
    """Return a gateway that knows a limit; `wait` answers each question at once."""
    fake = FakeGateway(*backends)
    book = fake.limits.book
    book.note_answer(LIMITED.identity, "1", book.of(LIMITED.identity))
    fake.limits.ask = lambda identity: fake.limits.on_answer(identity, wait)
    return fake


def answer_with(limit):
    answer = FakeAnswer()
    answer.head = AnswerHead(200, "", (), False, False, Framing.LENGTH, limit)
    return answer


def backends_used(fake):
    return [sent.backend for sent in fake.caller.sent]


class TestDispatch:
    """A request goes to a limited backend server only with a permission."""

    async def test_request_is_sent_with_a_permission(self):
        fake = gateway(LIMITED, OTHER)
        await fake.serve()
        assert backends_used(fake) == ["b1"]

    async def test_request_without_a_permission_goes_elsewhere(self):
        fake = gateway(LIMITED, OTHER, wait=0.5)
        await fake.serve()
        assert backends_used(fake) == ["b2"]

    async def test_each_permission_is_for_one_request(self):
        fake = gateway(LIMITED, OTHER)
        fake.caller.script = [answer_with("1")]
        await fake.serve()
        fake.limits.ask = lambda identity: fake.limits.on_answer(identity, 1.0)
        await fake.serve()
        assert backends_used(fake) == ["b1", "b2"]

    async def test_request_that_cannot_be_sent_in_time_is_refused_at_once(self):
        fake = gateway(LIMITED, wait=0.9)
        with pytest.raises(Overloaded) as caught:
            await fake.serve(seconds=0.8)
        assert caught.value.retry_after == pytest.approx(1.0, abs=0.2)
        assert not backends_used(fake)


class TestAnswers:
    """Answers tell the limit, also those that refuse the request."""

    async def test_limit_in_an_answer_is_known_before_the_next_request(self):
        fake = FakeGateway(LIMITED)
        fake.caller.script = [answer_with("0.5")]
        await fake.serve()
        assert fake.limits.book.rate(LIMITED.identity) == 0.5

    async def test_answer_without_a_limit_ends_it(self):
        fake = gateway(LIMITED)
        await fake.serve()
        assert fake.limits.book.rate(LIMITED.identity) is None
