"""A TCP server that answers HTTP requests with scripted bytes."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct

from guavajunction.connections import serve_streams

NO_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket resets the connection."""


class RawServer:
    """Calls `respond` with the writer and the head of each request."""

    def __init__(self, respond):
        self.respond = respond
        self.port = 0
        self.sent_bytes = 0
        """Bytes that `send_endlessly` has sent."""
        self.ended = asyncio.Event()
        """Set when the client has closed a connection."""

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    @property
    def url(self):
        return f"http://{self.address}"

    async def handle(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                await self.respond(writer, head.decode("latin-1"))
                if writer.is_closing():
                    break
        self.ended.set()

    async def send_endlessly(self, writer, piece, *, pause_seconds=0.0):
        """Send a piece of bytes until the client closes the connection."""
        while True:
            writer.write(piece)
            await writer.drain()
            self.sent_bytes += len(piece)
            await asyncio.sleep(pause_seconds)


@contextlib.asynccontextmanager
async def raw_server(respond):
    """Serve on a free port while the context is open."""
    running = RawServer(respond)
    async with serve_streams(running.handle, "127.0.0.1") as address:
        running.port = int(address.rpartition(":")[2])
        yield running


def reset(writer):
    """Close a connection with a reset instead of in order."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.close()
