"""A response of an HTTP server whose end is marked by its connection alone."""

from __future__ import annotations

import socket
from typing import Any

from aiohttp import web

from ._sockets import NO_LINGER


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
        """Reset the connection, which marks the body as incomplete.

        `transport.abort` alone would close the connection in order.
        """
        if req.transport is None:
            return
        sock = req.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        req.transport.abort()
