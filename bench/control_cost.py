"""Measures the control traffic of an instance: heartbeats, requests and store polls.

Prints processor time and bytes for each unit of work, from which the cost for a fleet
of any size can be computed. Heartbeats and requests are measured with sender and
receiver in one process, with CURVE, over the loopback interface. Polls are measured
against a server in a separate process that replies from memory.

    python bench/control_cost.py
"""

from __future__ import annotations

import asyncio
import base64
import json
import resource
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import NamedTuple

import aiohttp
import aiohttp.web
import uvloop
import zmq

from guavajunction.clock import SystemClock
from guavajunction.membership import MembershipConfig
from guavajunction.membership._member_table import MemberTable
from guavajunction.membership._messages import Status
from guavajunction.membership._model import MemberRow, encode
from guavajunction.membership._observer import MemberObserver
from guavajunction.peers import FleetKeys, PeerId, PeerMesh, RingSubset
from guavajunction.storage import InstanceRecord, TableClient

MEASURE_SECONDS = 3.0
HEARTBEAT_SECONDS = 0.01
REQUEST_COUNT = 3000
POLL_COUNT = 200
FLEET_SIZES = (8, 64, 390)
LARGE_FLEET_SIZE = 390


class Note(NamedTuple):
    """A short message, used as request and as reply."""

    text: str


class WorkCost(NamedTuple):
    """Cost of one unit of work."""

    cpu_us: float
    """Processor time in microseconds."""
    transferred_bytes: float


class CountingProxy:
    """Forwards TCP connections to a port and counts the bytes from the clients."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.forwarded_bytes = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        await asyncio.gather(
            self._copy(reader, target_writer, count=True),
            self._copy(target_reader, writer, count=False),
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, count: bool
    ) -> None:
        while data := await reader.read(65536):
            self.forwarded_bytes += len(data) if count else 0
            writer.write(data)


def record_of(mesh: PeerMesh) -> InstanceRecord:
    """Return the instance record with the port on which a mesh listens."""
    port = int(mesh.address.rpartition(":")[2])
    return InstanceRecord(mesh.me.name, "dc", "127.0.0.1", 0, port, "live")


async def start_mesh(
    stack: AsyncExitStack, name: str, keys: FleetKeys, heartbeat_seconds: float
) -> PeerMesh:
    """Start a mesh with a heartbeat topic and a handler that echoes notes."""
    me = PeerId(name, f"{name}-incarn")
    mesh = PeerMesh(
        me, "127.0.0.1", 0, keys, SystemClock(), heartbeat_seconds=heartbeat_seconds
    )
    mesh.add_topic(
        "membership", lambda: Status(0.4, 7, 3, True, ()), lambda *_: None, Status
    )

    async def echo(_: PeerId, note: Note) -> Note:
        return note

    mesh.handle(Note, echo)
    task = asyncio.create_task(mesh.run())
    stack.push_async_callback(asyncio.wait, [task])
    stack.callback(task.cancel)
    await mesh.ready()
    return mesh


def fleet_keys() -> FleetKeys:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return FleetKeys(public.decode(), secret.decode())


async def measure_heartbeats(size: int) -> WorkCost:
    """Return the cost of sending and receiving a heartbeat."""
    async with AsyncExitStack() as stack:
        keys = fleet_keys()
        meshes = [
            await start_mesh(stack, f"e{i}", keys, HEARTBEAT_SECONDS)
            for i in range(size)
        ]
        for mesh in meshes:
            mesh.set_targets([record_of(m) for m in meshes])
        await asyncio.sleep(1)
        before, cpu = count_received(meshes), time.process_time()
        await asyncio.sleep(MEASURE_SECONDS)
        cpu = time.process_time() - cpu
        messages, received_bytes = (
            b - a for a, b in zip(before, count_received(meshes), strict=True)
        )
        return WorkCost(cpu / messages * 1e6, received_bytes / messages)


def count_received(meshes: list[PeerMesh]) -> tuple[int, int]:
    """Return the messages and bytes that all meshes have received."""
    links = [link for mesh in meshes for link in mesh.traffic().values()]
    return (
        sum(link.received_messages for link in links),
        sum(link.received_bytes for link in links),
    )


async def measure_wire_heartbeat() -> float:
    """Return the bytes of a heartbeat in the TCP stream, after CURVE encryption."""
    async with AsyncExitStack() as stack:
        keys = fleet_keys()
        a = await start_mesh(stack, "a", keys, HEARTBEAT_SECONDS)
        b = await start_mesh(stack, "b", keys, HEARTBEAT_SECONDS)
        counting_proxy = CountingProxy(record_of(b).peer_port)
        server = await asyncio.start_server(counting_proxy.handle, "127.0.0.1", 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        a.set_targets([record_of(b)._replace(peer_port=port)])
        await asyncio.sleep(1)
        forwarded, sent = (
            counting_proxy.forwarded_bytes,
            a.traffic()[f"127.0.0.1:{port}"].sent_messages,
        )
        await asyncio.sleep(MEASURE_SECONDS)
        sent = a.traffic()[f"127.0.0.1:{port}"].sent_messages - sent
        return (counting_proxy.forwarded_bytes - forwarded) / sent


async def measure_requests() -> WorkCost:
    """Return the cost of a request and its reply on both sides."""
    async with AsyncExitStack() as stack:
        keys = fleet_keys()
        a = await start_mesh(stack, "a", keys, 0.5)
        b = await start_mesh(stack, "b", keys, 0.5)
        a.set_targets([record_of(b)])
        await asyncio.sleep(2)
        before, cpu = count_received([a, b]), time.process_time()
        for _ in range(REQUEST_COUNT):
            await a.request(b.me, Note("x" * 64), Note, timeout=2)
        cpu = time.process_time() - cpu
        received_bytes = count_received([a, b])[1] - before[1]
        return WorkCost(cpu / REQUEST_COUNT * 1e6, received_bytes / REQUEST_COUNT)


def member_rows(size: int) -> bytes:
    """Return the store's reply to a query for the members of a fleet."""
    items = []
    for number in range(size):
        name = f"entry-{number:04}"
        record = InstanceRecord(name, "region-dc-1", "10.20.30.40", 8080, 9090, "live")
        body = encode(MemberRow(record, 12345, "live"))
        items.append(
            {
                "pk": {"S": "member"},
                "sk": {"S": f"{number:016x}"},
                "ver": {"N": "12345"},
                "body": {"B": base64.b64encode(body).decode()},
            }
        )
    return json.dumps({"Items": items}).encode()


async def serve_store() -> None:
    """Serve queries for member rows. The URL's path is the size of the fleet."""

    async def handle(req: aiohttp.web.Request) -> aiohttp.web.Response:
        await req.read()
        if not req.headers["X-Amz-Target"].endswith("Query"):
            return aiohttp.web.Response(body=b"{}")
        return aiohttp.web.Response(body=member_rows(int(req.path.strip("/"))))

    app = aiohttp.web.Application()
    app.router.add_route("POST", "/{size}/", handle)
    runner = aiohttp.web.AppRunner(app)
    await runner.setup()
    await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


async def measure_poll(port: int, size: int) -> WorkCost:
    """Return the cost of reading the members and the view once."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        url = f"http://127.0.0.1:{port}/{size}"
        client = TableClient(session, url, "t", timeout=5)
        clock = SystemClock()
        observer = MemberObserver(MembershipConfig().lease)
        table = MemberTable(client, clock, observer)
        await table.read()
        cpu = time.process_time()
        for _ in range(POLL_COUNT):
            await table.read()
        cpu = time.process_time() - cpu
        return WorkCost(cpu / POLL_COUNT * 1e6, float(len(member_rows(size))))


def print_row(name: str, cost: WorkCost) -> None:
    """Print one line of the table."""
    print(f"{name:<44}{cost.cpu_us:>12.1f}{cost.transferred_bytes:>12.0f}")


def print_fleet(heartbeat: WorkCost, wire: float, polls: dict[int, WorkCost]) -> None:
    """Print the cost of control traffic for each instance of a large fleet."""
    cfg = MembershipConfig()
    fleet = [
        InstanceRecord(f"e{i:04}", "dc", "", 0, i, "live")
        for i in range(LARGE_FLEET_SIZE)
    ]
    ring = len(RingSubset().choose("e0000", fleet))
    poll = polls[LARGE_FLEET_SIZE]
    for name, links, interval in (
        ("full mesh, 0.5 s", LARGE_FLEET_SIZE - 1, 0.5),
        ("ring subset, 0.5 s", ring, 0.5),
        ("ring subset, 2 s", ring, 2.0),
    ):
        cores = links / interval * heartbeat.cpu_us / 1e6
        print(
            f"{name:<28}{links:>6} links{cores:>9.2%} of a core"
            f"{links / interval * wire / 1024:>9.1f} KiB/s sent"
        )
    print(
        f"{'polls of all rows':<28}{cfg.poll:>5.1f} s    "
        f"{poll.cpu_us / 1e6 / cfg.poll:>9.2%} of a core"
        f"{poll.transferred_bytes / cfg.poll / 1024:>9.1f} KiB/s read"
    )


async def measure(port: int) -> None:
    """Run all measurements and print them."""
    print(f"{'unit of work':<44}{'CPU us':>12}{'bytes':>12}")
    heartbeat = WorkCost(0, 0)
    for size in (2, 4, 8):
        heartbeat = await measure_heartbeats(size)
        print_row(f"heartbeat, sent and received, {size} instances", heartbeat)
    wire = await measure_wire_heartbeat()
    print_row("heartbeat in the TCP stream", WorkCost(heartbeat.cpu_us, wire))
    print_row("question and answer, 64 bytes", await measure_requests())
    polls = {size: await measure_poll(port, size) for size in FLEET_SIZES}
    for size, cost in polls.items():
        print_row(f"store poll, {size} members (body)", cost)
    slope = (polls[390].cpu_us - polls[8].cpu_us) / (390 - 8)
    print(f"slope of the poll: {slope:.2f} us for each member")
    print(f"\nEach instance of {LARGE_FLEET_SIZE}:")
    print_fleet(heartbeat, wire, polls)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak resident memory of this script: {peak:.0f} MiB")


def main() -> None:
    """Run the store server or the measurements."""
    run: Callable[..., None] = uvloop.run
    if sys.argv[1:] == ["--serve"]:
        run(serve_store())
        return
    command = [sys.executable, __file__, "--serve"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
        try:
            assert server.stdout is not None
            run(measure(int(server.stdout.readline())))
        finally:
            server.terminate()


if __name__ == "__main__":
    main()
