"""Tests of real instances whose backend servers write refusals twice.

A faulty backend server writes a refusal again on the connection that it kept. The copy
has the id of the request that it refused, which may have been sent there again.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS, AnswerRepeat, LocalDeployment
from platform_calls import call, runs

from .conftest import PORTS

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""
REFUSED_FRACTION = 0.4
ROUNDS = 20
CALLERS = 4
"""Callers of each instance."""

_numbers = itertools.count(1)


@pytest.fixture(params=[3, 8])
async def deployment(request, tmp_path):
    running = LocalDeployment(tmp_path, instances=request.param, ports=PORTS)
    async with running:
        yield running


async def book(deployment, name):
    """Send a booking; return its id and status, None for a closed connection."""
    request_id = f"booking-{next(_numbers)}"
    try:
        reply = await call(
            deployment, "/book/1", name=name, **{HEADERS.request_id: request_id}
        )
    except aiohttp.ClientError:
        return request_id, None
    return request_id, reply.status


async def book_often(deployment, name):
    return [await book(deployment, name) for _ in range(ROUNDS)]


async def send_all(deployment):
    """Send bookings through all instances at once; return the statuses by id."""
    callers = [
        book_often(deployment, name)
        for name in deployment.instances
        for _ in range(CALLERS)
    ]
    return dict(itertools.chain.from_iterable(await asyncio.gather(*callers)))


def make_faulty(deployment, repeat):
    for runner in deployment.runners.values():
        runner.refused_fraction = REFUSED_FRACTION
        runner.repeats_refusals = repeat


def assert_promises_hold(deployment, statuses):
    """Check that what ran was not called refused, and that nothing ran twice."""
    counts = Counter(run.request_id for run in runs(deployment))
    refused = {one for one, status in statuses.items() if status in NOT_RUN_STATUSES}
    assert not refused & counts.keys()
    assert max(counts.values()) == 1


class TestBookings:
    """A refusal of a booking is true, and a booking runs once at most."""

    @pytest.mark.parametrize(
        "repeat",
        [AnswerRepeat.AT_ONCE, AnswerRepeat.LATER, AnswerRepeat.BEFORE_NEXT],
    )
    async def test_booking_is_not_refused_by_the_copy_of_a_refusal(
        self, deployment, repeat
    ):
        make_faulty(deployment, repeat)
        statuses = await send_all(deployment)
        assert_promises_hold(deployment, statuses)
        assert list(statuses.values()).count(200) > len(statuses) / 3

    async def test_promises_hold_while_instances_are_killed_in_turn(self, deployment):
        make_faulty(deployment, AnswerRepeat.LATER)
        sending = asyncio.ensure_future(send_all(deployment))
        for name in list(deployment.instances)[1:]:
            await asyncio.sleep(0.1)
            await deployment.instances[name].kill()
        assert_promises_hold(deployment, await sending)
