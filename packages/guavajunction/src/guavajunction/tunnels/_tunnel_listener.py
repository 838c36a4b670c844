"""Connects other instances to backend servers that they do not reach themselves."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from guavajunction.connections import (
    Stream,
    close_in_order,
    reset,
    reset_when_closed,
    serve_streams,
    set_timers,
)

from . import _events as events
from ._handshake import (
    LENGTH_BYTES,
    MAX_MESSAGE_BYTES,
    TunnelReply,
    decode_wanted,
    new_nonce,
)


class TunnelListener:
    """Accepts tunnels of this fleet's instances and copies their bytes.

    A tunnel leads to a backend server that this instance knows, and to nothing else.
    How a connection ends is passed on: in order, or by a reset.
    """

    CHUNK_BYTES = 65_536
    HANDSHAKE_SECONDS = 1.0
    CONNECT_SECONDS = 0.5
    """Timeout of a connection to a backend server."""
    MAX_TUNNELS = 1000
    """Number of open tunnels, which have two descriptors each."""

    def __init__(
        self,
        secret: str,
        address_of: Callable[[str], str | None],
        may_serve: Callable[[], bool],
    ) -> None:
        """Create a listener, which accepts nothing yet.

        Args:
            secret: The fleet's secret key.
            address_of: Returns the address of a backend server, `host:port`, or None if
                it is unknown.
            may_serve: Returns whether this instance reaches backend servers and is not
                about to stop.
        """
        self._secret = secret
        self._address_of = address_of
        self._may_serve = may_serve
        self._connections = 0
        self.open = 0
        """Number of open tunnels."""

    @contextlib.asynccontextmanager
    async def listen(self, host: str, port: int) -> AsyncIterator[str]:
        """Accept tunnels while the context is open.

        Yields:
            The address of the listener, `host:port`.
        """
        serving = serve_streams(self._accept, host, port, limit=self.CHUNK_BYTES)
        async with serving as address:
            yield address

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of an instance."""
        set_timers(writer.get_extra_info("socket"))
        self._connections += 1
        try:
            await self._serve(reader, writer)
        finally:
            self._connections -= 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(self.HANDSHAKE_SECONDS):
                backend = await self._receive_wanted(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            events.TUNNEL_REFUSED.log(reason=type(exc).__name__)
            return
        if backend is None:
            events.TUNNEL_REFUSED.log(reason="not an instance of this fleet")
            return
        reply, upstream = await self._connect(backend)
        with contextlib.ExitStack() as stack:
            if upstream is None:
                events.TUNNEL_REFUSED.log(backend=backend, reason=reply.name)
            else:
                stack.callback(reset, upstream[1].transport)
            try:
                writer.write(bytes([reply]))
            except (OSError, RuntimeError):
                # uvloop raises `RuntimeError` if the entrance reset its connection.
                return
            if upstream is not None:
                events.TUNNEL_CARRIED.log(
                    backend=backend,
                    instance=_address(writer.get_extra_info("peername")),
                    connection=_address(upstream[1].get_extra_info("sockname")),
                )
                await self._carry((reader, writer), upstream)

    async def _receive_wanted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str | None:
        nonce = new_nonce()
        writer.write(nonce)
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_MESSAGE_BYTES:
            return None
        return decode_wanted(await reader.readexactly(size), nonce, self._secret)

    async def _connect(self, backend: str) -> tuple[TunnelReply, Stream | None]:
        address = self._address_of(backend)
        is_full = self._connections > self.MAX_TUNNELS
        if address is None or is_full or not self._may_serve():
            return TunnelReply.NO_PATH, None
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.CONNECT_SECONDS):
                upstream = await asyncio.open_connection(
                    host, int(port), limit=self.CHUNK_BYTES
                )
        except (OSError, TimeoutError):
            return TunnelReply.SERVER_UNREACHABLE, None
        set_timers(upstream[1].get_extra_info("socket"))
        return TunnelReply.CONNECTED, upstream

    async def _carry(
        self,
        downstream: Stream,
        upstream: Stream,
    ) -> None:
        """Copy bytes both ways until either side ends its connection.

        The tunnel ends in order only if the backend server's connection did, not if
        this process ends meanwhile.
        """
        # With this limit, `drain` waits until all bytes are in the kernel.
        downstream[1].transport.set_write_buffer_limits(high=0)
        reset_when_closed(downstream[1].transport)
        self.open += 1
        up = asyncio.ensure_future(self._copy(downstream[0], upstream[1]))
        down = asyncio.ensure_future(self._copy(upstream[0], downstream[1]))
        try:
            await asyncio.wait({up, down}, return_when=asyncio.FIRST_COMPLETED)
            # The entrance never ends its half alone, so its end cancels the request.
            if down.done() and down.result():
                close_in_order(downstream[1].transport)
            else:
                reset(downstream[1].transport)
        finally:
            self.open -= 1
            for task in (up, down):
                task.cancel()
            await asyncio.gather(up, down, return_exceptions=True)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Copy bytes; return whether the sender ended its connection in order."""
        try:
            while chunk := await reader.read(self.CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        except (OSError, RuntimeError):
            # uvloop raises `RuntimeError` for a write to a connection that was reset.
            return False
        return True


def _address(name: tuple[str, int] | None) -> str | None:
    return f"{name[0]}:{name[1]}" if name is not None else None
