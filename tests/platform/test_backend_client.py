"""Tests of the HTTP client for backend servers against scripted servers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from fakes_gateway import backend, request
from guavajunction.connections import StrictConnector, serve_streams
from guavajunction.errors import AnswerCut, NotSent, OutcomeUnknown
from guavajunction.swapping import Order, OrderKind, OrderOutcome
from guavajunction_platform import _names as names
from guavajunction_platform._backend_client import BackendClient
from guavajunction_platform._deployment import (
    _open_session,
    new_tunnel_connector,
    open_order_session,
)
from guavajunction_platform._order_client import OrderClient
from raw_server import raw_server

OK = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket resets the connection."""


@contextlib.asynccontextmanager
async def serving(*answers):
    """Answer the requests to a server with the scripted answers, in order.

    Yields:
        The request heads received so far and the port of the server.
    """
    seen = []
    script = list(answers)

    async def handle(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                seen.append(head.decode())
                await script.pop(0)(writer, _request_id_in(head.decode()))

    async with serve_streams(handle, "127.0.0.1") as address:
        yield seen, int(address.rpartition(":")[2])


def _request_id_in(head):
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    return lines[names.REQUEST_ID]


def complete_response(text="done"):
    async def answer(writer, request_id):
        head = OK.format(id=request_id) + f"Content-Length: {len(text)}\r\n\r\n"
        writer.write(head.encode() + text.encode())

    return answer


async def close(writer, _):
    writer.close()


async def response_to_another_request(writer, _):
    writer.write((OK.format(id="other") + "Content-Length: 0\r\n\r\n").encode())


def unframed_response(*, reset, after_seconds=0.05):
    async def answer(writer, request_id):
        writer.write((OK.format(id=request_id) + "\r\npart").encode())
        await writer.drain()
        await asyncio.sleep(after_seconds)
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    return answer


async def send(session, port, *, method="GET"):
    record = backend("b1", "bookings", address=f"127.0.0.1:{port}")
    req = request("/look/1")._replace(
        method=method, headers=((names.REQUEST_ID, "mine"),), request_id="mine"
    )
    client = BackendClient(session)
    sent = client.send(record, req, customer="c", priority=1, seconds_left=2.0)
    async with sent as answer:
        return b"".join([chunk async for chunk in answer.chunks()])


class TestSends:
    """Each call sends one request; an incomplete response raises an error.

    aiohttp resends idempotent requests on a closed keep-alive connection by default. A
    request could then run twice.
    """

    @pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
    async def test_closed_keepalive_connection_causes_no_second_send(self, method):
        async with (
            serving(complete_response(), close, complete_response()) as (seen, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            assert await send(http, port, method=method) == b"done"
            with pytest.raises(OutcomeUnknown):
                await send(http, port, method=method)
            assert len(seen) == 2

    async def test_answer_to_another_request_is_outcome_unknown(self):
        async with (
            serving(response_to_another_request) as (_, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            with pytest.raises(OutcomeUnknown):
                await send(http, port)

    async def test_answer_is_compared_without_the_help_of_its_connection(self):
        async with (
            serving(response_to_another_request) as (_, port),
            _open_session(StrictConnector()) as http,
        ):
            with pytest.raises(OutcomeUnknown, match="answered another request"):
                await send(http, port)

    async def test_body_without_a_length_ends_with_its_connection(self):
        async with (
            serving(unframed_response(reset=False)) as (_, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            assert await send(http, port) == b"part"

    async def test_body_without_a_length_that_is_reset_is_cut(self):
        async with (
            serving(unframed_response(reset=True)) as (_, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            with pytest.raises(AnswerCut):
                await send(http, port)

    @pytest.mark.parametrize("named", ["own", "other"])
    @pytest.mark.parametrize(
        ("coding", "error"),
        [
            ("", AnswerCut),
            # A transfer coding that was not offered makes the head itself malformed.
            ("gzip", OutcomeUnknown),
            ("chunked, gzip", OutcomeUnknown),
            ("xchunked", OutcomeUnknown),
        ],
    )
    async def test_body_without_a_length_that_another_response_follows_is_cut(
        self, named, coding, error
    ):
        field = f"Transfer-Encoding: {coding}\r\n" if coding else ""

        async def answer(writer, request_id):
            writer.write((OK.format(id=request_id) + f"{field}\r\nbody").encode())
            copied_id = request_id if named == "own" else "other"
            writer.write((OK.format(id=copied_id) + "\r\nbody").encode())
            writer.close()

        async with (
            serving(answer) as (_, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            with pytest.raises(error):
                await send(http, port)

    async def test_malformed_answer_is_outcome_unknown_and_no_lost_connection(self):
        """A lost connection would count towards the crashes of the backend server."""

        async def answer(writer, request_id):
            head = OK.format(id=request_id).replace("200 OK", "000 OK")
            writer.write((head + "Content-Length: 4\r\n\r\nbody").encode())

        async with (
            serving(answer) as (_, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            with pytest.raises(OutcomeUnknown, match="malformed status line") as info:
                await send(http, port)
        assert not info.value.connection_lost

    async def test_malformed_chunk_cuts_the_answer(self):
        async def answer(writer, request_id):
            head = OK.format(id=request_id) + "Transfer-Encoding: chunked\r\n\r\n"
            writer.write((head + "4\r\nbody\r\n").encode())
            await asyncio.sleep(0.05)
            writer.write(b"0 \r\n\r\n")

        async with (
            serving(answer) as (_, port),
            _open_session(new_tunnel_connector()) as http,
        ):
            with pytest.raises(AnswerCut, match="malformed") as info:
                await send(http, port)
        assert not info.value.connection_lost

    async def test_refused_connection_means_not_sent(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        async with _open_session(new_tunnel_connector()) as http:
            with pytest.raises(NotSent):
                await send(http, port)


class TestOrders:
    """The copy of an earlier answer does not pass for the answer to an order."""

    async def test_order_after_a_report_that_is_answered_twice(self):
        async def respond(writer, head):
            if head.startswith("POST"):
                writer.write(b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
                return
            body = b'{"sequence": 1, "busy": false, "models": []}'
            text = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            answer = text.encode() + body
            writer.write(answer)
            asyncio.get_running_loop().call_later(0.001, writer.write, answer)

        async with raw_server(respond) as server, open_order_session() as session:
            client = OrderClient(session)
            record = backend("b1", "engines", address=server.address)
            await client.report(record)
            order = Order(OrderKind.UNLOAD, "m1", "", "front-1", 1, 1)
            assert await client.send(record, order) is OrderOutcome.CONFLICT
