"""Tests of the reuse of connections whose response has ended."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web

from guavajunction.connections import StrictConnector


@pytest.fixture
async def server():
    """A server that records the address of each request's connection."""
    peers = []

    async def handle(req):
        peers.append(req.transport.get_extra_info("peername"))
        body = b"x" * int(req.query.get("size", 4))
        if "chunks" not in req.query:
            return web.Response(body=body)
        resp = web.StreamResponse()
        resp.enable_chunked_encoding()
        await resp.prepare(req)
        await resp.write(body)
        await resp.write_eof()
        return resp

    app = web.Application()
    app.router.add_get("/", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    yield f"http://{host}:{port}/", peers
    await runner.cleanup()


class TestReuse:
    """Requests in a row use one connection, whatever their responses."""

    @pytest.mark.parametrize("query", ["", "?size=0", "?size=500000", "?chunks=1"])
    async def test_connection_is_used_again_after_a_complete_response(
        self, server, query
    ):
        url, peers = server
        async with aiohttp.ClientSession(connector=StrictConnector()) as session:
            for _ in range(5):
                async with session.get(url + query) as resp:
                    await resp.read()
        assert len(set(peers)) == 1
