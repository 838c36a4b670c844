"""Runs stand-ins as a process until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Sequence

import uvloop
from absl import flags

from ._server import FakeServer


def define_port(values: flags.FlagValues) -> None:
    """Declare the flag of the first TCP port."""
    flags.DEFINE_integer(
        "port", 0, "first TCP port, 0 for any free ports", flag_values=values
    )


def serve_until_stopped(servers: Sequence[FakeServer], port: int) -> int:
    """Serve until SIGTERM or SIGINT.

    Args:
        servers: Stand-ins, which listen on consecutive ports.
        port: TCP port of the first stand-in; 0 for any free port for each.

    Returns:
        Exit status 0.
    """
    uvloop.run(_serve(servers, port))
    return 0


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def _serve(servers: Sequence[FakeServer], port: int) -> None:
    stopped = stop_event()
    async with contextlib.AsyncExitStack() as stack:
        for index, server in enumerate(servers):
            server_port = port + index if port else 0
            url = await stack.enter_async_context(server.serve(server_port))
            print(f"{type(server).__name__} {url}", flush=True)
        await stopped.wait()
