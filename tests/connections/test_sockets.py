"""Tests of how connections are ended, on both event loops."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from guavajunction.connections import (
    close_in_order,
    open_stream,
    reset,
    reset_when_closed,
    serve_streams,
    set_timers,
)


async def end_closed_connection(end):
    async def read_all(reader, _):
        await reader.read()

    async with serve_streams(read_all, "127.0.0.1") as address:
        host, _, port = address.rpartition(":")
        async with open_stream(host, int(port)) as (_, writer):
            set_timers(writer.get_extra_info("socket"))
            writer.transport.abort()
            await asyncio.sleep(0.05)
            end(writer.transport)


class TestClosedConnections:
    """The end of a connection that is closed already is not changed."""

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    @pytest.mark.parametrize("end", [reset, reset_when_closed, close_in_order])
    def test_end_of_a_closed_connection_raises_no_error(self, run, end):
        run(end_closed_connection(end))
