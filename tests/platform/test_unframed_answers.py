"""Answers whose end is the end of their connection, passed on by real processes.

Guards against a part of such an answer that looks complete, because the process that
passed it on has ended and the operating system has closed its connections in order.
"""

from __future__ import annotations

import asyncio
import signal

import pytest

from guavajunction.connections import open_stream
from guavajunction_fakes.deployment import HEADERS, HOST
from platform_calls import KEY

EVENTS = 60
EVENT_SECONDS = 0.1


async def ask(deployment, version, request_id):
    """Return the head and the body of an answer, and whether its end was in order."""
    head = [
        f"POST /draft/1 HTTP/{version}",
        f"Host: {HOST}",
        f"{HEADERS.request_id}: {request_id}",
        f"{HEADERS.deadline}: 20000",
        f"{HEADERS.key}: Token {KEY}",
        f"{HEADERS.model}: m1",
        f"{HEADERS.tokens}: 100,20",
        f"{HEADERS.parts}: aa:30,bb:70",
        "Content-Length: 1",
    ]
    host, _, port = deployment.front_url("front-1")[len("http://") :].rpartition(":")
    received = b""
    async with open_stream(host, int(port)) as (reader, writer):
        writer.write("\r\n".join([*head, "", "x"]).encode())
        try:
            while chunk := await reader.read(65_536):
                received += chunk
        except ConnectionError:
            in_order = False
        else:
            in_order = True
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body, in_order


def is_complete(head, body, in_order):
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    return in_order


@pytest.fixture
def engines(deployment):
    chosen = [r for r in deployment.runners.values() if r.spec.engine]
    for runner in chosen:
        runner.unframed_streams = True
        runner.spec = runner.spec._replace(events=EVENTS, work_seconds=EVENT_SECONDS)
    return chosen


class TestEndOfProcess:
    """A part of an answer never looks complete after its instance has ended."""

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("framed", [False, True], ids=["unframed", "chunks"])
    @pytest.mark.parametrize("signum", [signal.SIGKILL, signal.SIGTERM])
    async def test_part_of_an_answer_is_incomplete(
        self, deployment, engines, version, framed, signum
    ):
        for runner in engines:
            runner.unframed_streams = not framed
        asking = [
            asyncio.ensure_future(ask(deployment, version, f"end-{number}"))
            for number in range(4)
        ]
        await asyncio.sleep(0.6)
        deployment.instances["front-1"].signal(signum)
        for head, body, in_order in await asyncio.gather(*asking):
            assert head.split(b" ", 2)[1] == b"200"
            assert 0 < body.count(b"data:") < EVENTS
            assert not is_complete(head, body, in_order)

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_whole_answer_ends_in_order(self, deployment, engines, version):
        for runner in engines:
            runner.spec = runner.spec._replace(work_seconds=0.0)
        head, body, in_order = await ask(deployment, version, "whole")
        assert body.count(b"data:") == EVENTS
        assert is_complete(head, body, in_order)
        assert in_order
