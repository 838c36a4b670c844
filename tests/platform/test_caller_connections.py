"""Tests of the connections that callers keep open to real instances.

Each answer on such a connection is the whole answer to the request at its place in the
order, or the connection ends and leaves that answer visibly incomplete.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import signal

import pytest

from caller_wire import Sent, ask, last, stream, whole_answers
from guavajunction.connections import open_stream, reset
from guavajunction_fakes.deployment import HEADERS, AnswerRepeat, LocalDeployment
from platform_calls import runs

from .conftest import PORTS

SEED = 59
MAX_BODY_BYTES = 100_000
CUTS = 20
"""Connections of each case; each cuts the bytes at another place."""
PAUSE_SECONDS = 0.02
EXCHANGE_SECONDS = 8.0
CALLER = "127.0.0.9"
"""Address from which nothing else connects."""


def malformed_chunk():
    sent = ask(body=INNER.data, chunked=True, status=400)
    return sent._replace(data=sent.data[:-5] + b"zz\r\n")


INNER = ask()
"""A whole request, sent as the body of another one."""
LARGE = b"x" * (MAX_BODY_BYTES - 1)
TOO_LARGE = b"x" * MAX_BODY_BYTES * 2
KEPT = {"Connection": "keep-alive"}
WEBSOCKET = {"Connection": "upgrade", "Upgrade": "websocket"}
H2C = {"Connection": "upgrade", "Upgrade": "h2c"}

# The requests of each case, and how many of them are answered at least.
CASES = {
    "ahead": (lambda: [ask(), stream(), ask("/look/1"), last()], 4),
    "slow-first": (lambda: [stream(), ask("/no", status=404), last()], 3),
    "unknown-key": (lambda: [ask(key="no", body=LARGE, status=401), last()], 1),
    "unknown-route": (lambda: [ask("/no", body=LARGE, status=404), last()], 1),
    "over-limit": (lambda: [ask(key="spent", body=LARGE, status=429), last()], 1),
    "too-large": (lambda: [ask(body=TOO_LARGE, status=413), last()], 1),
    "too-large-chunks": (
        lambda: [ask(body=TOO_LARGE, chunked=True, status=413), last()],
        1,
    ),
    "no-id": (
        lambda: [ask(body=INNER.data, status=400, **{HEADERS.request_id: ""}), last()],
        1,
    ),
    "expect": (lambda: [ask(Expect="100-continue", body=INNER.data), last()], 2),
    "head": (lambda: [ask(method="HEAD"), stream(method="HEAD"), last()], 3),
    "head-refused": (lambda: [ask("/no", method="HEAD", status=404), last()], 1),
    "chunks": (lambda: [ask(body=INNER.data, chunked=True), stream(), last()], 3),
    "http-1.0": (lambda: [ask(version="1.0"), last()], 1),
    "http-1.0-kept": (lambda: [ask(version="1.0", **KEPT), last()], 2),
    "http-1.0-stream": (lambda: [stream(version="1.0", **KEPT), last()], 1),
    "closed-then-more": (lambda: [last(), ask()], 1),
    "malformed-behind": (
        lambda: [ask(), Sent("", "POST", b"no request\r\n\r\n", 400)],
        2,
    ),
    "websocket": (
        lambda: [ask(body=INNER.data, **WEBSOCKET), ask(body=LARGE), last()],
        1,
    ),
    "h2c": (lambda: [ask(body=INNER.data, **H2C), ask(body=LARGE), last()], 1),
    "h2c-no-body": (lambda: [ask(body=b"", **H2C), ask(body=INNER.data), last()], 1),
    "malformed-chunk": (lambda: [malformed_chunk(), last()], 1),
}


def front(deployment):
    host, _, port = deployment.front_url("front-1")[len("http://") :].rpartition(":")
    return host, int(port)


async def exchange(deployment, requests, cut=0, pause=PAUSE_SECONDS, **options):
    """Send requests in two parts; check what comes until the connection ends."""
    data = b"".join(sent.data for sent in requests)
    received, in_order = b"", True
    async with (
        asyncio.timeout(EXCHANGE_SECONDS),
        open_stream(*front(deployment), **options) as (reader, writer),
    ):
        try:
            writer.write(data[:cut])
            await asyncio.sleep(pause)
            writer.write(data[cut:])
            while chunk := await reader.read(65_536):
                received += chunk
        except ConnectionError:
            in_order = False
    return whole_answers(requests, received, in_order)


def pick_cuts(requests, rng):
    """Return the ends of heads, requests and chunks, and places drawn at random."""
    data = b"".join(sent.data for sent in requests)
    ends = [match.end() for match in re.finditer(rb"\r\n\r\n|(?=\r\nzz)", data)]
    ends += itertools.accumulate(len(sent.data) for sent in requests)
    return (ends + [rng.randrange(len(data)) for _ in range(CUTS)])[:CUTS]


async def exchange_often(deployment, make, rng):
    cuts = pick_cuts(make(), rng)
    tasks = [exchange(deployment, make(), cut) for cut in cuts]
    return await asyncio.gather(*tasks, return_exceptions=True)


def change_runners(deployment, *, work_seconds=0.005, **changes):
    for runner in deployment.runners.values():
        runner.spec = runner.spec._replace(work_seconds=work_seconds)
        for name, value in changes.items():
            setattr(runner, name, value)


@pytest.fixture
async def deployment(tmp_path, request):
    limits = getattr(request, "param", None)
    running = LocalDeployment(tmp_path, instances=1, ports=PORTS, limits=limits)
    running.operator.max_body_bytes = MAX_BODY_BYTES
    running.operator.add_customer("spent", ["spent"], rate=1, burst=1)
    async with running:
        yield running


class TestOrder:
    """Answers come in the order of their requests."""

    @pytest.mark.parametrize("repeat", [AnswerRepeat.NEVER, AnswerRepeat.AT_ONCE])
    async def test_answer_at_the_place_of_another(self, deployment, repeat):
        change_runners(deployment, repeats_answers=repeat)
        rng = random.Random(SEED)
        wrong = []
        for name, (make, count) in CASES.items():
            found = await exchange_often(deployment, make, rng)
            wrong += [(name, f) for f in found if isinstance(f, BaseException)]
            if repeat is AnswerRepeat.NEVER:
                lists = (f for f in found if isinstance(f, list))
                wrong += [(name, f) for f in lists if len(f) < count]
        assert not wrong
        assert INNER.request_id not in {run.request_id for run in runs(deployment)}


class TestBrokenAnswers:
    """An answer whose backend server breaks off ends its caller's connection."""

    @pytest.mark.parametrize("fault", ["cut_after_events", "close_inside_event"])
    async def test_answer_behind_a_part_of_another(self, deployment, fault):
        for unframed, version in itertools.product([False, True], ["1.0", "1.1"]):
            change_runners(deployment, unframed_streams=unframed, **{fault: 2})
            for _ in range(CUTS):
                requests = [stream(version=version, **KEPT), ask(), last()]
                assert 200 not in await exchange(deployment, requests)

    async def test_answer_inside_another_without_a_length(self, deployment):
        change_runners(deployment, unframed_streams=True)
        for _ in range(CUTS):
            requests = [stream(), ask(), last()]
            assert await exchange(deployment, requests) == [200]
        change_runners(deployment, repeats_answers=AnswerRepeat.AT_ONCE)
        for _ in range(CUTS):
            await exchange(deployment, [stream(), ask(), last()])


class TestCallersThatLeave:
    """What a caller left behind is not for the next one with its address and port."""

    async def test_answer_to_a_caller_that_left(self, deployment):
        change_runners(deployment, work_seconds=0.03)
        for number in range(CUTS):
            async with open_stream(*front(deployment), local_addr=(CALLER, 0)) as (
                reader,
                writer,
            ):
                address = writer.get_extra_info("sockname")
                writer.write(b"".join(sent.data for sent in (stream(), ask(), ask())))
                if number % 2:
                    await reader.readuntil(b"data: ")
                reset(writer.transport)
            requests = [ask(), stream(), last()]
            found = await exchange(deployment, requests, local_addr=address)
            assert found == [200, 200, 200]


class TestEndOfProcess:
    """A process that ends in the middle of answers completes none of them."""

    @pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGKILL])
    async def test_part_of_an_answer_looks_whole(self, deployment, signum):
        repeat = AnswerRepeat.AT_ONCE
        change_runners(deployment, work_seconds=0.1, repeats_answers=repeat)
        deployment.runners["engine-2"].unframed_streams = True
        lists = [
            [make() for _ in range(6) for make in makers]
            for makers in ((stream, ask), (ask, stream))
            for _ in range(6)
        ]
        exchanges = [
            asyncio.ensure_future(exchange(deployment, requests)) for requests in lists
        ]
        await asyncio.sleep(0.45)
        deployment.instances["front-1"].signal(signum)
        found = await asyncio.gather(*exchanges)
        assert any(found)
        assert all(len(statuses) < 12 for statuses in found)


class TestShortMemory:
    """A request that is shed for memory leaves no other one its answer."""

    @pytest.mark.parametrize(
        "deployment", [{"memoryMb": 160, "maxFds": 400}], indirect=True
    )
    async def test_answer_behind_a_shed_request(self, deployment):
        deployment.operator.max_body_bytes = 1_000_000
        deployment.operator.write()
        await asyncio.sleep(1.0)
        lists = [[ask(body=b"x" * 900_000), ask(), last()] for _ in range(150)]
        exchanges = [exchange(deployment, sent, 800_000, 1.0) for sent in lists]
        found = await asyncio.gather(*exchanges)
        assert any(503 in statuses[:1] for statuses in found)
        assert any(statuses == [200, 200, 200] for statuses in found)
