"""Tests of real instances whose backend servers write answers twice.

A faulty backend server writes an answer again on the connection that it kept. The copy
belongs to no request, and no caller may get it.
"""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS, AnswerRepeat, LocalDeployment
from platform_calls import call

from .conftest import PORTS

ROUNDS = 10
CALLERS = 3
"""Callers of each instance and route."""
EVENTS = 3
"""Number of events in a stream."""

_numbers = itertools.count(1)


@pytest.fixture(params=[3, 8])
async def deployment(request, tmp_path):
    running = LocalDeployment(tmp_path, instances=request.param, ports=PORTS)
    async with running:
        yield running


async def ask(deployment, name, path, model):
    """Send a request; return its id and the answer, None for a closed connection."""
    request_id = f"asked-{next(_numbers)}"
    headers = {HEADERS.request_id: request_id}
    try:
        reply = await call(deployment, path, name=name, model=model, **headers)
    except aiohttp.ClientError:
        return request_id, None
    return request_id, reply


async def ask_often(deployment, name, path, model):
    return [await ask(deployment, name, path, model) for _ in range(ROUNDS)]


async def ask_all(deployment):
    """Send requests of all kinds through all instances at once; return the answers."""
    callers = [
        ask_often(deployment, name, path, model)
        for name in deployment.instances
        for path, model in (("/draft/1", "m1"), ("/book/1", None), ("/look/1", None))
        for _ in range(CALLERS)
    ]
    return list(itertools.chain.from_iterable(await asyncio.gather(*callers)))


def is_own_and_whole(request_id, reply):
    if reply.headers.get(HEADERS.request_id) != request_id:
        return False
    if reply.status != 200:
        return HEADERS.seal not in reply.headers
    if reply.headers["Content-Type"] == "text/event-stream":
        return reply.body.count(b"\n\n") == EVENTS
    return reply.body == b"done by " + request_id.encode()


def assert_answers_are_own(answers):
    received = [(request_id, reply) for request_id, reply in answers if reply]
    wrong = [answer for answer in received if not is_own_and_whole(*answer)]
    assert not wrong, f"{len(wrong)} of {len(answers)} answers are wrong"
    # Half of the requests are lost if a copy precedes the second answer on each
    # connection, as it is closed then.
    succeeded = [reply for _, reply in received if reply.status == 200]
    assert len(succeeded) > len(answers) / 3


def make_faulty(deployment, repeat):
    for runner in deployment.runners.values():
        runner.repeats_answers = repeat


class TestCallers:
    """Each caller gets the whole answer to its own request, or none."""

    @pytest.mark.parametrize(
        "repeat",
        [AnswerRepeat.AT_ONCE, AnswerRepeat.LATER, AnswerRepeat.BEFORE_NEXT],
        ids=lambda repeat: repeat.name,
    )
    async def test_caller_does_not_get_the_copy_of_another_answer(
        self, deployment, repeat
    ):
        make_faulty(deployment, repeat)
        assert_answers_are_own(await ask_all(deployment))

    async def test_caller_does_not_get_a_copy_behind_an_answer_without_a_length(
        self, deployment
    ):
        make_faulty(deployment, AnswerRepeat.AT_ONCE)
        for runner in deployment.runners.values():
            runner.unframed_streams = True
        assert_answers_are_own(await ask_all(deployment))

    async def test_caller_does_not_get_a_copy_while_instances_are_killed(
        self, deployment
    ):
        make_faulty(deployment, AnswerRepeat.AT_ONCE)
        asking = asyncio.ensure_future(ask_all(deployment))
        await asyncio.sleep(0.2)
        await deployment.instances["front-2"].kill()
        assert_answers_are_own(await asking)
