"""Tests of malformed responses, for both parsers that aiohttp may have.

Guards against answers that no server writes, which callers got with the server's seal
and with a body that was not the server's.
"""

from __future__ import annotations

import asyncio
import re

import aiohttp
import pytest
from aiohttp import client_proto, http_parser

from guavajunction.connections import (
    MalformedMessage,
    MalformedResponse,
    ResponseGrammar,
    StrictConnector,
    iter_body,
)
from message_forms import MALFORMED_CHUNKS, MALFORMED_HEADS, SOUND
from raw_server import raw_server

ID_HEADER = "X-Id"
ID_LINE = b"X-Id: mine\r\n"
PAUSE_SECONDS = 0.01
"""Long enough for what was written before to arrive by itself."""

MALFORMED = MALFORMED_HEADS | MALFORMED_CHUNKS


def forms(named):
    return [
        pytest.param(data.replace(b"{id}", ID_LINE), id=name)
        for name, data in named.items()
    ]


def is_malformed(grammar, pieces):
    try:
        for piece in pieces:
            grammar.feed(piece)
    except MalformedMessage:
        return True
    return False


def without_extensions(data):
    return re.sub(rb"(?m)^([0-9]+);.*\r$", rb"\1\r", data)


def cuts(data):
    """Return the ways in which a response is cut in two, and in single bytes."""
    yield [data]
    yield from ([data[:at], data[at:]] for at in range(1, len(data)))
    yield [data[at : at + 1] for at in range(len(data))]


class TestGrammar:
    """The bytes decide, however they arrive."""

    @pytest.mark.parametrize("data", forms(MALFORMED))
    def test_malformed_response_is_refused_wherever_it_is_cut(self, data):
        for pieces in cuts(data):
            assert is_malformed(ResponseGrammar(), pieces)

    @pytest.mark.parametrize("data", forms(SOUND))
    def test_sound_response_is_accepted_wherever_it_is_cut(self, data):
        for pieces in cuts(data):
            grammar = ResponseGrammar()
            returned = b"".join(b"".join(grammar.feed(piece)) for piece in pieces)
            assert returned == without_extensions(data)

    @pytest.mark.parametrize("status", [100, 102, 103, 199, *range(200, 600)])
    def test_every_status_from_100_to_599_is_accepted(self, status):
        head = b"HTTP/1.1 %d x\r\n\r\n" % status
        assert ResponseGrammar().feed(head) == [head]

    def test_head_is_held_back_until_it_is_complete(self):
        grammar = ResponseGrammar()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        assert grammar.feed(head[:-1]) == []
        assert grammar.feed(head[-1:] + b"x") == [head, b"x"]

    @pytest.mark.parametrize("begun", [b"SSH-2.0", b"HTTP/2", b"\x16\x03\x01", b"{"])
    def test_other_protocol_is_refused_before_its_line_ends(self, begun):
        assert is_malformed(ResponseGrammar(), [begun])

    def test_response_to_a_head_request_has_no_body(self):
        grammar = ResponseGrammar(has_body=False)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        # What follows is not checked here; the connection reports it.
        assert grammar.feed(head + b"not a chunk") == [head, b"not a chunk"]


@pytest.fixture(params=["installed", "python"])
async def session(request, monkeypatch):
    """Yield a session with aiohttp's installed parser, or the one without extensions.

    They are the same if the extensions are not installed.
    """
    if request.param == "python":
        parser = http_parser.HttpResponseParserPy
        monkeypatch.setattr(client_proto, "HttpResponseParser", parser)
    connector = StrictConnector(id_header=ID_HEADER)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as opened:
        yield opened


async def get(session, server):
    """Return the response to a request and its body."""
    async with asyncio.timeout(5.0):
        async with session.get(server.url, headers={ID_HEADER: "mine"}) as resp:
            body = b"".join([chunk async for chunk in iter_body(resp, ID_HEADER)])
            return resp, body


def responds(data, cut):
    """Return a server's responder that writes a response whole or cut in two."""

    async def respond(writer, _):
        if cut == "after the head":
            at = data.index(b"\r\n\r\n") + 4 if b"\r\n\r\n" in data else len(data) // 2
        else:
            at = len(data) if cut == "whole" else data.index(b"\n") // 2
        writer.write(data[:at])
        await writer.drain()
        if data[at:]:
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(data[at:])
        if b"ength" not in data.partition(b"\r\n\r\n")[0] and b"0\r\n" not in data:
            writer.close()

    return respond


CUTS = ["whole", "in the status line", "after the head"]


class TestConnection:
    """Whichever parser is installed, the same responses reach the caller."""

    @pytest.mark.parametrize("data", forms(MALFORMED))
    async def test_malformed_response_is_no_answer(self, session, data):
        async def check(cut):
            async with raw_server(responds(data, cut)) as server:
                with pytest.raises(MalformedResponse):
                    await get(session, server)
                await asyncio.wait_for(server.ended.wait(), 1.0)

        await asyncio.gather(*map(check, CUTS))
        assert session.connector.stray_responses == len(CUTS)

    @pytest.mark.parametrize("data", forms(SOUND))
    async def test_sound_response_is_an_answer(self, session, data):
        final = data[data.rindex(b"HTTP/1.") :]
        status = int(final.split(maxsplit=2)[1])

        async def check(cut):
            async with raw_server(responds(data, cut)) as server:
                resp, body = await get(session, server)
            assert (resp.status, body) == (status, b"body")

        await asyncio.gather(*map(check, CUTS))

    async def test_bytes_over_127_in_a_value_are_passed_on(self, session):
        data = SOUND["obsolete bytes in a value"].replace(b"{id}", ID_LINE)
        async with raw_server(responds(data, "whole")) as server:
            resp, _ = await get(session, server)
        assert dict(resp.raw_headers)[b"X-Other"] == b"caf\xe9 \xff\tend"

    async def test_connection_is_used_again_after_a_sound_response(self, session):
        connections = set()
        data = SOUND["chunks"].replace(b"{id}", b"X-Id: %s\r\n")

        async def respond(writer, head):
            connections.add(writer)
            request_id = head.partition(f"{ID_HEADER}: ")[2].partition("\r\n")[0]
            writer.write(data % request_id.encode())

        async with raw_server(respond) as server:
            for number in range(3):
                headers = {ID_HEADER: f"r{number}"}
                async with session.get(server.url, headers=headers) as resp:
                    assert await resp.read() == b"body"
        assert len(connections) == 1
