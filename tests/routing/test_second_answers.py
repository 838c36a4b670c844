"""Tests of engines and plain services that write another answer behind the first."""

from __future__ import annotations

import asyncio
import re

import pytest

from fakes_routing import DESK, Sink, Times, customer, request, service_router
from guavajunction.errors import OutcomeUnknown
from guavajunction.routing import (
    DecisionLog,
    EngineRequest,
    ServiceRequest,
    engine_session,
    single_send_session,
)
from guavajunction.routing._engine_call import EngineCall, EngineRefused, StreamCut
from raw_server import raw_server

PAUSE_SECONDS = 0.05
"""Long enough for what was written before to arrive by itself."""
REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
UNNAMED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def head_of(request_id, framing="X-Framing: none"):
    lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", framing, "", ""]
    return "\r\n".join(lines).encode()


def whole_body(request_id):
    return f'{{"id":"chatcmpl-{request_id}"}}'.encode()


def stream_body(request_id, events=2):
    numbered = (
        f'id: {number}\ndata: {{"id":"chatcmpl-{request_id}"}}\n\n'
        for number in range(events)
    )
    return "".join((*numbered, f"id: {events}\ndata: [DONE]\n\n")).encode()


def answer_to(request_id, *, stream):
    """Return head and body; a stream comes in chunks."""
    if not stream:
        body = whole_body(request_id)
        return head_of(request_id, f"Content-Length: {len(body)}"), body
    body = stream_body(request_id)
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return head_of(request_id, "Transfer-Encoding: chunked"), chunks


def id_in(head):
    return re.search(r"X-Request-Id: (\S+)", head)[1]


class RepeatingServer:
    """Writes an answer behind the first one, on the same connection."""

    def __init__(self, place, *, stream, named):
        self._place = place
        self._stream = stream
        self._copy = b"".join(answer_to(named, stream=stream))
        self._repeated_on = None

    async def respond(self, writer, head):
        head, body = answer_to(id_in(head), stream=self._stream)
        if self._repeated_on is not None:
            is_due = self._place == "before the next" and self._repeated_on is writer
            writer.write((self._copy if is_due else b"") + head + body)
            return
        self._repeated_on = writer
        writer.write(head)
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(body + (self._copy if self._place == "same segment" else b""))
        if self._place == "later":
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(self._copy)


async def call_engine(session, server, request_id, sink, *, stream):
    req = request(customer("one"))._replace(request_id=request_id)
    engine_req = EngineRequest(req, "/", b"{}", stream)
    call = EngineCall(session, engine_req, sink, Times(), DecisionLog())
    await call.run("e", server.address)
    return sink.body


async def call_service(session, server, request_id):
    router = service_router(session, {"s": server.address})
    req = ServiceRequest(request_id, "POST", "/bookings", {}, b"")
    return (await router.call(DESK, req, lambda: None)).body


@pytest.mark.parametrize("place", ["same segment", "later", "before the next"])
@pytest.mark.parametrize("named", ["aaaa", "earlier"])
@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
class TestNextRequest:
    """A request never gets the answer that was written behind an earlier one."""

    async def test_engine_answers_twice(self, place, named, stream):
        server = RepeatingServer(place, stream=stream, named=named)
        body_of = stream_body if stream else whole_body
        async with raw_server(server.respond) as running, engine_session() as session:
            for request_id in ("aaaa", "bbbb"):
                sink = Sink()
                try:
                    await call_engine(session, running, request_id, sink, stream=stream)
                except StreamCut:
                    assert (place, request_id) == ("before the next", "bbbb")
                    assert sink.body == b""
                else:
                    assert sink.body == body_of(request_id)
                if place == "later":
                    await asyncio.wait_for(running.ended.wait(), 1.0)

    async def test_service_answers_twice(self, place, named, stream):
        server = RepeatingServer(place, stream=stream, named=named)
        body_of = stream_body if stream else whole_body
        async with (
            raw_server(server.respond) as running,
            single_send_session() as session,
        ):
            for request_id in ("aaaa", "bbbb"):
                body = await call_service(session, running, request_id)
                assert body == body_of(request_id)


class TestUnframedAnswers:
    """An answer that only the connection ends carries no other answer."""

    @pytest.mark.parametrize("own_bytes", range(0, 60, 3))
    @pytest.mark.parametrize("events", [0, 1])
    @pytest.mark.parametrize(
        "head", [head_of("bbbb"), UNNAMED_HEAD], ids=["named", "unnamed"]
    )
    async def test_stream_that_is_cut_does_not_go_on_with_another(
        self, own_bytes, events, head
    ):
        async def respond(writer, _):
            own = stream_body("aaaa")[:own_bytes]
            other = head + stream_body("bbbb", events)
            writer.write(head_of("aaaa") + own + other)
            writer.close()

        sink = Sink()
        async with raw_server(respond) as server, engine_session() as session:
            with pytest.raises(StreamCut):
                await call_engine(session, server, "aaaa", sink, stream=True)
        assert stream_body("aaaa").startswith(sink.body)

    async def test_whole_answer_with_another_behind_it_is_not_relayed(self):
        async def respond(writer, head):
            other = head_of("bbbb") + whole_body("bbbb")
            writer.write(head_of(id_in(head)) + whole_body(id_in(head)) + other)
            writer.close()

        sink = Sink()
        async with raw_server(respond) as server, engine_session() as session:
            with pytest.raises(StreamCut):
                await call_engine(session, server, "aaaa", sink, stream=False)
        assert sink.body == b""

    async def test_call_of_a_service_does_not_get_another_answer_as_well(self):
        async def respond(writer, head):
            other = head_of("bbbb") + whole_body("bbbb")
            writer.write(head_of(id_in(head)) + whole_body("aaaa") + other)
            writer.close()

        async with raw_server(respond) as server, single_send_session() as session:
            with pytest.raises(OutcomeUnknown):
                await call_service(session, server, "aaaa")


class TestUnnamedRefusals:
    """A refusal that names no request is not taken for that of another request."""

    async def test_refusal_that_is_written_again_refuses_no_other_request(self):
        refused_on = []

        async def respond(writer, head):
            if refused_on and writer not in refused_on:
                writer.write(b"".join(answer_to(id_in(head), stream=False)))
                return
            refused_on.append(writer)
            writer.write(REFUSAL)

        async with raw_server(respond) as server, engine_session() as session:
            with pytest.raises(EngineRefused):
                await call_engine(session, server, "aaaa", Sink(), stream=False)
            body = await call_engine(session, server, "bbbb", Sink(), stream=False)
        assert body == whole_body("bbbb")
