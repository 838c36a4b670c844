"""Tests of real instances whose backend servers write answers twice while links fail.

Instances are cut and killed, streams and safe requests are sent again, and addresses of
backend servers pass to others meanwhile.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

import pytest

from guavajunction_fakes.deployment import HEADERS, AnswerRepeat, LocalDeployment
from guavajunction_fakes.soak import CutKind, LinkProxies
from own_answers import EVENTS, ask
from platform_calls import runs, wait_until

from .conftest import PORTS

REPEATS = (AnswerRepeat.AT_ONCE, AnswerRepeat.LATER, AnswerRepeat.BEFORE_NEXT)
PATHS = ("/look/1", "/book/1", "/draft/1", "/long/1")
CALLERS = 2
"""Callers of each instance and path."""
PAUSE_SECONDS = 0.02
CONTACT_SECONDS = 3.0
"""Time after a cut from which callers are served."""
STREAMS_SECONDS = 15.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""


@asynccontextmanager
async def asking(deployment, paths=PATHS):
    """Send requests through all instances while the context is open."""
    answers = []
    is_over = asyncio.Event()

    async def ask_until_over(name, path):
        while not is_over.is_set():
            answers.append(await ask(deployment, name, path))
            await asyncio.sleep(PAUSE_SECONDS)

    async with asyncio.TaskGroup() as tasks:
        for name, path in itertools.product(deployment.instances, paths):
            for _ in range(CALLERS):
                tasks.create_task(ask_until_over(name, path))
        try:
            yield answers
        finally:
            is_over.set()


def assert_are_own(answers):
    wrong = [answer for answer in answers if not answer.is_own()]
    assert not wrong, f"{len(wrong)} of {len(answers)} are wrong, first {wrong[0]}"


def assert_answers_and_runs(deployment, answers):
    assert_are_own(answers)
    received = [answer for answer in answers if answer.status]
    succeeded = [a for a in received if a.status == 200 and a.is_complete]
    # The copies alone may end every second connection.
    assert len(succeeded) > len(received) / 3
    ran = Counter(run.request_id for run in runs(deployment) if "/book" in run.target)
    assert max(ran.values()) == 1
    refused = {a.request_id for a in answers if a.status in NOT_RUN_STATUSES}
    assert not refused & ran.keys()


def make_faulty(deployment, repeat):
    for number, runner in enumerate(deployment.runners.values()):
        runner.events_name_request = True
        runner.unframed_streams = number % 2 == 0
        runner.repeats_answers = runner.repeats_refusals = repeat


class Fleet(NamedTuple):
    """A deployment with the links between its instances and its runners."""

    deployment: LocalDeployment
    links: LinkProxies

    async def use_tunnels(self, seconds):
        """Wait until the cut instance opens a new tunnel, then for some seconds."""
        log = self.deployment.instances["front-1"].log_path
        known = len(log.read_text())
        await wait_until(
            lambda: '"tunnels:opened"' in log.read_text()[known:], CONTACT_SECONDS
        )
        await asyncio.sleep(seconds)


@pytest.fixture
async def fleet(tmp_path):
    settings = tmp_path / "gateway.ini"
    # Only the rows that an instance reads itself name its own links.
    settings.write_text("[fleet]\nreaders = all\n")
    async with AsyncExitStack() as stack:
        links = LinkProxies(stack)
        deployment = LocalDeployment(
            tmp_path, instances=3, ports=PORTS, links=links, gateway_settings=settings
        )
        yield Fleet(await stack.enter_async_context(deployment), links)


class TestTunnels:
    """Connections through other instances bring each caller its own answer."""

    @pytest.mark.parametrize(
        "kind", [CutKind.ACCEPT_IN_SILENCE, CutKind.LIVE_ON, CutKind.RESET]
    )
    async def test_caller_does_not_get_a_copy_through_a_tunnel(self, fleet, kind):
        async with asking(fleet.deployment) as answers:
            for repeat in REPEATS:
                make_faulty(fleet.deployment, repeat)
                await fleet.links.cut("front-1", kind)
                await fleet.use_tunnels(0.5)
                await fleet.deployment.instances["front-2"].kill()
                await asyncio.sleep(0.2)
                await fleet.links.heal("front-1")
                fleet.deployment.start("front-2")
                await asyncio.sleep(0.3)
        assert_answers_and_runs(fleet.deployment, answers)

    async def test_tunnel_does_not_lead_to_the_next_server_at_an_address(self, fleet):
        runner = fleet.deployment.runners["booking-2"]
        booking, engine = runner.spec, fleet.deployment.runners["engine-1"].spec
        await fleet.links.cut("front-1", CutKind.RESET)
        async with asking(fleet.deployment) as answers:
            for number, repeat in enumerate(REPEATS):
                make_faulty(fleet.deployment, repeat)
                await fleet.use_tunnels(0.4)
                runner.spec = engine._replace(name=f"engine-{number + 3}")
                await runner.crash([], 0.1)
                runner.models["m1"] = set()
                runner.report()
                await fleet.use_tunnels(0.4)
                runner.deregister()
                runner.spec = booking
                await runner.crash([], 0.1)
        assert_answers_and_runs(fleet.deployment, answers)


async def take_stream(deployment, names, answers):
    """Take a stream up until its last event; return the number of parts with events."""
    events, parts, resumed = 0, 0, {}
    while events < EVENTS:
        answer = await ask(deployment, next(names), "/long/1", **resumed)
        answers.append(answer)
        if answer.status == 200 and b"\n\n" in answer.body:
            parts += 1
            events += answer.body.count(b"\n\n")
            began = resumed.get(HEADERS.resumes, answer.request_id)
            resumed = {HEADERS.last_event: str(events), HEADERS.resumes: began}
        await asyncio.sleep(PAUSE_SECONDS)
    return parts


class TestAttempts:
    """Requests that are sent again bring the whole answer to each attempt, or none."""

    async def test_stream_that_is_taken_up_again_holds_no_event_of_another(self, fleet):
        names = itertools.cycle(fleet.deployment.instances)
        answers, streams = [], []
        for runner in fleet.deployment.runners.values():
            runner.spec = runner.spec._replace(work_seconds=0.05)
        for repeat in REPEATS:
            make_faulty(fleet.deployment, repeat)
            async with asyncio.timeout(STREAMS_SECONDS), asyncio.TaskGroup() as tasks:
                streams += [
                    tasks.create_task(take_stream(fleet.deployment, names, answers))
                    for _ in range(24)
                ]
                for proxy in itertools.islice(fleet.links.proxies.values(), 12):
                    await asyncio.sleep(0.05)
                    proxy.reset()
        assert max(stream.result() for stream in streams) > 1
        assert_are_own(answers)

    async def test_safe_request_that_is_sent_again_gets_no_copy(self, fleet):
        for runner in fleet.deployment.runners.values():
            runner.refused_fraction = 0.2
        links = itertools.cycle(
            proxy for name, proxy in fleet.links.proxies.items() if "booking" in name
        )
        async with asking(fleet.deployment, ("/look/1", "/look/1", "/book/1")) as got:
            for repeat in REPEATS:
                make_faulty(fleet.deployment, repeat)
                for number, proxy in enumerate(itertools.islice(links, 20)):
                    proxy.stall_responses()
                    await asyncio.sleep(0.06)
                    if number % 2:
                        proxy.reset()
                    proxy.restore()
        ran = Counter(run.request_id for run in runs(fleet.deployment))
        assert max(ran.values()) > 1
        assert_answers_and_runs(fleet.deployment, got)


class TestKills:
    """Instances that are killed and started again bring no answer of another."""

    async def test_caller_does_not_get_a_copy_while_instances_restart(self, tmp_path):
        async with LocalDeployment(tmp_path, instances=8, ports=PORTS) as deployment:
            async with asking(deployment) as answers:
                for name, repeat in zip(deployment.instances, itertools.cycle(REPEATS)):
                    make_faulty(deployment, repeat)
                    await deployment.instances[name].kill()
                    await asyncio.sleep(0.2)
                    deployment.start(name)
                    await asyncio.sleep(0.3)
            assert_answers_and_runs(deployment, answers)
