"""Tests of responses whose end may be marked by their connection alone."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from guavajunction.connections import RelayedResponse, open_stream

BODY = b"x" * 3_000_000


class Relay:
    """An HTTP server that relays a body in one of several ways."""

    def __init__(self):
        self.ends = asyncio.Event()

    async def handle(self, req):
        headers = {"Content-Length": str(len(BODY))} if "length" in req.path else {}
        framed = "unframed" not in req.path
        resp = RelayedResponse(framed=framed, headers=headers)
        await resp.prepare(req)
        if "empty" in req.path:
            await resp.write_eof()
            return resp
        await resp.write(BODY[:100])
        if "error" in req.path:
            raise ValueError("an error after the head")
        if "abort" in req.path:
            resp.abort(req)
            return resp
        if "waits" in req.path:
            await self.ends.wait()
        await resp.write(BODY[100:])
        await resp.write_eof()
        return resp


@pytest.fixture
async def relay():
    one = Relay()
    server = web.Server(one.handle, handler_cancellation=True, access_log=None)
    one.runner = web.ServerRunner(server, shutdown_timeout=0.05)
    await one.runner.setup()
    await web.TCPSite(one.runner, "127.0.0.1", 0).start()
    one.port = one.runner.addresses[0][1]
    yield one
    await one.runner.cleanup()


async def get(relay, path, version="1.0", method="GET", read_after=0.0):
    """Return the response, and whether its connection ended in order."""
    received = b""
    async with open_stream("127.0.0.1", relay.port, limit=1024) as (reader, writer):
        head = f"{method} {path} HTTP/{version}\r\nHost: a\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())
        await asyncio.sleep(read_after)
        try:
            while chunk := await reader.read(65_536):
                received += chunk
        except ConnectionError:
            return received, False
    return received, True


CONNECTION_MARKS_END = [("/plain", "1.0"), ("/unframed", "1.0"), ("/unframed", "1.1")]
"""Paths and HTTP versions for which only the connection marks the end of a body."""


@pytest.mark.parametrize(("path", "version"), CONNECTION_MARKS_END)
class TestIncompleteBodies:
    """A body of which a part is missing ends with a reset."""

    @pytest.mark.parametrize("end", ["abort", "error"])
    async def test_body_that_fails_after_its_head(self, relay, path, version, end):
        received, in_order = await get(relay, f"{path}-{end}", version)
        assert received.startswith(b"HTTP/1.")
        assert not in_order

    async def test_body_whose_server_stops(self, relay, path, version):
        getting = asyncio.ensure_future(get(relay, f"{path}-waits", version))
        await asyncio.sleep(0.1)
        await relay.runner.cleanup()
        received, in_order = await getting
        assert received.endswith(BODY[:100])
        assert not in_order

    async def test_body_that_its_client_reads_slowly(self, relay, path, version):
        getting = asyncio.ensure_future(get(relay, path, version, read_after=0.5))
        await asyncio.sleep(0.2)
        await relay.runner.cleanup()
        received, in_order = await getting
        assert not in_order or received.endswith(b"\r\n\r\n" + BODY)


class TestWholeBodies:
    """A whole body ends in order, however its end is marked."""

    @pytest.mark.parametrize("read_after", [0.0, 0.3])
    @pytest.mark.parametrize(
        ("path", "version"), [*CONNECTION_MARKS_END, ("/length", "1.0")]
    )
    async def test_body_without_chunks(self, relay, path, version, read_after):
        received, in_order = await get(relay, path, version, read_after=read_after)
        assert in_order
        assert received.partition(b"\r\n\r\n")[2] == BODY

    async def test_body_in_chunks(self, relay):
        received, in_order = await get(relay, "/plain", "1.1")
        assert in_order
        assert received.endswith(b"\r\n0\r\n\r\n")

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_response_to_head(self, relay, version):
        received, in_order = await get(relay, "/plain-empty", version, method="HEAD")
        assert in_order
        assert received.endswith(b"\r\n\r\n")


class TestRelaysOneAfterTheOther:
    """Connections with framed responses are used again."""

    async def test_connection_is_kept_after_chunks(self, relay):
        async with AsyncExitStack() as stack:
            reader, writer = await stack.enter_async_context(
                open_stream("127.0.0.1", relay.port)
            )
            for _ in range(3):
                writer.write(b"GET /plain HTTP/1.1\r\nHost: a\r\n\r\n")
                async with asyncio.timeout(5.0):
                    received = b""
                    while not received.endswith(b"\r\n0\r\n\r\n"):
                        received += await reader.read(65_536)
                assert received.startswith(b"HTTP/1.1 200")
