"""A client connection that fails bodies which are incomplete or never end."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http import HttpProcessingError, RawResponseMessage

from . import _events as events
from ._message_grammar import MalformedMessage, ResponseGrammar

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


class InvalidResponse(ClientPayloadError):
    """What a server sent is not the response to the request."""


class WrongResponse(InvalidResponse):
    """A response belongs to another request, or names none."""


class MalformedResponse(InvalidResponse):
    """The bytes that a server sent are no response."""


class StrictConnection(ResponseHandler):
    """Protocol of one HTTP client connection.

    A body with neither a length nor chunks ends when the sender closes the connection
    in order. aiohttp also ends it if the connection is lost in any other way.

    A faulty server may send interim heads, chunk sizes or chunk extensions without end.
    aiohttp reads them until the request times out. Here their size is limited in
    relation to the body. Bytes after the end of a response close the connection, and so
    does a response that does not name its request, before the connection is used again.

    Bytes that violate the grammar close the connection before aiohttp parses them: its
    two parsers accept different malformed heads and chunks.

    aiohttp returns a connection to its pool while it still parses the segment with the
    end of a response. Whatever follows in that segment would wait for the next request.
    """

    MAX_FRAMING_BYTES = 262_144
    """Bytes of heads and chunk framing that a response may have in any case."""
    MAX_FRAMING_RATIO = 16
    """Further bytes of framing that are accepted for each byte of the body. Chunks of
    one byte need 6."""
    MAX_LOGGED_ID = 64
    """Number of characters of an id that are logged."""
    MAX_CARRIED = 256
    """Number of requests after which a connection is closed, as it remembers them."""

    def __init__(
        self,
        *args: Any,
        id_header: str = "",
        id_required: bool = True,
        on_stray: Callable[[], None] = lambda: None,
        **kwargs: Any,
    ) -> None:
        """Create the protocol of a connection that is not open yet.

        Args:
            args: Arguments of aiohttp's protocol.
            id_header: Header by which a response names its request.
            id_required: Whether a response without that header is wrong as well.
            on_stray: Called for each response, or bytes, that belong to no request.
            kwargs: Arguments of aiohttp's protocol.
        """
        super().__init__(*args, **kwargs)
        self._on_stray = on_stray
        self._id_header = id_header
        self._id_required = id_required
        self._expected_id: str | None = None
        self._carried: set[str] = set()
        self._had_unnamed = False
        """Whether a response did not name its request, so that its copy would pass for
        the response to any other."""
        self._received_bytes = 0
        self._grammar = ResponseGrammar()
        self._body: Any = None

    @property
    def should_close(self) -> bool:
        """Return whether the connection must not be used again."""
        return (
            self._had_unnamed
            or len(self._carried) >= self.MAX_CARRIED
            or super().should_close
        )

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request was sent here, whose response may be copied."""
        return request_id in self._carried

    def expect(self, request_id: str | None) -> None:
        """Record the request that is about to be sent.

        Args:
            request_id: Id that the response must repeat; None if it need not.
        """
        self._expected_id = request_id
        if request_id is not None:
            self._carried.add(request_id)

    def set_response_params(self, *, skip_payload: bool = False, **kwargs: Any) -> None:
        """Prepare for the response to the next request."""
        self._received_bytes = 0
        self._grammar = ResponseGrammar(has_body=not skip_payload)
        self._body = None
        super().set_response_params(skip_payload=skip_payload, **kwargs)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head and its body from the parser."""
        message, body = data
        named_id = message.headers.get(self._id_header)
        if self._body is not None:
            self._note_stray("with the end of the response", named_id)
            self._fail(WrongResponse("the server sent a second response"))
            return
        if message.code >= 200:
            if not self._is_expected(named_id):
                self._note_stray("instead of the response", named_id)
                self._fail(WrongResponse(f"the response is to request {named_id!r}"))
                return
            if self._is_joined(message):
                self._note_stray("joined with the response", named_id)
                self._fail(WrongResponse("the head of the response has two beginnings"))
                return
            self._had_unnamed = self._expected_id is not None and named_id is None
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the transport; fail if they belong to no response."""
        if not data or self._parser is None:
            # aiohttp resumes reading, or keeps the bytes until a request is sent.
            super().data_received(data)
            return
        if self._exception is not None:
            return
        self._received_bytes += len(data)
        try:
            pieces = self._grammar.feed(data)
        except MalformedMessage as exc:
            self._note_stray("in a malformed response", None)
            self._fail(MalformedResponse(str(exc)))
            return
        # The parser discards a head if it fails on what follows in the same call.
        for piece in pieces:
            self._receive(piece)
            if self._exception is not None:
                return
        body_bytes = self._body.total_bytes if self._body is not None else 0
        limit = self.MAX_FRAMING_BYTES + self.MAX_FRAMING_RATIO * body_bytes
        if self._received_bytes - body_bytes > limit:
            self._fail(
                ClientPayloadError(f"the response has over {limit} bytes of framing")
            )

    def _receive(self, data: bytes) -> None:
        if self._has_ended:
            self._note_stray("after the response", None)
            self._fail_after_end()
            return
        super().data_received(data)
        if not self._has_ended:
            return
        if isinstance(self._exception, HttpProcessingError):
            self._note_stray("with the end of the response", None)
        elif self._is_in_next_head():
            self._note_stray("with the end of the response", None)
            self._fail_after_end()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that the loss of the connection left incomplete."""
        if exc is not None:
            self._fail_body(ClientPayloadError(f"the connection was lost: {exc}"))
        super().connection_lost(exc)

    @property
    def _has_ended(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _is_in_next_head(self) -> bool:
        """Return whether a part of a head follows the response in the same segment."""
        if self._exception is not None or self._parser is None:
            return False
        if getattr(self._parser, "_tail", b""):
            # The parser without extensions; its `feed_eof` returns whole heads only.
            return True
        try:
            return self._parser.feed_eof() is not None
        except Exception:
            # The part cannot be parsed as a head.
            return True

    def _is_expected(self, named_id: str | None) -> bool:
        if self._expected_id is None or (named_id is None and not self._id_required):
            return True
        return named_id == self._expected_id

    def _is_joined(self, message: RawResponseMessage) -> bool:
        """Return whether a head begins with a part of another head.

        The status line of the second one is then in the reason, or in the value of a
        field before the second one's id.
        """
        if _STATUS_LINE.search((message.reason or "").encode("utf-8", "replace")):
            return True
        id_header = self._id_header.lower().encode("ascii")
        fields = [(name.lower(), value) for name, value in message.raw_headers]
        ids = [n for n, (name, _) in enumerate(fields) if name == id_header]
        if not ids:
            return False
        before = (value for _, value in fields[: ids[0]])
        return len(ids) > 1 or any(map(_STATUS_LINE.search, before))

    def _note_stray(self, place: str, named_id: str | None) -> None:
        """Log and count bytes that belong to no request of the connection.

        Args:
            place: Where they arrived, relative to the response to the last request.
            named_id: Id of the request that they name, if any.
        """
        self._on_stray()
        address = self.transport and self.transport.get_extra_info("peername")
        events.STRAY_RESPONSE.log(
            server=address and f"{address[0]}:{address[1]}",
            place=place,
            request_id=self._expected_id,
            named_id=named_id and named_id[: self.MAX_LOGGED_ID],
            carried=len(self._carried),
        )

    def _fail_after_end(self) -> None:
        self._fail(
            ClientPayloadError("the server sent bytes after the end of its response")
        )

    def _fail(self, error: ClientPayloadError) -> None:
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self, error: ClientPayloadError) -> None:
        body = self._payload
        if body is not None and not body.is_eof():
            set_exception(body, error)
