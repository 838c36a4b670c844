"""Tests of the proxy that emulates network faults."""

from __future__ import annotations

import asyncio
import socket

import pytest

from guavajunction.connections import NO_LINGER, open_stream, serve_streams
from guavajunction_fakes.soak import LinkProxy


@pytest.fixture
async def proxy():
    async def echo(reader, writer):
        while chunk := await reader.read(1000):
            writer.write(b"<" + chunk + b">")

    async with serve_streams(echo, "127.0.0.1") as address:
        proxy = LinkProxy(address)
        async with proxy.listen():
            yield proxy


def connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return open_stream(host, int(port))


async def exchange(connection, data=b"hello", within=0.5):
    reader, writer = connection
    writer.write(data)
    async with asyncio.timeout(within):
        return await reader.read(1000)


class TestLinkProxy:
    """Relays data, and holds it back, delays it or drops it under faults."""

    async def test_relays_both_directions(self, proxy):
        async with connect(proxy) as connection:
            assert await exchange(connection) == b"<hello>"

    async def test_stall_holds_data_back(self, proxy):
        async with connect(proxy) as connection:
            await exchange(connection)
            proxy.stall()
            with pytest.raises(TimeoutError):
                await exchange(connection, within=0.2)
            proxy.restore()
            async with asyncio.timeout(0.5):
                assert await connection[0].read(1000) == b"<hello>"

    async def test_stalled_responses_let_requests_arrive(self, proxy):
        async with connect(proxy) as connection:
            await exchange(connection)
            proxy.stall_responses()
            with pytest.raises(TimeoutError):
                await exchange(connection, b"on its way", within=0.2)
            proxy.restore()
            async with asyncio.timeout(0.5):
                assert await connection[0].read(1000) == b"<on its way>"

    async def test_stalled_connections_stay_stalled_and_new_ones_work(self, proxy):
        async with connect(proxy) as old:
            await exchange(old)
            proxy.stall_open_connections()
            proxy.restore()
            with pytest.raises(TimeoutError):
                await exchange(old, within=0.2)
            async with connect(proxy) as new:
                assert await exchange(new) == b"<hello>"

    async def test_reset(self, proxy):
        async with connect(proxy) as connection:
            await exchange(connection)
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await exchange(connection)

    async def test_delay(self, proxy):
        proxy.delay_seconds = 0.1
        loop = asyncio.get_running_loop()
        async with connect(proxy) as connection:
            began = loop.time()
            await exchange(connection)
            assert loop.time() - began >= 0.2


class TestResets:
    """A reset of the target reaches the caller as a reset, not as an orderly end."""

    async def test_reset_of_the_target_is_a_reset_for_the_caller(self):
        async def answer_and_reset(reader, writer):
            await reader.read(10)
            writer.write(b"begun")
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()

        async with serve_streams(answer_and_reset, "127.0.0.1") as address:
            proxy = LinkProxy(address)
            async with proxy.listen(), connect(proxy) as (reader, writer):
                writer.write(b"hello")
                assert await reader.read(5) == b"begun"
                with pytest.raises(ConnectionResetError):
                    await asyncio.wait_for(reader.read(), 1.0)


class TestPort:
    """The port of a proxy stays its own while the proxy does not accept."""

    @pytest.mark.parametrize("cut", ["refuse", "ignore"])
    async def test_no_other_listener_gets_the_port(self, proxy, cut):
        host, _, port = proxy.address.rpartition(":")
        await getattr(proxy, cut)()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        await proxy.accept()
        async with connect(proxy) as connection:
            assert await exchange(connection) == b"<hello>"

    async def test_connections_are_refused(self, proxy):
        await proxy.refuse()
        with pytest.raises(ConnectionRefusedError):
            async with connect(proxy):
                pass
