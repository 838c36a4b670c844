"""A loopback proxy that does to connections what a network does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator


class LinkProxy:
    """Relays TCP connections to one target."""

    CHUNK_BYTES = 65_536

    def __init__(self, target: str) -> None:
        """Create a proxy that does not listen yet.

        Args:
            target: `host:port` that it relays to.
        """
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._pairs: set[_Pair] = set()
        self._open = asyncio.Event()
        self._open.set()
        self._back = asyncio.Event()
        self._back.set()
        self.delay_seconds = 0.0
        """Added to each chunk, both ways."""
        self.address = ""
        """Where it listens, `host:port`."""

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Relay while entered."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        try:
            yield
        finally:
            server.close()
            self.reset()

    def silence(self) -> None:
        """Let nothing through, either way, until `restore`."""
        self._open.clear()

    def silence_back(self) -> None:
        """Let nothing come back until `restore`; what is sent still arrives."""
        self._back.clear()

    def restore(self) -> None:
        """Let everything through again, also what was held up."""
        self.delay_seconds = 0.0
        self._back.set()
        self._open.set()

    def mute(self) -> None:
        """Let the open connections stay silent for good; new ones work."""
        for pair in self._pairs:
            pair.flows.clear()

    def reset(self) -> None:
        """Reset the open connections."""
        for pair in list(self._pairs):
            pair.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A server's callback must not end cancelled: asyncio would log a traceback.
        with contextlib.suppress(asyncio.CancelledError):
            await self._relay(reader, writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._open.wait()
        try:
            back_reader, back_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, back_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, back_writer, back=False),
                self._pump(pair, back_reader, writer, back=True),
            )
        except OSError:
            pair.reset()
        finally:
            self._pairs.discard(pair)
            pair.close()

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        while chunk := await reader.read(self.CHUNK_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            await self._open.wait()
            if back:
                await self._back.wait()
            await pair.flows.wait()
            writer.write(chunk)
            await writer.drain()
        if pair.flows.is_set():
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()


class _Pair:
    """The two connections that one relayed connection consists of."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self._writers = near, far
        self.flows = asyncio.Event()
        """Cleared once it is silent for good."""
        self.flows.set()

    def reset(self) -> None:
        """Reset both."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Close both."""
        for writer in self._writers:
            writer.close()
