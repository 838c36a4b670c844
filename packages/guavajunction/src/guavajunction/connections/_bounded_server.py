"""An HTTP server whose connections hold and parse a bounded amount."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

from aiohttp import HttpVersion10, HttpVersion11, web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from guavajunction.memory import (
    ConnectionSlots,
    HeadAllowance,
    ParsingMeter,
    ParsingUse,
)

from ._message_grammar import MalformedMessage, read_framing

READ_BYTES = 16_384
"""Low-water mark of a connection's read buffer; reading pauses at twice as much."""
KERNEL_BYTES = 65_536
"""Size of the kernel's buffers of a connection. Without it, the kernel holds several
megabytes for each."""
MAX_FIELDS = 4096
"""Number of fields of a head; a head of 16,384 bytes has fewer."""
MAX_HEAD_BYTES = 131_072
"""Largest head, for a deployment without a limit of its own."""
LINGER_SECONDS = 2.0
"""Time in which the rest of a refused request is read and discarded, so that its sender
gets the answer before the connection closes."""
RETRY_AFTER_SECONDS = "1"
MAX_PARSED_AHEAD = 2
"""Parsed requests of one connection that wait. With one, each request would pause and
resume its transport, which costs two system calls."""
READ_AHEAD_BYTES = 65_536
"""Bytes that may arrive with the end of a head."""
MAX_PARSE_SECONDS = 0.2
"""Longest time that parsing the bytes of one event takes."""
FIELD_FRAME_BYTES = 4
"""Bytes of a field besides its name and value."""

_HEAD_TOO_LARGE = _ErrInfo(
    431, web.HTTPRequestHeaderFieldsTooLarge(), "the head is too large"
)
_TOO_MANY_FIELDS = _ErrInfo(
    503, web.HTTPServiceUnavailable(), "too much memory is in use for other heads"
)
_MALFORMED = _ErrInfo(400, web.HTTPBadRequest(), "the request is malformed")
_OWN_ERRORS = (_HEAD_TOO_LARGE, _TOO_MANY_FIELDS, _MALFORMED)


class BoundedConnection(RequestHandler):
    """One connection of a caller.

    At most two requests are parsed ahead of the one that is being answered, a head has
    a maximum size, and the connection rests while parsing takes too much time.
    """

    __slots__ = (
        "_accepted",
        "_bounds",
        "_head_bytes",
        "_heads_held",
        "_is_last",
        "_is_resting",
        "_last_payload",
        "_must_parse",
        "_use",
        "last_received_at",
    )

    def __init__(
        self, manager: BoundedServer, *, loop: asyncio.AbstractEventLoop, **kwargs: Any
    ) -> None:
        super().__init__(manager, loop=loop, **kwargs)
        self._bounds = manager
        self._accepted: asyncio.BaseTransport | None = None
        """The transport until the connection is lost. aiohttp forgets it when it closes
        the connection, also while its caller leaves bytes unread."""
        # aiohttp queues up to 32 parsed requests, each with up to 4,096 fields.
        self._max_msg_queue_size = MAX_PARSED_AHEAD
        self._msg_queue_resume_size = MAX_PARSED_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=kwargs.get("auto_decompress", True),
            # The parser drops the requests that it completed in the same call as an
            # error, so it stops after each of them.
            max_msg_queue_size=1,
        )
        self._use = ParsingUse()
        self._is_resting = self._must_parse = False
        self._head_bytes = 0
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
        if not self._bounds.slots.add(self):
            self.shed()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back the slot."""
        self._accepted = None
        self._bounds.slots.remove(self)
        self._bounds.heads.give_back(self._heads_held)
        self._heads_held = 0
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; with none, parse what was left unparsed."""
        if self._is_last and (
            self._last_payload is None or self._last_payload.is_eof()
        ):
            return
        if self._is_resting and not data:
            self._must_parse = True
            return
        if data:
            self.last_received_at = self._loop.time()
        began = time.perf_counter()
        while self._parse(data) and self._may_parse_more:
            data = b""
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
    def _may_parse_more(self) -> bool:
        return (
            not (self._is_last or self._close or self._force_close)
            and len(self._messages) < MAX_PARSED_AHEAD
        )

    def _parse(self, data: bytes) -> bool:
        """Parse bytes up to the end of a request; return whether it was reached."""
        in_head = self._last_payload is None or self._last_payload.is_eof()
        requests = self._request_count
        super().data_received(data)
        if self._request_count != requests:
            if not in_head and not self._last_payload.is_eof():
                self._fail_body(self._last_payload)
            self._head_bytes = 0
            self._last_payload = self._messages[-1][1]
            self._check_heads(self._request_count - requests)
            return self._last_payload.is_eof()
        if in_head and not self._buffer_paused:
            self._head_bytes += len(data)
            if self._head_bytes > self._bounds.max_head_bytes() + READ_AHEAD_BYTES:
                self._refuse_unfinished_head()
        return not in_head and self._last_payload.is_eof()

    def _fail_body(self, payload: StreamReader) -> None:
        """End a body in which an error was found, also for its reader."""
        payload.set_exception(RequestPayloadError("the body can't be parsed"))
        payload.feed_eof()

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

    def _check_heads(self, count: int) -> None:
        """Refuse those of the requests parsed last whose heads are too large."""
        latest = [self._messages.pop() for _ in range(count)]
        while latest and not self._is_last:
            self._messages.append(latest.pop())
            self._check_last_head()

    def _check_last_head(self) -> None:
        message, payload = self._messages[-1]
        if isinstance(message, _ErrInfo):
            self._is_last = True
            return
        if not _is_well_formed(message):
            self._refuse(_MALFORMED)
            return
        fields = message.raw_headers
        size = sum(len(name) + len(value) + FIELD_FRAME_BYTES for name, value in fields)
        if size > self._bounds.max_head_bytes():
            self._refuse(_HEAD_TOO_LARGE)
            return
        held = self._bounds.heads.take(len(fields))
        if held is None:
            self._refuse(_TOO_MANY_FIELDS)
            return
        if held:
            # The parser keeps the fields until the next head or the connection's end.
            self._heads_held += held
        if held or message.upgrade:
            # The parser drops what follows a request to switch protocols.
            self._messages[-1] = message._replace(should_close=True), payload
            self._last_payload = payload
            self._is_last = True

    def _refuse(self, error: _ErrInfo) -> None:
        """Answer the last request with an error and parse nothing more."""
        self._messages[-1] = (error, EMPTY_PAYLOAD)
        self._last_payload = EMPTY_PAYLOAD
        self._is_last = True
        self._parser = None

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
        if exc is _TOO_MANY_FIELDS.exc:
            response.headers["Retry-After"] = RETRY_AFTER_SECONDS
        response.force_close()
        return response

    def _refuse_unfinished_head(self) -> None:
        self._messages.append((_HEAD_TOO_LARGE, EMPTY_PAYLOAD))
        self._refuse(_HEAD_TOO_LARGE)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _is_well_formed(message: RawRequestMessage) -> bool:
    """Return whether the version and the framing of a request are as in RFC 9112.

    aiohttp's parsers refuse the other malformed heads; they check these differently.
    """
    if message.version not in (HttpVersion10, HttpVersion11):
        return False
    try:
        is_http_1_0 = message.version == HttpVersion10
        read_framing(message.raw_headers, is_http_1_0=is_http_1_0)
    except MalformedMessage:
        return False
    return True


class BoundedServer(web.Server):
    """Creates a `BoundedConnection` for each connection."""

    def __init__(
        self,
        handler: Callable[..., Any],
        *,
        slots: ConnectionSlots,
        meter: ParsingMeter,
        heads: HeadAllowance,
        max_head_bytes: Callable[[], int] = lambda: MAX_HEAD_BYTES,
        **kwargs: Any,
    ) -> None:
        """Create a server.

        Args:
            handler: Answers requests.
            slots: Open connections of the process.
            meter: Parsing time of the process.
            heads: What heads with very many fields may hold.
            max_head_bytes: Returns the size of the largest head.
            kwargs: Arguments of aiohttp's server.
        """
        bounds = {
            "read_bufsize": READ_BYTES,
            "max_headers": MAX_FIELDS,
            "lingering_time": LINGER_SECONDS,
            # A compressed body is forwarded as it is, and expands in no buffer here.
            "auto_decompress": False,
        }
        super().__init__(handler, **(bounds | kwargs))
        self.slots = slots
        self.meter = meter
        self.heads = heads
        self.max_head_bytes = max_head_bytes

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, loop=self._loop, **self._kwargs)


def limit_kernel_buffers(site: web.TCPSite) -> None:
    """Limit the kernel's buffers of the connections that a site will accept."""
    for sock in site._server.sockets if site._server else ():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
