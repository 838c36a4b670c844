"""An HTTP server whose connections hold and parse a bounded amount."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from aiohttp import HttpVersion10, HttpVersion11, web
from aiohttp.hdrs import METH_CONNECT
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from guavajunction.memory import ConnectionSlots, KernelBuffers, ParsingUse

from ._message_grammar import (
    LINE_END,
    BodyFraming,
    MalformedMessage,
    read_framing,
)
from ._request_splitter import HeadTooLarge, RequestSplitter
from ._server_bounds import ServerBounds

READ_BYTES = 16_384
"""Low-water mark of a connection's read buffer; reading pauses at twice as much."""
MAX_FIELDS = 4096
"""Number of fields of a head; a head of 16,384 bytes has fewer."""
LINGER_SECONDS = 2.0
"""Time in which the rest of a refused request is read and discarded, so that its sender
gets the answer before the connection closes."""
RETRY_AFTER_SECONDS = "1"
MAX_PARSED_AHEAD = 1
"""Parsed requests of one connection that wait."""
LINES_BESIDES_FIELDS = 2
"""The request line and the empty line of a head."""
MAX_PARSE_SECONDS = 0.2
"""Longest time that parsing the bytes of one event takes."""

_HEAD_TOO_LARGE = _ErrInfo(
    431, web.HTTPRequestHeaderFieldsTooLarge(), "the head is too large"
)
_TOO_MANY_FIELDS = _ErrInfo(
    503, web.HTTPServiceUnavailable(), "too much memory is in use for other heads"
)
_TOO_MANY_UNPARSED = _ErrInfo(
    503, web.HTTPServiceUnavailable(), "too much memory is in use for other requests"
)
_MALFORMED = _ErrInfo(400, web.HTTPBadRequest(), "the request is malformed")
_OWN_ERRORS = (_HEAD_TOO_LARGE, _TOO_MANY_FIELDS, _TOO_MANY_UNPARSED, _MALFORMED)


class BoundedConnection(RequestHandler):
    """One connection of a caller.

    At most one request is parsed ahead of the one that is being answered, a head has a
    maximum size and is parsed once it is complete, and the connection rests while
    parsing takes too much time.
    """

    __slots__ = (
        "_accepted",
        "_bounds",
        "_heads_held",
        "_is_holding",
        "_is_last",
        "_is_resting",
        "_last_payload",
        "_must_parse",
        "_slots",
        "_splitter",
        "_use",
        "last_received_at",
    )

    def __init__(
        self, manager: BoundedServer, *, loop: asyncio.AbstractEventLoop, **kwargs: Any
    ) -> None:
        super().__init__(manager, loop=loop, **kwargs)
        self._bounds = manager.bounds
        self._slots = manager.slots
        self._accepted: asyncio.BaseTransport | None = None
        """The transport until the connection is lost. aiohttp forgets it when it closes
        the connection, also while its caller leaves bytes unread."""
        # Reading is paused here, and only if a further request has arrived.
        self._max_msg_queue_size = sys.maxsize
        self._msg_queue_resume_size = 0
        self._parser = HttpRequestParser(
            self,
            loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=kwargs.get("auto_decompress", True),
        )
        self._splitter = RequestSplitter()
        self._is_holding = False
        """Whether the bound on unparsed bytes knows of bytes held here."""
        self._use = ParsingUse()
        self._is_resting = self._must_parse = False
        self._heads_held = 0
        self._is_last = False
        self._last_payload: StreamReader | None = None
        self.last_received_at = loop.time()
        """When bytes arrived last, on the monotonic clock."""

    @property
    def is_running(self) -> bool:
        """Return whether a request was received completely and is not answered."""
        req = self._current_request
        return req is not None and req.content.is_eof()

    @property
    def has_unread(self) -> bool:
        """Return whether a part of an answer has not been taken by the caller."""
        accepted = self._accepted
        return accepted is not None and accepted.get_write_buffer_size() > 0

    @property
    def is_receiving(self) -> bool:
        """Return whether the body of a request is arriving."""
        req = self._current_request
        return req is not None and not req.content.is_eof()

    @property
    def served(self) -> int:
        """Return the number of requests that the connection has carried."""
        return self._request_count

    @property
    def answering(self) -> int:
        """Return the number of the request that is being answered, from 1."""
        return self._request_count - len(self._messages)

    def shed(self) -> None:
        """Close the connection at once."""
        if self._accepted is not None:
            self._accepted.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection if there is a slot for it."""
        super().connection_made(transport)
        self._accepted = transport
        if not self._slots.add(self):
            self.shed()
            return
        buffers = self._bounds.buffers
        size = buffers.size_for(self._bounds.open_connections)
        # The listening socket has passed on the least size.
        if size > buffers.least:
            sock = transport.get_extra_info("socket")
            _set_kernel_buffers(sock, size)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back the slot."""
        self._accepted = None
        self._slots.remove(self)
        self._bounds.heads.give_back(self._heads_held)
        self._heads_held = 0
        self._splitter.clear()
        self._bounds.unparsed.hold(self, 0)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take received bytes; with none, go on with those that were received."""
        if self._has_ended:
            self._splitter.clear()
            return
        if data:
            self.last_received_at = self._loop.time()
            self._splitter.receive(data)
        if self._is_resting:
            self._must_parse = True
            return
        began = time.perf_counter()
        if not data and self._in_body:
            # The parser has kept a part of the body while its reader was behind.
            super().data_received(b"")
        self._parse_received()
        ended = time.perf_counter()
        now = self._loop.time()
        # A process that was suspended while it parsed has not used that time.
        seconds = min(ended - began, MAX_PARSE_SECONDS)
        rest = self._bounds.meter.note(self._use, seconds, now)
        if rest > 0 and not self._is_resting and not self._close:
            self._is_resting = True
            self._pause_transport_reading()
            self._loop.call_later(rest, self._end_rest)

    @property
    def _has_ended(self) -> bool:
        """Return whether nothing that arrives from now on is read."""
        return self._close or self._force_close or (self._is_last and not self._in_body)

    @property
    def _in_body(self) -> bool:
        return self._last_payload is not None and not self._last_payload.is_eof()

    @property
    def _is_ahead(self) -> bool:
        """Return whether enough requests are parsed while more were received."""
        return len(self._messages) >= MAX_PARSED_AHEAD and self._splitter.held > 0

    def _parse_received(self) -> None:
        """Parse the requests that were received, as far as they may be parsed ahead."""
        try:
            while not self._has_ended:
                if not (self._parse_body() if self._in_body else self._parse_head()):
                    break
        except HeadTooLarge:
            self._refuse_received(_HEAD_TOO_LARGE)
        except MalformedMessage:
            self._refuse_received(_MALFORMED)
        if self._has_ended:
            self._splitter.clear()
        elif self._is_ahead and not self._buffer_paused:
            self._pause_reading_for_buffer()
        held = self._splitter.held
        if held or self._is_holding:
            self._is_holding = held > 0
            self._bounds.unparsed.hold(self, held)

    def _parse_body(self) -> bool:
        """Parse the received part of a body; return whether the body has ended."""
        part = self._splitter.take_body(self._bounds.max_head_bytes())
        if part:
            super().data_received(part)
        return not self._in_body

    def _parse_head(self) -> bool:
        """Parse the next head; return whether it was complete."""
        if len(self._messages) >= MAX_PARSED_AHEAD:
            return False
        head = self._splitter.take_head(self._bounds.max_head_bytes())
        if head is None:
            return False
        held = self._bounds.heads.take(head.count(LINE_END) - LINES_BESIDES_FIELDS)
        if held is None:
            self._refuse_received(_TOO_MANY_FIELDS)
            return False
        # The parser keeps the fields until the next head or the connection's end.
        self._heads_held += held
        requests = self._request_count
        super().data_received(head)
        if self._request_count == requests:
            raise MalformedMessage("the parser found no end of the head")
        message, payload = self._messages[-1]
        if isinstance(message, _ErrInfo):
            self._is_last = True
            return False
        framing = _read_request_framing(message)
        if framing is None:
            self._refuse(_MALFORMED)
            return False
        self._splitter.begin_body(framing)
        self._last_payload = payload
        if held or message.upgrade:
            # No protocol is switched to, and aiohttp drops what follows.
            self._messages[-1] = message._replace(should_close=True), payload
            self._is_last = True
        if message.method == METH_CONNECT:
            payload.feed_eof()
        return True

    def _resume_reading_if_drained(self) -> None:
        self.data_received(b"")
        if not self._is_ahead:
            self._resume_reading_for_buffer()

    def _resume_transport_reading(self) -> None:
        if not self._is_resting:
            super()._resume_transport_reading()

    def _end_rest(self) -> None:
        self._is_resting = False
        if self.transport is None:
            return
        if self._must_parse:
            self._must_parse = False
            self.data_received(b"")
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def refuse_unparsed(self) -> None:
        """Refuse what was received and not parsed, as others need the memory."""
        self._is_holding = False
        if self._in_body:
            self.shed()
        else:
            self._refuse_received(_TOO_MANY_UNPARSED)

    def _refuse_received(self, error: _ErrInfo) -> None:
        """Refuse the request whose head or body is arriving, and read no more."""
        if not self._in_body:
            self._append_message(error)
        elif not self._messages:
            # Its reader answers; the error follows if the reader has answered before.
            exc = RequestPayloadError("the body can't be parsed")
            self._last_payload.set_exception(exc)
            self._last_payload.feed_eof()
            self._append_message(error)
        self._refuse(error)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _append_message(self, error: _ErrInfo) -> None:
        self._request_count += 1
        self._messages.append((error, EMPTY_PAYLOAD))

    def _refuse(self, error: _ErrInfo) -> None:
        """Answer the last request with an error and parse nothing more."""
        self._messages[-1] = (error, EMPTY_PAYLOAD)
        self._last_payload = EMPTY_PAYLOAD
        self._is_last = True
        self._parser = None
        self._splitter.clear()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that no handler has seen."""
        if exc not in [error.exc for error in _OWN_ERRORS]:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status, text=message)
        if status == _TOO_MANY_FIELDS.status:
            response.headers["Retry-After"] = RETRY_AFTER_SECONDS
        response.force_close()
        return response


def _read_request_framing(message: RawRequestMessage) -> BodyFraming | None:
    """Return where the body of a request ends; None if RFC 9112 allows no such head.

    aiohttp's parsers refuse the other malformed heads; they check these differently.
    """
    if message.version not in (HttpVersion10, HttpVersion11):
        return None
    try:
        is_http_1_0 = message.version == HttpVersion10
        return read_framing(message.raw_headers, is_http_1_0=is_http_1_0)
    except MalformedMessage:
        return None


class BoundedServer(web.Server):
    """Creates a `BoundedConnection` for each connection."""

    def __init__(
        self,
        handler: Callable[..., Any],
        *,
        bounds: ServerBounds,
        slots: ConnectionSlots | None = None,
        **kwargs: Any,
    ) -> None:
        """Create a server.

        Args:
            handler: Answers requests.
            bounds: What the process may hold and parse for its callers.
            slots: Slots of the connections; those of callers if omitted.
            kwargs: Arguments of aiohttp's server.
        """
        defaults = {
            "read_bufsize": READ_BYTES,
            "max_headers": MAX_FIELDS,
            "lingering_time": LINGER_SECONDS,
            # A compressed body is forwarded as it is, and expands in no buffer here.
            "auto_decompress": False,
        }
        super().__init__(handler, **(defaults | kwargs))
        self.bounds = bounds
        self.slots = slots or bounds.slots

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, loop=self._loop, **self._kwargs)


def limit_kernel_buffers(site: web.TCPSite, buffers: KernelBuffers) -> None:
    """Limit the kernel's buffers of the connections that a site will accept.

    The kernel fills them before a connection is accepted, so they begin with the least
    size. `BoundedConnection` enlarges them.
    """
    for sock in site._server.sockets if site._server else ():
        _set_kernel_buffers(sock, buffers.least)


def _set_kernel_buffers(sock: socket.socket, size: int) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
