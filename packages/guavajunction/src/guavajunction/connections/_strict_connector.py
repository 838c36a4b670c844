"""Pool of HTTP client connections of the type `StrictConnection`."""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.connector import Connection

from ._strict_connection import StrictConnection


class StrictConnector(aiohttp.TCPConnector):
    """Opens the connections of an `aiohttp.ClientSession`.

    A faulty server may write a response a second time, also after the next request has
    arrived. If responses name their requests, each connection carries one request at
    most once, so that the copy of an earlier response can't pass for the response to
    the same request.
    """

    def __init__(
        self,
        *,
        id_header: str | None = None,
        id_required: bool = True,
        **kwargs: Any,
    ) -> None:
        """Create an empty pool.

        Args:
            id_header: Header of a request that its response must repeat; None if
                responses do not name their requests.
            id_required: Whether a response without that header is wrong as well.
            kwargs: Arguments of `aiohttp.TCPConnector`.
        """
        super().__init__(**kwargs)
        self._id_header = id_header
        self.stray_responses = 0
        """Responses, or bytes, that belonged to no request of their connection."""
        # aiohttp has no public way to choose the type of a connection's protocol.
        self._factory = partial(
            StrictConnection,
            loop=self._loop,
            id_header=id_header or "",
            id_required=id_required,
            on_stray=self._count_stray,
        )

    async def connect(
        self, req: aiohttp.ClientRequest, *args: Any, **kwargs: Any
    ) -> Connection:
        """Return a connection that has not carried the request."""
        request_id = req.headers.get(self._id_header) if self._id_header else None
        if request_id is not None:
            for connection, _ in self._conns.get(req.connection_key, ()):
                if connection.has_carried(request_id):
                    connection.close()
        while True:
            connection = await super().connect(req, *args, **kwargs)
            protocol = connection.protocol
            assert isinstance(protocol, StrictConnection)
            if request_id is None or not protocol.has_carried(request_id):
                protocol.expect(request_id)
                return connection
            # It was in use when the idle ones were closed.
            connection.close()

    def _count_stray(self) -> None:
        self.stray_responses += 1
