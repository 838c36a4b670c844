"""A response of an HTTP server whose end is marked by its connection alone."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from guavajunction.connections import reset


class UnframedResponse(web.StreamResponse):
    """A response with neither a length nor chunks.

    The connection is closed after it, as HTTP requires.
    """

    _length_check = False
    """Makes aiohttp omit the chunked encoding."""

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.force_close()

    def reset(self, req: web.BaseRequest) -> None:
        """Reset the connection, which marks the body as incomplete."""
        if req.transport is not None:
            reset(req.transport)
