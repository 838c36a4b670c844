"""Writes relayed answers to the caller's HTTP response."""

from __future__ import annotations

from aiohttp import web

from guavajunction.connections import RelayedResponse
from guavajunction.errors import RequestError

from ._errors import REQUEST_ID_HEADER, error_body


class ResponseSink:
    """Streams a relayed answer to the caller."""

    def __init__(
        self, req: web.Request, request_id: str, *, close_connection: bool
    ) -> None:
        """Create a sink for one answer.

        Args:
            req: The caller's request.
            request_id: Id sent in the response headers and in error bodies.
            close_connection: Whether to close the connection after the answer.
        """
        self._req = req
        self._request_id = request_id
        self._close_connection = close_connection
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Return whether the status line has been sent."""
        return self._response is not None

    async def start(self, status: int, content_type: str) -> None:
        """Send the status line and headers."""
        headers = {
            "Content-Type": content_type,
            REQUEST_ID_HEADER: self._request_id,
            "Cache-Control": "no-store",
        }
        response = RelayedResponse(status=status, headers=headers)
        if self._close_connection:
            response.force_close()
        self._response = response
        await response.prepare(self._req)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        assert self._response is not None
        await self._response.write(chunk)

    async def finish(self) -> web.StreamResponse:
        """End a complete answer."""
        assert self._response is not None
        await self._response.write_eof()
        return self._response

    async def fail(self, exc: RequestError) -> web.StreamResponse:
        """End an incomplete stream with an error event.

        The end mark is omitted, so that clients detect that the answer is incomplete.
        """
        assert self._response is not None
        body = error_body(exc, self._request_id)
        await self._response.write(b"event: error\ndata: " + body + b"\n\n")
        await self._response.write_eof()
        return self._response
