"""Tests of the reuse of connections whose response has ended."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from guavajunction.connections import (
    StrictConnection,
    StrictConnector,
    WrongResponse,
)
from raw_server import raw_server

ID_HEADER = "X-Id"


@pytest.fixture
async def server():
    """A server that records the address of each request's connection."""
    peers = []

    async def handle(req):
        peers.append(req.transport.get_extra_info("peername"))
        body = b"x" * int(req.query.get("size", 4))
        if "chunks" not in req.query:
            headers = {ID_HEADER: req.headers.get(ID_HEADER, "")}
            return web.Response(body=body, headers=headers)
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


def open_session(**options):
    connector = StrictConnector(id_header=ID_HEADER, **options)
    return aiohttp.ClientSession(connector=connector)


async def get(session, server, request_id):
    async with session.get(server.url, headers={ID_HEADER: request_id}) as resp:
        return await resp.read()


class TestNamedResponses:
    """A response must name its request, and no connection carries a request twice."""

    async def test_response_to_another_request_closes_its_connection(self):
        waiting = []

        async def respond(writer, head):
            # Each request gets the response to the one before it.
            waiting.append(head.partition(f"{ID_HEADER}: ")[2].partition("\r\n")[0])
            body = waiting[max(0, len(waiting) - 2)]
            writer.write(
                f"HTTP/1.1 200 OK\r\n{ID_HEADER}: {body}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )

        async with raw_server(respond) as server, open_session() as session:
            assert await get(session, server, "a") == b"a"
            with pytest.raises(WrongResponse):
                await get(session, server, "b")
            await asyncio.wait_for(server.ended.wait(), 1.0)

    @pytest.mark.parametrize("id_required", [True, False])
    async def test_response_that_names_no_request(self, id_required):
        async def respond(writer, _):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with (
            raw_server(respond) as server,
            open_session(id_required=id_required) as session,
        ):
            if not id_required:
                assert await get(session, server, "a") == b""
                return
            with pytest.raises(WrongResponse):
                await get(session, server, "a")

    async def test_request_that_is_sent_again_gets_another_connection(self, server):
        url, peers = server
        async with open_session() as session:
            for request_id in ("a", "b", "a", "b"):
                async with session.get(url, headers={ID_HEADER: request_id}) as resp:
                    await resp.read()
        assert peers[0] == peers[1]
        assert peers[2] == peers[3]
        assert peers[1] != peers[2]

    async def test_connection_that_remembers_too_many_requests_is_closed(
        self, server, monkeypatch
    ):
        monkeypatch.setattr(StrictConnection, "MAX_CARRIED", 3)
        url, peers = server
        async with open_session() as session:
            for number in range(6):
                headers = {ID_HEADER: str(number)}
                async with session.get(url, headers=headers) as resp:
                    await resp.read()
        assert len(set(peers[:3])) == len(set(peers[3:])) == 1
        assert peers[2] != peers[3]

    async def test_request_that_waits_for_a_connection_does_not_get_its_copy(self):
        runs = []

        async def respond(writer, head):
            runs.append(head)
            body = f"run {len(runs)}"
            response = (
                f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
            await asyncio.sleep(0.05)
            writer.write(response)
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, writer.write, response)

        async with raw_server(respond) as server, open_session(limit=1) as session:
            bodies = await asyncio.gather(*(get(session, server, "a") for _ in "12"))
        assert bodies == [b"run 1", b"run 2"]
