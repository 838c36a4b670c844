"""TCP proxy on the loopback interface that emulates network faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from guavajunction.connections import reset


class LinkProxy:
    """Relays TCP connections to one target and injects network faults."""

    CHUNK_BYTES = 65_536
    QUEUE_FILLERS = 4
    """Number of connections that fill the queue of a socket without a queue."""

    def __init__(self, target: str) -> None:
        """Create a proxy that does not listen yet.

        Args:
            target: Address of the target, `host:port`.
        """
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._connections: set[_RelayedConnection] = set()
        self._link_open = asyncio.Event()
        self._link_open.set()
        self._responses_open = asyncio.Event()
        self._responses_open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._placeholders: list[socket.socket] = []
        """Hold the port while the proxy does not accept, so that no other process gets
        it."""
        self.delay_seconds = 0.0
        """Delay of each chunk of data in both directions."""
        self.reset_new = False
        """Whether new connections are reset as soon as they are accepted."""
        self.address = ""
        """Address on which the proxy listens, `host:port`."""

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Listen and relay connections while the context is open."""
        await self._start(0)
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        try:
            yield
        finally:
            self._stop_listening()
            self.reset()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def refuse(self) -> None:
        """Refuse new connections until `accept`; open ones live on."""
        self._stop_listening()
        self._hold_port()

    async def ignore(self) -> None:
        """Let new connections hang until `accept`, as without a path to the target."""
        self._stop_listening()
        self._hold_port().listen(0)
        for _ in range(self.QUEUE_FILLERS):
            filler = _new_socket()
            filler.connect_ex(self._own_address)
            self._placeholders.append(filler)

    def _hold_port(self) -> socket.socket:
        """Bind a socket to the port; connections are refused unless it listens."""
        holder = _new_socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(self._own_address)
        self._placeholders.append(holder)
        return holder

    async def accept(self) -> None:
        """Accept new connections again."""
        self._stop_listening()
        await self._start(self._own_address[1])

    @property
    def _own_address(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    async def _start(self, port: int) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for sock in self._placeholders:
            sock.close()
        self._placeholders.clear()

    def stall(self) -> None:
        """Stop relaying in both directions until `restore`."""
        self._link_open.clear()

    def stall_responses(self) -> None:
        """Stop relaying from the target to the callers until `restore`.

        Data from the callers is still relayed.
        """
        self._responses_open.clear()

    def restore(self) -> None:
        """Relay normally again, including the data held back so far.

        Connections stalled by `stall_open_connections` stay stalled.
        """
        self.delay_seconds = 0.0
        self.reset_new = False
        self._responses_open.set()
        self._link_open.set()

    def stall_open_connections(self) -> None:
        """Stop relaying on the open connections permanently; new ones work."""
        for connection in self._connections:
            connection.flowing.clear()

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            connection.reset()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.reset_new:
            reset(writer.transport)
            return
        try:
            await self._link_open.wait()
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except (OSError, asyncio.CancelledError) as exc:
            reset(writer.transport)
            if isinstance(exc, asyncio.CancelledError):
                raise
            return
        connection = _RelayedConnection(writer, target_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._copy(connection, reader, target_writer, is_response=False),
                self._copy(connection, target_reader, writer, is_response=True),
            )
        except (OSError, RuntimeError):
            # uvloop raises `RuntimeError` for a write to a connection that was reset.
            connection.reset()
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _copy(
        self,
        connection: _RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while chunk := await reader.read(self.CHUNK_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            await self._link_open.wait()
            if is_response:
                await self._responses_open.wait()
            await connection.flowing.wait()
            writer.write(chunk)
            await writer.drain()
        if connection.flowing.is_set():
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


class _RelayedConnection:
    """The connection from a caller and the matching connection to the target."""

    def __init__(
        self, caller_writer: asyncio.StreamWriter, target_writer: asyncio.StreamWriter
    ) -> None:
        self._writers = caller_writer, target_writer
        self.flowing = asyncio.Event()
        """Event that is set until the connection is stalled permanently."""
        self.flowing.set()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            reset(writer.transport)

    def close(self) -> None:
        """Close both connections."""
        for writer in self._writers:
            writer.close()
