"""TCP streams that their contexts own: whoever opens one closes it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

CLOSE_SECONDS = 0.5
"""Time in which the stream of a client may send what it holds; then it is aborted."""

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Serves one connection, in a task of its own."""


@contextlib.asynccontextmanager
async def open_stream(
    host: str | None = None, port: int | None = None, **options: Any
) -> AsyncIterator[Stream]:
    """Connect to a server; close the connection with the context.

    Args:
        host: Address of the server.
        port: Its port.
        options: Further arguments of `asyncio.open_connection`.

    Raises:
        OSError: The server is unreachable.
    """
    reader, writer = await asyncio.open_connection(host, port, **options)
    try:
        yield reader, writer
    finally:
        await _close(writer)


@contextlib.asynccontextmanager
async def serve_streams(
    handle: StreamHandler, host: str, port: int = 0, **options: Any
) -> AsyncIterator[str]:
    """Serve connections while the context is open, then end and close them all.

    Args:
        handle: Serves one connection; the connection is closed when it returns.
        host: Address to listen on.
        port: Port to listen on; 0 for a free one.
        options: Further arguments of `asyncio.start_server`.

    Yields:
        The address, `host:port`.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
        finally:
            # What was written is still sent, however slowly its receiver takes it.
            writer.close()

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(serve(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(_report_failure)

    server = await asyncio.start_server(accept, host, port, **options)
    try:
        yield f"{host}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _close(writer: asyncio.StreamWriter) -> None:
    """Close a stream; abort it if its peer does not take what is left."""
    writer.close()
    try:
        async with asyncio.timeout(CLOSE_SECONDS):
            await writer.wait_closed()
    except (OSError, RuntimeError):
        # uvloop raises `RuntimeError` for a connection that was reset.
        pass
    finally:
        writer.transport.abort()


def _report_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        task.get_loop().call_exception_handler(
            {"message": "serving a connection failed", "exception": task.exception()}
        )
