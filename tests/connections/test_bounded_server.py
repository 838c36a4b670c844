"""Tests of connections that hold and parse a bounded amount."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import http_parser, web

from fakes_clock import QuickClock
from guavajunction.connections import BoundedServer, ServerBounds, _bounded_server
from guavajunction.memory import HeadAllowance, UnparsedBytes
from guavajunction.metrics import MetricsRegistry

MAX_HEAD_BYTES = 131_072
SLOW_PATH = "/slow"
BODY = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\na body"


class Other:
    """Another connection that holds unparsed bytes."""

    def refuse_unparsed(self):
        """Hold nothing any more."""


@contextlib.asynccontextmanager
async def connected(**replaced):
    """Yield reader and writer of one connection; answers are paths and bodies.

    Args:
        replaced: Bounds that replace those of a machine without limits.
    """

    async def answer(req):
        body = b""
        while chunk := await req.content.read(100):
            body += chunk
        if req.path == SLOW_PATH:
            await asyncio.sleep(0.2)
        return web.Response(body=req.path.encode() + b" " + body + b"\n")

    bounds = ServerBounds.for_machine(
        memory_mb=None,
        max_descriptors=None,
        max_head_bytes=lambda: MAX_HEAD_BYTES,
        clock=QuickClock(),
        metrics=MetricsRegistry(),
    )
    server = BoundedServer(answer, bounds=bounds._replace(**replaced))
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()
        await runner.cleanup()


async def answers(reader, count):
    found = []
    async with asyncio.timeout(5.0):
        while len(found) < count:
            line = await reader.readline()
            if line.startswith(b"/"):
                found.append(line.decode().strip())
    return found


class TestPipelining:
    """A request that is not parsed at once is not forgotten."""

    @pytest.mark.parametrize("cut", [1, 20, 60, len(BODY), len(BODY) + 4])
    async def test_request_behind_a_body_that_arrives_late_is_answered(self, cut):
        whole = b"".join(BODY % number for number in range(3))
        async with connected() as (reader, writer):
            writer.write(whole[:cut])
            await asyncio.sleep(0.05)
            writer.write(whole[cut:])
            assert await answers(reader, 3) == [f"/{n} a body" for n in range(3)]

    async def test_many_requests_ahead_are_all_answered(self):
        async with connected() as (reader, writer):
            writer.write(b"".join(BODY % number for number in range(200)))
            assert len(await answers(reader, 200)) == 200

    async def test_tiny_chunks_are_joined(self):
        head = b"POST /0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        async with connected() as (reader, writer):
            writer.write(head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n" + BODY % 1)
            first, second = await answers(reader, 2)
            assert (len(first), second) == (len("/0 ") + 50_000, "/1 a body")


class TestHeads:
    """Heads that are too large, or of too many fields, are refused."""

    async def test_head_without_end_is_refused(self):
        async with connected() as (reader, writer):
            writer.write(
                b"GET / HTTP/1.1\r\n" + (b"name: " + b"x" * 5000 + b"\r\n") * 60
            )
            async with asyncio.timeout(5.0):
                assert b" 431 " in await reader.readline()

    async def test_head_with_many_fields_is_served_if_there_is_no_other(self):
        async with connected(heads=HeadAllowance(1)) as (reader, writer):
            writer.write(
                b"GET /1 HTTP/1.1\r\nHost: x\r\n" + b"n: v\r\n" * 1000 + b"\r\n"
            )
            assert await answers(reader, 1) == ["/1"]


class TestUnparsedBytes:
    """Requests that were not parsed are refused if they hold too much."""

    async def test_running_request_keeps_its_answer_when_those_ahead_are_refused(self):
        unparsed = UnparsedBytes(10_000, QuickClock(), MetricsRegistry())
        slow = b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % SLOW_PATH.encode()
        async with connected(unparsed=unparsed) as (reader, writer):
            writer.write(slow + (BODY % 1) * 100)
            await asyncio.sleep(0.05)
            unparsed.hold(Other(), 9_000)
            async with asyncio.timeout(5.0):
                received = await reader.read()
        assert SLOW_PATH.encode() in received
        assert received.count(b" 200 ") == 2
        assert received.count(b" 503 ") == 1
        assert received.count(b"Retry-After: 1") == 1
        assert unparsed.held == 9_000

    async def test_body_that_failed_before_it_was_read_is_no_empty_body(self):
        head = b"POST /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        async with connected() as (reader, writer), asyncio.timeout(5.0):
            writer.write(head + b"zz\r\n")
            received = await reader.read()
        assert received.split(b" ", 2)[1] == b"400"
        assert b"/a" not in received


HOST = b"Host: x\r\n"
CHUNKS = b"4\r\nbody\r\n0\r\n\r\n"


@pytest.fixture(params=["installed", "python"])
def parser(request, monkeypatch):
    """Use aiohttp's installed parser, or the one without extensions."""
    if request.param == "python":
        chosen = http_parser.HttpRequestParserPy
        monkeypatch.setattr(_bounded_server, "HttpRequestParser", chosen)


@pytest.mark.usefixtures("parser")
class TestMalformedRequests:
    """Whichever parser is installed, a malformed request reaches no handler."""

    @pytest.mark.parametrize(
        "data",
        [
            b"GET /a\r\n" + HOST + b"\r\n",
            b"GET /a HTTP/0.9\r\n" + HOST + b"\r\n",
            b"GET /a HTTP/2.0\r\n" + HOST + b"\r\n",
            b"GET /a HTTP/1.1\r\n" + HOST + b"X : 1\r\n\r\n",
            b"GET /a HTTP/1.1\r\n" + HOST + b"X\x01: 1\r\n\r\n",
            b"GET /a HTTP/1.1\r\n" + HOST + b"X: a\x1bb\r\n\r\n",
            b"GET /a HTTP/1.1\r\n" + HOST + b"X: a\r\n b\r\n\r\n",
            b"GET /a HTTP/1.1\n" + HOST + b"\r\n",
            b"POST /a HTTP/1.1\r\n"
            + HOST
            + b"Content-Length: 18446744073709551620\r\n\r\nbody",
            b"POST /a HTTP/1.1\r\n" + HOST + b"Content-Length: 4, 4\r\n\r\nbody",
            b"POST /a HTTP/1.1\r\n"
            + HOST
            + b"Transfer-Encoding: gzip, chunked\r\n\r\n"
            + CHUNKS,
            b"POST /a HTTP/1.1\r\n"
            + HOST
            + b"Transfer-Encoding: chunked, chunked\r\n\r\n"
            + CHUNKS,
            b"POST /a HTTP/1.0\r\n"
            + HOST
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + CHUNKS,
        ],
    )
    async def test_malformed_request_is_refused(self, data):
        async with connected() as (reader, writer), asyncio.timeout(5.0):
            writer.write(data)
            received = await reader.read()
        assert received.split(b" ", 2)[1] == b"400"

    async def test_sound_request_with_odd_fields_is_answered(self):
        fields = HOST + b"!#$%&'*+-.^_`|~: caf\xe9\r\nTransfer-Encoding: Chunked\r\n"
        async with connected() as (reader, writer):
            writer.write(b"POST /a HTTP/1.1\r\n" + fields + b"\r\n" + CHUNKS)
            assert await answers(reader, 1) == ["/a body"]

    async def test_blanks_around_the_length_of_a_body_are_accepted(self):
        fields = HOST + b"Content-Length: \t4 \t\r\n"
        async with connected() as (reader, writer):
            writer.write(b"POST /a HTTP/1.1\r\n" + fields + b"\r\nbody")
            assert await answers(reader, 1) == ["/a body"]
