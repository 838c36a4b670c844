"""Tests of responses that a server writes again, and of other stray bytes."""

from __future__ import annotations

import asyncio

import aiohttp
import eliot
import pytest
from aiohttp.client_proto import ResponseHandler

from guavajunction.connections import (
    MalformedResponse,
    ResponseGrammar,
    StrictConnection,
    StrictConnector,
)
from raw_server import raw_server

ID_HEADER = "X-Id"
STRAY_RESPONSE = 2200
PAUSE_SECONDS = 0.05
"""Long enough for what was written before to arrive by itself."""


def head_of(request_id, *, chunked=True):
    framing = (
        "Transfer-Encoding: chunked"
        if chunked
        else f"Content-Length: {len(request_id)}"
    )
    lines = ["HTTP/1.1 200 OK", f"{ID_HEADER}: {request_id}", framing, "", ""]
    return "\r\n".join(lines).encode()


def body_of(request_id, *, chunked=True):
    if not chunked:
        return request_id.encode()
    return f"{len(request_id):x}\r\n{request_id}\r\n0\r\n\r\n".encode()


def response_to(request_id, *, chunked=True):
    return head_of(request_id, chunked=chunked) + body_of(request_id, chunked=chunked)


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


class RepeatingServer:
    """Writes more bytes with the end of its first response.

    Its other responses have nothing wrong, apart from bytes that are left over.
    """

    def __init__(self, *, chunked, extra, rest=b""):
        self._chunked = chunked
        self._extra = extra
        self._rest = rest
        """Bytes that precede the second response on the same connection."""
        self._repeated_on = None

    async def respond(self, writer, head):
        request_id = id_in(head)
        body = body_of(request_id, chunked=self._chunked)
        if self._repeated_on is None:
            self._repeated_on = writer
            writer.write(head_of(request_id, chunked=self._chunked))
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(body + self._extra)
            return
        if self._repeated_on is writer:
            writer.write(self._rest)
        writer.write(head_of(request_id, chunked=self._chunked) + body)


@pytest.mark.parametrize("chunked", [True, False], ids=["chunks", "length"])
class TestNextRequest:
    """A request never gets what a server wrote with the end of an earlier response."""

    async def assert_next_gets_its_own(self, session, repeating):
        async with raw_server(repeating.respond) as server:
            assert await get(session, server, "aaaa") == ("aaaa", "aaaa")
            assert await get(session, server, "bbbb") == ("bbbb", "bbbb")

    @pytest.mark.parametrize("named", ["aaaa", "earlier"])
    async def test_next_request_does_not_get_the_copy_of_a_response(
        self, session, chunked, named
    ):
        copy = response_to(named, chunked=chunked)
        repeating = RepeatingServer(chunked=chunked, extra=copy)
        await self.assert_next_gets_its_own(session, repeating)

    async def test_next_request_does_not_get_a_copy_that_is_cut_anywhere(self, chunked):
        copy = response_to("aaaa", chunked=chunked)

        async def check(cut):
            connector = StrictConnector(id_header=ID_HEADER)
            async with aiohttp.ClientSession(connector=connector) as session:
                repeating = RepeatingServer(
                    chunked=chunked, extra=copy[:cut], rest=copy[cut:]
                )
                await self.assert_next_gets_its_own(session, repeating)

        await asyncio.gather(*(check(cut) for cut in range(1, len(copy))))

    async def test_next_request_does_not_wait_for_an_interim_response(
        self, session, chunked
    ):
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        repeating = RepeatingServer(chunked=chunked, extra=interim * 2)
        await self.assert_next_gets_its_own(session, repeating)


class TestWholeResponse:
    """A response that has arrived whole is not lost, whatever follows it."""

    @pytest.mark.parametrize("cut", [0, 1, 2, 3, 4])
    @pytest.mark.parametrize("extra", [b"garbage", b"\0", b"HTTP/1.1 9", b"\r\nx"])
    @pytest.mark.parametrize("chunked", [True, False], ids=["chunks", "length"])
    async def test_response_is_not_lost_with_the_garbage_in_its_segment(
        self, session, chunked, extra, cut
    ):
        async def respond(writer, head):
            request_id = id_in(head)
            head = head_of(request_id, chunked=chunked)
            # The end of the head is split between two segments unless the cut is 0.
            writer.write(head[: len(head) - cut] if cut else b"")
            await asyncio.sleep(PAUSE_SECONDS if cut else 0)
            rest = head[len(head) - cut :] if cut else head
            writer.write(rest + body_of(request_id, chunked=chunked) + extra)

        async with raw_server(respond) as server:
            assert await get(session, server, "aaaa") == ("aaaa", "aaaa")
            assert await get(session, server, "bbbb") == ("bbbb", "bbbb")


class JoinedServer:
    """Writes the beginning of a head, and then the response to each request."""

    def __init__(self, beginning, *, seal_first):
        self._beginning = beginning
        self._seal_first = seal_first

    async def respond(self, writer, head):
        writer.write(self._beginning)
        request_id = id_in(head)
        writer.write(sealed_head(request_id, 500, seal_first=self._seal_first))
        writer.write(request_id.encode())


def sealed_head(request_id, status, *, seal_first):
    lines = [f"{ID_HEADER}: {request_id}", f"X-Seal: seal of {request_id}"]
    if seal_first:
        lines.reverse()
    length = f"Content-Length: {len(request_id)}"
    return "\r\n".join([f"HTTP/1.1 {status} Any", *lines, length, "", ""]).encode()


class TestJoinedHeads:
    """The rest of a head that was never completed changes no response."""

    @pytest.mark.parametrize("status", [200, 503])
    @pytest.mark.parametrize("named", ["aaaa", "bbbb"])
    @pytest.mark.parametrize("seal_first", [True, False])
    async def test_head_that_is_joined_of_two_is_no_response(
        self, status, named, seal_first
    ):
        head = sealed_head(named, status, seal_first=seal_first)

        async def check(cut):
            connector = StrictConnector(id_header=ID_HEADER)
            joined = JoinedServer(head[:cut], seal_first=seal_first)
            async with (
                aiohttp.ClientSession(connector=connector) as session,
                raw_server(joined.respond) as server,
            ):
                with pytest.raises(aiohttp.ClientError):
                    await get(session, server, "bbbb")

        await asyncio.gather(*(check(cut) for cut in range(1, len(head))))

    async def test_response_that_quotes_a_status_line_is_not_lost(self, session):
        async def respond(writer, head):
            quoted = "X-Upstream-Error: HTTP/1.1 503 Service Unavailable\r\n\r\n"
            head = head_of(id_in(head)).decode().removesuffix("\r\n") + quoted
            writer.write(head.encode() + body_of("aaaa"))

        async with raw_server(respond) as server:
            assert await get(session, server, "aaaa") == ("aaaa", "aaaa")


class TestStatuses:
    """A status that HTTP does not know is no interim response."""

    async def test_response_with_a_status_below_100_is_compared(self, session):
        async def respond(writer, _):
            writer.write(response_to("other").replace(b"200 OK", b"050 OK"))

        async with raw_server(respond) as server:
            with pytest.raises(aiohttp.ClientPayloadError):
                await get(session, server, "aaaa")


class TestManyHeads:
    """Heads before a response cost no more calls of the parser than a few."""

    @pytest.mark.parametrize(
        ("piece", "is_parsed"),
        [(b"\r\n", False), (b"HTTP/1.1 103 Early\r\n\r\n", True)],
    )
    async def test_many_heads_in_one_segment_are_not_parsed_one_by_one(
        self, monkeypatch, piece, is_parsed
    ):
        calls = []
        receive = ResponseHandler.data_received
        monkeypatch.setattr(
            ResponseHandler,
            "data_received",
            lambda self, data: calls.append(len(data)) or receive(self, data),
        )
        connection = StrictConnection(asyncio.get_running_loop(), id_header=ID_HEADER)
        connection.set_response_params()
        data = piece * (262_144 // len(piece))
        connection.data_received(data)
        assert sum(calls) == (len(data) if is_parsed else 0)
        assert is_parsed or isinstance(connection.exception(), MalformedResponse)
        assert len(calls) <= ResponseGrammar.MAX_HEADS_APART + 1
