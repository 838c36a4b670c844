"""Tests of tunnels between instances, over loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
import time

import aiohttp
import pytest
import uvloop
from aiohttp import web

from guavajunction.clock import SystemClock
from guavajunction.connections import (
    NO_LINGER,
    open_stream,
    serve_streams,
)
from guavajunction.quarantine import BackendId
from guavajunction.tunnels import (
    ServerPaths,
    TunnelConnector,
    TunnelEntrance,
    TunnelExit,
    TunnelListener,
)
from guavajunction.tunnels._handshake import (
    MAX_MESSAGE_BYTES,
    NONCE_BYTES,
    TunnelReply,
    encode_wanted,
)
from guavajunction_fakes.unframed_response import UnframedResponse

SECRET = "s" * 40
NAME = "engine-1"


class Server:
    """A backend server whose behaviour the test scripts."""

    def __init__(self):
        self.address = ""
        self.connections = []
        self.closed = asyncio.Event()
        self.reply = b"pong"

    async def serve(self, reader, writer):
        self.connections.append(writer)
        try:
            while chunk := await reader.read(1000):
                if chunk == b"reset":
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                    writer.transport.abort()
                    return
                if chunk == b"close":
                    writer.write(b"bye")
                    break
                writer.write(self.reply)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.closed.set()


@pytest.fixture
async def server():
    one = Server()
    async with serve_streams(one.serve, "127.0.0.1") as one.address:
        yield one


class Exit:
    """The instance at the end of the tunnels."""

    def __init__(self, servers):
        self.servers = servers
        self.may_serve = True
        self.listener = TunnelListener(
            SECRET, lambda name: self.servers.get(name), lambda: self.may_serve
        )


@pytest.fixture
async def far(server):
    one = Exit({NAME: server.address})
    async with one.listener.listen("127.0.0.1", 0) as address:
        one.address = address
        yield one


def entrance(*addresses, secret=SECRET, name=NAME):
    clock = SystemClock()
    paths = ServerPaths(clock)
    paths.begin_probe()
    paths.end_probe(False)
    exits = [TunnelExit(f"i{n}", address) for n, address in enumerate(addresses)]
    one = TunnelEntrance(
        paths, lambda: list(exits), lambda _: name, clock, random.Random(1)
    )
    one.secret = secret
    return one


async def dial(*addresses, **changes):
    return await entrance(*addresses, **changes).dial("10.0.0.1:80")


@contextlib.asynccontextmanager
async def open_tunnel(far):
    async with open_stream(sock=await dial(far.address)) as tunnel:
        yield tunnel


def connect(far):
    """Connect to an exit without a handshake."""
    host, _, port = far.address.rpartition(":")
    return open_stream(host, int(port))


async def exchange(tunnel, data=b"ping"):
    reader, writer = tunnel
    writer.write(data)
    return await asyncio.wait_for(reader.read(100_000), 1.0)


class TestBytes:
    """A tunnel carries bytes unchanged, and how each side ends its connection."""

    async def test_bytes_pass_in_both_directions(self, far):
        async with open_tunnel(far) as tunnel:
            for _ in range(3):
                assert await exchange(tunnel) == b"pong"
            assert far.listener.open == 1

    async def test_large_answers_pass_whole(self, far, server):
        server.reply = bytes(range(256)) * 20_000
        size = len(server.reply)
        async with open_tunnel(far) as (reader, writer):
            writer.write(b"ping")
            received = await asyncio.wait_for(reader.readexactly(size), 5.0)
        assert received == server.reply

    async def test_orderly_end_of_the_server_is_orderly(self, far):
        async with open_tunnel(far) as (reader, writer):
            writer.write(b"close")
            assert await asyncio.wait_for(reader.read(), 1.0) == b"bye"

    async def test_reset_of_the_server_is_a_reset(self, far):
        async with open_tunnel(far) as (reader, writer):
            writer.write(b"reset")
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 1.0)

    async def test_end_of_the_entrance_ends_the_connection_of_the_server(
        self, far, server
    ):
        async with open_tunnel(far):
            pass
        await asyncio.wait_for(server.closed.wait(), 0.5)
        assert far.listener.open == 0


async def reset_entrance_while_exit_connects():
    """Return the open tunnels and the failures of the exit after its entrance ended."""
    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: failures.append(context)
    )
    server, one = Server(), Exit({})
    sock = socket.socket()
    sock.setblocking(False)

    def reset_and_look_up(_):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.close()
        return server.address

    one.listener = TunnelListener(SECRET, reset_and_look_up, lambda: True)
    async with (
        serve_streams(server.serve, "127.0.0.1") as server.address,
        one.listener.listen("127.0.0.1", 0) as address,
    ):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        nonce = await loop.sock_recv(sock, NONCE_BYTES)
        await loop.sock_sendall(sock, encode_wanted(NAME, nonce, SECRET))
        await asyncio.wait_for(server.closed.wait(), 1.0)
        await asyncio.sleep(0.05)
        return one.listener.open, failures


class TestLostEntrances:
    """An entrance that is lost early leaves nothing open at the exit."""

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_entrance_that_is_lost_while_the_exit_connects_leaves_no_tunnel(self, run):
        assert run(reset_entrance_while_exit_connects()) == (0, [])


class TestHandshake:
    """Only instances of the fleet are served, and only with paths that exist."""

    async def test_other_secret_is_refused(self, far, server):
        with pytest.raises(OSError, match="no instance"):
            await dial(far.address, secret="t" * 40)
        assert not server.connections

    async def test_unknown_backend_server_is_refused(self, far, server):
        with pytest.raises(OSError, match="no instance"):
            await dial(far.address, name="other")
        assert not server.connections

    async def test_exit_without_a_path_is_passed_over(self, far, server):
        blocked = Exit(far.servers)
        blocked.may_serve = False
        async with blocked.listener.listen("127.0.0.1", 0) as address:
            one = entrance(address, far.address, "127.0.0.1:1")
            for _ in range(6):
                sock = await one.dial("10.0.0.1:80")
                sock.close()
        assert len(server.connections) == 6

    async def test_unreachable_backend_server_is_reported_as_such(self, far):
        far.servers[NAME] = "127.0.0.1:1"
        with pytest.raises(ConnectionRefusedError, match="does not reach"):
            await dial(far.address, far.address)

    async def test_exit_that_never_answers_is_given_up(self, far):
        async def hang(reader, _):
            await reader.read()

        async with serve_streams(hang, "127.0.0.1") as address:
            began = time.monotonic()
            with pytest.raises(OSError, match="no instance"):
                await dial(address)
            assert time.monotonic() - began < 2 * TunnelEntrance.EXIT_SECONDS

    async def test_unknown_reply_is_given_up(self, far):
        async def answer(reader, writer):
            writer.write(bytes(16))
            await reader.read(10)
            writer.write(b"\xff")

        async with serve_streams(answer, "127.0.0.1") as address:
            with pytest.raises(OSError, match="no instance"):
                await dial(address)

    @pytest.mark.parametrize(
        "data", [b"", b"\x00", b"\xff\xff" + bytes(3000), b"\x00\x03abc"]
    )
    async def test_malformed_message_is_refused(self, far, server, data):
        async with connect(far) as (reader, writer):
            await reader.readexactly(16)
            writer.write(data)
            writer.write_eof()
            assert await asyncio.wait_for(reader.read(), 3.0) == b""
        assert not server.connections

    async def test_idle_connection_is_closed(self, far):
        limit = TunnelListener.HANDSHAKE_SECONDS + 0.5
        async with connect(far) as (reader, _):
            await reader.readexactly(16)
            assert await asyncio.wait_for(reader.read(), limit) == b""

    async def test_replayed_message_is_refused(self, far, server):
        one = entrance(far.address)
        sent = []
        loop = asyncio.get_running_loop()
        send = loop.sock_sendall

        async def record(sock, data):
            sent.append(data)
            await send(sock, data)

        loop.sock_sendall = record
        try:
            (await one.dial("10.0.0.1:80")).close()
        finally:
            loop.sock_sendall = send
        async with connect(far) as (reader, writer):
            await reader.readexactly(16)
            writer.write(sent[0])
            assert await asyncio.wait_for(reader.read(), 1.0) == b""
        assert len(server.connections) == 1

    async def test_number_of_tunnels_is_limited(self, far, monkeypatch):
        monkeypatch.setattr(TunnelListener, "MAX_TUNNELS", 3)
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(3):
                await stack.enter_async_context(open_tunnel(far))
            with pytest.raises(OSError, match="no instance"):
                await dial(far.address)

    async def test_name_beyond_a_message_is_refused_before_it_is_sent(self, far):
        with pytest.raises(OSError, match="no instance"):
            await dial(far.address, name="x" * MAX_MESSAGE_BYTES)

    def test_replies_keep_their_numbers(self):
        assert [reply.value for reply in TunnelReply] == [0, 1, 2]


EXIT_PROGRAM = """
import asyncio, sys
from guavajunction.tunnels import TunnelListener

async def main(secret, name, server):
    listener = TunnelListener(secret, {name: server}.get, lambda: True)
    async with listener.listen("127.0.0.1", 0) as address:
        print(address, flush=True)
        await asyncio.Event().wait()

asyncio.run(main(*sys.argv[1:]))
"""


class TestEndOfTheExit:
    """Guards against a part of an answer that ends in order because its exit ended."""

    async def test_stopping_exit_resets_open_tunnels(self, server):
        async with contextlib.AsyncExitStack() as stack:
            one = Exit({NAME: server.address})
            listening = one.listener.listen("127.0.0.1", 0)
            one.address = await listening.__aenter__()
            tunnel = await stack.enter_async_context(open_tunnel(one))
            assert await exchange(tunnel) == b"pong"
            await listening.__aexit__(None, None, None)
            with pytest.raises(ConnectionError):
                await tunnel[0].read()

    async def test_killed_exit_resets_open_tunnels(self, server):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            EXIT_PROGRAM,
            SECRET,
            NAME,
            server.address,
            stdout=asyncio.subprocess.PIPE,
        )
        far = Exit({})
        far.address = (await process.stdout.readline()).decode().strip()
        async with open_tunnel(far) as tunnel:
            assert await exchange(tunnel) == b"pong"
            process.kill()
            await process.wait()
            with pytest.raises(ConnectionError):
                await tunnel[0].read()


class TestChoice:
    """Tunnels are spread over all instances that have a path."""

    @pytest.mark.parametrize("count", [1, 7, 79])
    def test_tunnels_are_spread_evenly(self, count):
        one = entrance(*(f"10.0.0.{n}:1" for n in range(count)))
        chosen = [one._choose_exits(NAME)[0].name for _ in range(count * 100)]
        counts = [chosen.count(f"i{n}") for n in range(count)]
        assert max(counts) <= 200

    def test_no_tunnel_is_needed_without_a_cut_a_secret_or_an_exit(self):
        assert entrance("10.0.0.1:1").is_needed
        assert not entrance().is_needed
        assert not entrance("10.0.0.1:1", secret=None).is_needed
        healed = entrance("10.0.0.1:1")
        healed._paths.end_probe(True)
        assert not healed.is_needed


class Http:
    """An HTTP backend server, and a session whose connector may need tunnels."""

    def __init__(self):
        self.peers = []
        self.paths = ServerPaths(SystemClock())

    async def handle(self, req):
        self.peers.append(req.transport.get_extra_info("peername"))
        if req.path == "/cut":
            resp = UnframedResponse()
            await resp.prepare(req)
            await resp.write(b"begun")
            await asyncio.sleep(0.05)
            resp.reset(req)
            return resp
        if req.path == "/slow":
            await asyncio.sleep(5.0)
        return web.Response(text="done")

    def cut(self):
        self.paths.begin_probe()
        self.paths.end_probe(False)


@pytest.fixture
async def http(far):
    one = Http()
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", one.handle)
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    one.url = f"http://{host}:{port}"
    far.servers[NAME] = f"{host}:{port}"
    connector = TunnelConnector(limit=0)
    dialer = entrance(far.address)
    dialer._paths = one.paths
    connector.dialer = dialer
    one.connector = connector
    async with aiohttp.ClientSession(connector=connector) as session:
        one.session = session
        yield one
    await runner.cleanup()


class TestRequests:
    """HTTP requests use direct connections, or one tunnel each during a cut."""

    async def get(self, http, path="/", **timeouts):
        timeout = aiohttp.ClientTimeout(sock_connect=1.0, **timeouts)
        async with http.session.get(http.url + path, timeout=timeout) as resp:
            return await resp.read()

    async def test_direct_connection_is_reused(self, http, far):
        for _ in range(3):
            assert await self.get(http) == b"done"
        assert len(set(http.peers)) == 1
        assert far.listener.open == 0

    async def test_tunnel_carries_one_request(self, http, far):
        http.cut()
        for _ in range(3):
            assert await self.get(http) == b"done"
        assert len(set(http.peers)) == 3
        await asyncio.sleep(0.05)
        assert far.listener.open == 0

    async def test_idle_direct_connections_are_not_used_during_a_cut(self, http):
        await self.get(http)
        http.cut()
        http.connector.drop_idle()
        await self.get(http)
        assert len(set(http.peers)) == 2

    async def test_direct_connections_are_used_again_after_the_cut(self, http, far):
        http.cut()
        await self.get(http)
        http.paths.end_probe(True)
        await self.get(http)
        await self.get(http)
        assert len(set(http.peers)) == 2

    async def test_answer_that_is_cut_is_incomplete(self, http):
        http.cut()
        with pytest.raises(aiohttp.ClientPayloadError):
            await self.get(http, "/cut")

    async def test_cancelled_request_ends_at_the_backend_server(self, http, far):
        http.cut()
        with pytest.raises(TimeoutError):
            await self.get(http, "/slow", total=0.2)
        await asyncio.sleep(0.3)
        assert far.listener.open == 0

    async def test_request_is_not_sent_if_no_tunnel_can_be_opened(self, http, far):
        http.cut()
        far.may_serve = False
        with pytest.raises(aiohttp.ClientConnectorError):
            await self.get(http)
        assert not http.peers

    async def test_failure_of_a_direct_connection_is_not_hidden(self, http):
        http.paths.note_refused(BackendId("b", 1))
        http.url = "http://127.0.0.1:1"
        with pytest.raises(aiohttp.ClientConnectorError):
            await self.get(http)
