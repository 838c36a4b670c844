"""Tests of responses that a server writes again, and of other stray bytes."""

from __future__ import annotations

import asyncio

import aiohttp
import eliot
import pytest

from guavajunction.connections import StrictConnector
from raw_server import raw_server

ID_HEADER = "X-Id"
STRAY_RESPONSE = 2200
PAUSE_SECONDS = 0.05
"""Long enough for what was written before to arrive by itself."""


def head_of(request_id):
    return (
        f"HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def body_of(request_id):
    return f"{len(request_id):x}\r\n{request_id}\r\n0\r\n\r\n".encode()


def response_to(request_id):
    return head_of(request_id) + body_of(request_id)


def id_in(head):
    return head.partition(f"{ID_HEADER}: ")[2].partition("\r\n")[0]


async def get(session, server, request_id):
    """Return the id that the response names and its body."""
    async with session.get(server.url, headers={ID_HEADER: request_id}) as resp:
        return resp.headers[ID_HEADER], (await resp.read()).decode()


@pytest.fixture
async def session():
    connector = StrictConnector(id_header=ID_HEADER)
    async with aiohttp.ClientSession(connector=connector) as opened:
        yield opened


@pytest.fixture
def lines():
    logged = []
    eliot.add_destinations(logged.append)
    # The first destination also gets what was logged before.
    logged.clear()
    yield logged
    eliot.remove_destination(logged.append)


class TestLog:
    """Each response or run of bytes that belongs to no request is logged once."""

    async def assert_logged(self, session, server, lines, *, place, named_id):
        await asyncio.wait_for(server.ended.wait(), 1.0)
        (line,) = (line for line in lines if line.get("event") == STRAY_RESPONSE)
        assert line["server"] == server.address
        assert (line["place"], line["request_id"]) == (place, "a")
        assert (line["named_id"], line["carried"]) == (named_id, 1)
        assert session.connector.stray_responses == 1

    async def test_response_to_another_request(self, session, lines):
        async def respond(writer, _):
            writer.write(response_to("b"))

        async with raw_server(respond) as server:
            with pytest.raises(aiohttp.ClientPayloadError):
                await get(session, server, "a")
            await self.assert_logged(
                session, server, lines, place="instead of the response", named_id="b"
            )

    async def test_copy_after_a_response(self, session, lines):
        async def respond(writer, head):
            writer.write(response_to(id_in(head)))
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(response_to(id_in(head)))

        async with raw_server(respond) as server:
            assert await get(session, server, "a") == ("a", "a")
            await self.assert_logged(
                session, server, lines, place="after the response", named_id=None
            )

    async def test_copy_with_the_end_of_a_response(self, session, lines):
        async def respond(writer, head):
            writer.write(response_to(id_in(head)) * 2)

        async with raw_server(respond) as server:
            assert await get(session, server, "a") == ("a", "a")
            await self.assert_logged(
                session,
                server,
                lines,
                place="with the end of the response",
                named_id="a",
            )
