"""Runs stand-ins until the process is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Sequence

import uvloop

from ._server import FakeServer


def serve_until_stopped(servers: Sequence[tuple[FakeServer, int]]) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        servers: Stand-ins with the TCP port of each.
    """
    uvloop.run(_serve(servers))


async def _serve(servers: Sequence[tuple[FakeServer, int]]) -> None:
    stopped = stop_event()
    async with contextlib.AsyncExitStack() as stack:
        for server, port in servers:
            url = await stack.enter_async_context(server.serve(port))
            print(f"{type(server).__name__} {url}", flush=True)
        await stopped.wait()


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
