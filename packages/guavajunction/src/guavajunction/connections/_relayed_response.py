"""A response of an HTTP server that looks complete only if it is."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import HttpVersion11, hdrs, web
from aiohttp.abc import AbstractStreamWriter

from ._sockets import close_in_order, reset, reset_when_closed


class RelayedResponse(web.StreamResponse):
    """A response whose body may be marked as complete by the end of its connection.

    That is so for a body with neither a length nor chunks: one that was received in
    this form, and any body without a length for an HTTP/1.0 client. The operating
    system closes the connections of a process that ends in order, which would mark such
    a body as complete. So until it is, closing its connection resets it.
    """

    def __init__(self, *, framed: bool = True, **kwargs: Any) -> None:
        """Create a response.

        Args:
            framed: Whether a body without a length is sent in chunks, if the client
                knows them.
            kwargs: Arguments of aiohttp's response.
        """
        super().__init__(**kwargs)
        self._length_check = framed
        """If false, aiohttp omits the chunked encoding."""
        if not framed:
            self.force_close()
        self._transport: asyncio.Transport | None = None
        """Connection whose end marks the end of the body; None for another framing."""

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the head, unless it has been sent."""
        if self.prepared:
            return await super().prepare(request)
        if request.version < HttpVersion11 and self.content_length is None:
            # aiohttp would keep the connection open if the client asked for that.
            self.force_close()
        writer = await super().prepare(request)
        framing = {hdrs.CONTENT_LENGTH, hdrs.TRANSFER_ENCODING}
        if request.transport is not None and framing.isdisjoint(self.headers):
            self._transport = request.transport
            # With this limit, `drain` waits until all bytes are in the kernel.
            self._transport.set_write_buffer_limits(high=0)
            reset_when_closed(self._transport)
        return writer

    async def write_eof(self, data: bytes = b"") -> None:
        """Mark the body as complete."""
        writer = self._payload_writer
        await super().write_eof(data)
        if self._transport is not None and writer is not None:
            await writer.drain()
            if not self._transport.is_closing():
                close_in_order(self._transport)

    def abort(self, req: web.BaseRequest) -> None:
        """Close the connection, and leave the body incomplete."""
        if self._transport is not None:
            reset(self._transport)
        elif req.transport is not None:
            req.transport.abort()
