"""A client connection that reports a reset as an incomplete body."""

from __future__ import annotations

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception


class StrictConnection(ResponseHandler):
    """Protocol of one HTTP client connection.

    A body with neither a length nor chunks ends when the sender closes the connection
    in order. aiohttp also ends it if the connection is lost in any other way.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that the loss of the connection left incomplete."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            error = ClientPayloadError(f"the connection was lost: {exc}")
            set_exception(body, error, exc)
        super().connection_lost(exc)
