"""Measures how memory, messages and processor time grow with the size of a fleet.

Most figures are measured at two or three sizes, and the slope of such a figure is its
growth per item. docs/CAPACITY.md multiplies the slopes by the size of a fleet. The last
part starts a fleet of three entry instances with fake backend servers.

Run `python bench/capacity.py`. With `--json` it prints the figures as JSON.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import json
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import control_cost
import eliot
import msgspec
import psutil
import uvloop

import placement as placement_bench
from guavajunction.backends import Inventory, Retirement
from guavajunction.backends._digests import digest_of, fingerprint_of, load_digest_of
from guavajunction.backends._messages import CacheNews, LoadDigest, StateDigest
from guavajunction.backends._model import BackendState, CacheEvent, Resident
from guavajunction.backends._prefix_index import PrefixIndex
from guavajunction.clock import SystemClock
from guavajunction.configuration import Configuration, Customer
from guavajunction.configuration._bodies import encode_section
from guavajunction.configuration._build import build
from guavajunction.configuration._model import EMPTY_CONFIGURATION
from guavajunction.configuration._tables import Sections, empty_sections
from guavajunction.customers import KeyAuthenticator, RateLimits
from guavajunction.customers._keys import issue
from guavajunction.customers._messages import ShareDigest
from guavajunction.membership import Membership, MembershipConfig
from guavajunction.membership._messages import Status
from guavajunction.membership._model import Member, MemberRow, View
from guavajunction.peers import PeerId
from guavajunction.peers._envelope import Envelope, Kind
from guavajunction.placement._messages import ArtifactDemand, DemandDigest
from guavajunction.storage import InstanceRecord, Row
from guavajunction_fakes.engine import answer_tokens
from guavajunction_fakes.fleet import PROFILES, Fleet

ADAPTERS_PER_MODEL = 10
RESIDENTS = 24
"""Number of artifacts in the memory of each engine."""
PEPPER = b"pepper"
ME = PeerId("entry-0000", "0123456789abcdef")
PEER = PeerId("entry-0001", "fedcba9876543210")
ENTRIES = 3
SETTLE_SECONDS = 8.0
"""Time for which the fleet settles after the first chat."""
IDLE_SECONDS = 6.0
"""Time over which idle instances are measured."""
CHATS = 200
CHAT_TOKENS = (4, 60)
"""Lengths of the replies; the slope is the cost of a token."""
CHATS_AT_ONCE = 8

encode = msgspec.msgpack.encode


class Line(NamedTuple):
    """One figure, measured at one or several sizes."""

    what: str
    """Name of the figure."""
    per: str
    """Item that the slope refers to."""
    unit: str
    points: dict[int, float]
    """Figures by size."""

    @property
    def slope(self) -> float:
        """Return the growth per item between the smallest and the largest size."""
        sizes = sorted(self.points)
        least, most = sizes[0], sizes[-1]
        if least == most:
            return self.points[most] / most
        return (self.points[most] - self.points[least]) / (most - least)


class RecordingLinks:
    """Links that record handlers and topics for direct calls and discard messages."""

    def __init__(self, me: PeerId = ME) -> None:
        self.me = me
        self.handlers: dict[str, Any] = {}
        self.provide: dict[str, Callable[[], Any]] = {}
        self.accept: dict[str, Callable[[PeerId, Any], None]] = {}
        self.known: list[PeerId] = [PEER]

    def peers(self) -> list[PeerId]:
        """Return the configured peers."""
        return self.known

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Record a handler."""
        self.handlers[message_type.__name__] = handler

    def send(self, to: PeerId, message: Any) -> None:
        """Send nothing."""

    def broadcast(self, message: Any) -> None:
        """Send nothing."""

    async def request(self, *args: Any, **kwargs: Any) -> Any:
        """Raise an error, because no peer can reply.

        Raises:
            RuntimeError: Always.
        """
        raise RuntimeError("no request to a peer is expected in this measurement")

    def add_topic(
        self,
        topic: str,
        provide: Callable[[], Any],
        accept: Callable[[PeerId, Any], None],
        value_type: type[Any],
    ) -> None:
        """Record a topic."""
        self.provide[topic] = provide
        self.accept[topic] = accept


class FixedOwnerMembers:
    """Membership of two instances in which one member is responsible for every key."""

    def __init__(self, owner: PeerId) -> None:
        self._owner = owner

    def standing(self) -> bool:
        """Return that this instance may act."""
        return True

    def live_members(self) -> list[PeerId]:
        """Return both members."""
        return [ME, PEER]

    def owner_of(self, key: str) -> PeerId:
        """Return the member responsible for every key."""
        return self._owner

    async def unrevoked_members(self) -> list[PeerId]:
        """Return both members."""
        return [ME, PEER]


class MemoryTable:
    """Table client that keeps rows in memory."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read a row."""
        return self._rows.get((partition, sort))

    async def query(self, partition: str) -> list[Row]:
        """Read a partition."""
        return [row for row in self._rows.values() if row.partition == partition]

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row without checking its version, as there is one writer."""
        row = Row(partition, sort, expected + 1, body)
        self._rows[partition, sort] = row
        return row

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row."""
        del self._rows[partition, sort]


def cpu_us(operation: Callable[[], object], times: int) -> float:
    """Return the processor time of one call in microseconds."""
    operation()
    started = time.process_time()
    for _ in range(times):
        operation()
    return (time.process_time() - started) / times * 1e6


async def cpu_us_async(operation: Callable[[], Awaitable[object]], times: int) -> float:
    """Return the processor time of one awaited call in microseconds."""
    await operation()
    started = time.process_time()
    for _ in range(times):
        await operation()
    return (time.process_time() - started) / times * 1e6


def retained_bytes(make: Callable[[], object]) -> int:
    """Return the memory in bytes that the result of a function occupies."""
    make()
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def envelope_bytes(message: object) -> int:
    """Return the size of a message sent between two instances, without CURVE."""
    body = msgspec.Raw(encode(message))
    name = type(message).__name__
    address = "10.20.30.40:9090"
    envelope = Envelope(Kind.SEND, ME, address, PEER.incarnation, 0, name, body)
    return len(encode(envelope))


# Configuration and keys


def document(models: int, keys: int, customers: int, servers: int) -> Sections:
    """Return a document with the given numbers of items."""
    sections = empty_sections()
    sections["models"] = {f"model-{i:04}": _model_table(i) for i in range(models)}
    sections["customers"] = {
        f"customer-{i:04}": {"rate": 9000.0, "burst": 72000.0} for i in range(customers)
    }
    for number in range(keys):
        record = issue(f"customer-{number % max(1, customers):04}", PEPPER).record
        table = {"customer": record.customer, "digest": record.digest}
        sections["keys"][record.key_id] = table
    sections["backends"] = {f"engine-{i:04}": _server_table(i) for i in range(servers)}
    return sections


def _model_table(number: int) -> dict[str, Any]:
    adapters = {
        f"model-{number:04}-adapter-{i:02}": {"version": "2026-11-1", "memory_mib": 60}
        for i in range(ADAPTERS_PER_MODEL)
    }
    return {
        "version": "2026-11-1",
        "pool": f"pool-{number % 6}",
        "memory_mib": 20_000,
        "min_replicas": 1,
        "adapters": adapters,
    }


def _server_table(number: int) -> dict[str, Any]:
    return {
        "kind": "engine",
        "address": f"10.1.{number // 250}.{number % 250}:8000",
        "data_centre": f"region-dc-{number % 5}",
        "pool": f"pool-{number % 6}",
        "accelerators": 8,
        "memory_mib": 640_000,
        "kv_reserve_mib": 80_000,
        "slots": 64,
    }


def measure_configuration() -> list[Line]:
    """Measure each section: its body, decoding and building, and its memory."""
    lines = []
    for section, sizes in (
        ("models", (400, 800, 1600)),
        ("keys", (500, 2000, 8000)),
        ("customers", (100, 500)),
        ("backends", (60, 300, 600)),
    ):
        octets, cpu, retained = {}, {}, {}
        for size in sizes:
            counts = {"models": 0, "keys": 0, "customers": 0, "backends": 0}
            counts[section] = size
            body = encode_section(document(*counts.values())[section])

            def install(section: str = section, body: bytes = body) -> object:
                sections = empty_sections()
                sections[section] = msgspec.json.decode(body)
                return sections, build(
                    1, sections, previous=EMPTY_CONFIGURATION, changed={section}
                )

            octets[size] = len(body)
            cpu[size] = cpu_us(install, 10)
            retained[size] = retained_bytes(install)
        one = section.removesuffix("s")
        lines.append(Line(f"section {section}: body", one, "bytes", octets))
        lines.append(Line(f"section {section}: decode and build", one, "CPU us", cpu))
        lines.append(Line(f"section {section}: in memory", one, "bytes", retained))
    return lines


def measure_key_authentication() -> list[Line]:
    """Measure the authentication of a key among many."""
    points = {}
    for size in (500, 2000, 8000):
        issued = [issue("customer", PEPPER) for _ in range(size)]
        keys = {each.record.digest: each.record for each in issued}
        customers = {"customer": Customer("customer", 1.0, 1.0)}
        cfg = EMPTY_CONFIGURATION._replace(keys=keys, customers=customers)
        authenticator = KeyAuthenticator(lambda cfg=cfg: cfg, PEPPER)
        headers = [f"Bearer {each.key}" for each in issued]
        rng = random.Random(1)
        operation = lambda: authenticator.authenticate(rng.choice(headers))  # noqa: E731, B023
        points[size] = cpu_us(operation, 3000)
    return [Line("check of a key", "key", "CPU us", points)]


# Backend servers


def states(servers: int) -> list[BackendState]:
    """Return the states of engines under load."""
    return [_state(number) for number in range(servers)]


def _state(number: int) -> BackendState:
    bases = [f"model-{(number * 3 + i) % 1600:04}" for i in range(RESIDENTS // 3)]
    adapters = [f"{base}-adapter-{i:02}" for base in bases for i in range(2)]
    resident = tuple(
        Resident(f"{name}@2026-11-1", 20_000, "ready", f"{number:08x}{i:08x}" * 2)
        for i, name in enumerate(bases + adapters)
    )
    return BackendState(
        f"engine-{number:04}", 0.0, 40, 2, 64, resident, 480_000, False, True, 12_345
    )


class PeerFedInventory:
    """An inventory that receives all states from one peer."""

    def __init__(self, servers: int) -> None:
        document_ = document(0, 0, 0, servers)
        cfg: Configuration = build(1, document_)
        self.links = RecordingLinks()
        clock = SystemClock()
        retirement = Retirement(self.links, lambda *_: 0, clock)
        client: Any = None
        self.inventory = Inventory(
            client, self.links, FixedOwnerMembers(PEER), lambda: cfg, retirement, clock
        )
        self.now = clock.monotonic()
        self.states = states(servers)

    async def take(self, encoded: list[bytes], kind: type[Any]) -> None:
        """Decode and handle messages of the peer."""
        handler = self.links.handlers[kind.__name__]
        for body in encoded:
            await handler(PEER, msgspec.msgpack.decode(body, type=kind))

    def state_digests(self) -> list[bytes]:
        """Return an encoded message with the whole state of each engine."""
        current = [state._replace(as_of=self.now) for state in self.states]
        return [encode(digest_of(state, self.now)) for state in current]

    def load_digests(self) -> list[bytes]:
        """Return an encoded message with the load of each engine."""
        newer = [s._replace(as_of=self.now, seq=s.seq + 1) for s in self.states]
        return [
            encode(load_digest_of(state, self.now, fingerprint_of(state)))
            for state in newer
        ]


async def measure_inventory() -> list[Line]:
    """Measure the memory for the state of each engine and the cost of each message."""
    retained, whole, load, index = {}, {}, {}, {}
    for servers in (60, 300, 600):
        fed = PeerFedInventory(servers)
        digests, loads = fed.state_digests(), fed.load_digests()
        tracemalloc.start()
        await fed.take(digests, StateDigest)
        fed.inventory.ready("x")
        gc.collect()
        retained[servers] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        take = fed.take
        whole[servers] = await cpu_us_async(partial(take, digests, StateDigest), 3)
        load[servers] = await cpu_us_async(partial(take, loads, LoadDigest), 10)

        def rebuild(fed: PeerFedInventory = fed) -> None:
            fed.inventory._ready_index = None
            fed.inventory.ready("model-0001@2026-11-1")

        index[servers] = cpu_us(rebuild, 10)
    state = _state(1)._replace(as_of=0.0)
    load_digest = load_digest_of(state, 0.1, fingerprint_of(state))
    return [
        Line("states of engines in memory", "engine", "bytes", retained),
        Line("whole states taken in", "engine", "CPU us", whole),
        Line("load digests taken in", "engine", "CPU us", load),
        Line("index of what is ready rebuilt", "engine", "CPU us", index),
        _single_figure(
            "StateDigest on a link", "message", envelope_bytes(digest_of(state, 0.1))
        ),
        _single_figure("LoadDigest on a link", "message", envelope_bytes(load_digest)),
    ]


def _single_figure(what: str, per: str, figure: float, unit: str = "bytes") -> Line:
    return Line(what, per, unit, {1: figure})


def measure_key_owners() -> list[Line]:
    """Measure how an instance computes the member responsible for a key."""
    points = {}
    for size in (8, 64, 390):
        clock = SystemClock()
        mesh: Any = RecordingLinks()
        peers = [PeerId(f"entry-{i:04}", f"{i:016x}") for i in range(size)]
        mesh.peers_seen_within = lambda seconds, peers=peers: set(peers)
        record = InstanceRecord("entry-0000", "dc", "10.0.0.1", 80, 90, "live")
        client: Any = None
        cfg = MembershipConfig()
        members = Membership(MemoryTable(), client, mesh, clock, cfg, record)
        rows = [Member(p, 1, MemberRow(record, 1, "live")) for p in peers]
        now = clock.monotonic()
        members._observer.record_read(now, now, rows, View(1, tuple(peers)))
        points[size] = cpu_us(lambda m=members: m.owner_of("backend/engine-0001"), 100)
    return [Line("author of a key", "member", "CPU us", points)]


def measure_prefixes() -> list[Line]:
    """Measure an engine's cached prefixes in memory and in messages."""
    rng = random.Random(1)

    def events(count: int) -> tuple[CacheEvent, ...]:
        return tuple(
            CacheEvent(
                n + 1, "stored", "model-0001@2026-11-1", f"{rng.getrandbits(64):016x}"
            )
            for n in range(count)
        )

    def fill(count: int) -> PrefixIndex:
        index = PrefixIndex()
        index.extend(0, events(count), count)
        return index

    retained = {
        size: retained_bytes(lambda n=size: fill(n)) for size in (512, 2048, 4096)
    }
    news = {
        size: envelope_bytes(CacheNews("engine-0001", 0, events(size), size))
        for size in (1, 11, 101)
    }
    batch = events(2000)
    took = cpu_us(lambda: PrefixIndex().extend(0, batch, 2000), 5)
    return [
        Line("cached prefixes in memory", "prefix", "bytes", retained),
        Line("CacheNews on a link", "event", "bytes", news),
        Line("cache events taken in", "event", "CPU us", {2000: took}),
    ]


# Heartbeat topics and rate limits


def measure_topics() -> list[Line]:
    """Measure the heartbeat topics whose size grows with the fleet."""
    demand = {n: _demand(n) for n in (0, 100, 1600)}
    shares = {n: _shares(n) for n in (0, 50, 500)}
    status = {n: Status(0.4, 7, 3, True, ("0" * 16,) * n) for n in (0, 100)}
    lines = []
    for what, per, values, kind in (
        ("demand", "artifact", demand, DemandDigest),
        ("shares", "customer", shares, list[ShareDigest]),
        ("membership", "revoked row", status, Status),
    ):
        octets = {n: float(len(encode(value))) for n, value in values.items()}
        cpu = {
            n: cpu_us(lambda v=value, k=kind: _round_trip(v, k), 50)
            for n, value in values.items()
        }
        lines.append(Line(f"topic {what}", per, "bytes", octets))
        lines.append(Line(f"topic {what}: encode and decode", per, "CPU us", cpu))
    return lines


def _round_trip(value: Any, kind: Any) -> Any:
    return msgspec.msgpack.decode(encode(value), type=kind)


def _demand(count: int) -> DemandDigest:
    return DemandDigest(
        tuple(
            ArtifactDemand(f"model-{i:04}@2026-11-1", 1.25, 250.5, 0)
            for i in range(count)
        )
    )


def _shares(count: int) -> list[ShareDigest]:
    return [
        ShareDigest(f"customer-{i:04}", 3, 340, 0, 24_000_000_000, 812.5, 310.0)
        for i in range(count)
    ]


async def measure_rate_limits() -> list[Line]:
    """Measure the shares of the customers' rate limits on one instance."""
    retained, stepped, heartbeat = {}, {}, {}
    for customers in (100, 500):
        cfg = build(1, document(0, 0, customers, 0))
        links = RecordingLinks()
        tracemalloc.start()
        limits = RateLimits(
            lambda cfg=cfg: cfg,
            links,
            MemoryTable(),
            FixedOwnerMembers(ME),
            SystemClock(),
        )
        await limits.step()
        await limits.step()
        gc.collect()
        retained[customers] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        stepped[customers] = await cpu_us_async(limits.step, 10)
        heartbeat[customers] = cpu_us(links.provide["shares"], 20)
    known = {}
    for peers in (8, 64):
        links = RecordingLinks()
        cfg = build(1, document(0, 0, 50, 0))
        limits = RateLimits(
            lambda cfg=cfg: cfg,
            links,
            MemoryTable(),
            FixedOwnerMembers(ME),
            SystemClock(),
        )
        await limits.step()
        digests = encode(_shares(50))
        tracemalloc.start()
        for number in range(peers):
            value = msgspec.msgpack.decode(digests, type=list[ShareDigest])
            links.accept["shares"](PeerId(f"e{number}", "0"), value)
        known[peers] = tracemalloc.get_traced_memory()[0] / 50
        tracemalloc.stop()
    return [
        Line("shares of a rate in memory (1 peer)", "customer", "bytes", retained),
        Line("step of the shares, each 0.5 s (1 peer)", "customer", "CPU us", stepped),
        Line("shares put into a heartbeat", "customer", "CPU us", heartbeat),
        Line("a peer's share of a customer in memory", "peer", "bytes", known),
    ]


# Planner, log lines


def measure_planner() -> list[Line]:
    """Measure planning rounds for pools of several sizes."""
    median, memory = {}, {}
    for servers, models in ((60, 160), (300, 800), (600, 1600)):
        fleet = placement_bench.Fleet(servers, 64, 640_000, models, 0.55)
        sim = placement_bench.Simulation(
            fleet, placement_bench.StaticEven(), 60.0, seed=1
        )
        rng = random.Random(1)
        product_planner = placement_bench.ProductPlanner()
        for _ in range(5):
            sim.now += 1.0
            for model in range(models):
                burst = 10.0 if rng.random() < 0.02 else 1.0
                sim.rates[model] = sim.traffic.rate(model, 0.0) * burst
            product_planner.decide(sim)
        median[servers] = sorted(product_planner.round_seconds)[2] * 1e6
        need = {f"m{m}": 1.0 for m in range(models)}
        memory[servers] = retained_bytes(
            lambda sim=sim, need=need: placement_bench._view_of(sim, need)
        )
    return [
        Line("planning round, median of 5 (elapsed)", "engine", "us", median),
        Line("view of the planner in memory", "engine", "bytes", memory),
    ]


# Running instances


class EntryProcess:
    """Process of one entry instance of the demonstration fleet."""

    def __init__(self, fleet: Fleet, index: int) -> None:
        self._url = fleet.urls[index]
        self._process = fleet.processes[index]
        self._usage = psutil.Process(self._process.pid)

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        times = self._usage.cpu_times()
        return times.user + times.system

    def resident_mib(self) -> float:
        """Return the resident memory of the process."""
        return self._usage.memory_info().rss / 2**20

    def unshared_mib(self) -> float:
        """Return the memory that the process doesn't share with others."""
        return self._usage.memory_full_info().uss / 2**20

    def log_bytes(self) -> int:
        """Return the number of bytes that the process has logged."""
        return self._process.log_path.stat().st_size

    async def count(self, session: aiohttp.ClientSession) -> UsageCounts:
        """Return the counters of the instance since its start."""
        async with session.get(f"{self._url}/metrics") as resp:
            text = await resp.text()
        rows = [line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#"]
        found = {name: float(figure) for name, figure in rows}
        return UsageCounts(
            self.cpu_seconds(),
            self.log_bytes(),
            found["guavajunction_store_reads_total"],
            found["guavajunction_store_writes_total"],
            found["guavajunction_peer_sent_bytes_total"],
        )


class UsageCounts(NamedTuple):
    """Counters of one instance, since its start or per second."""

    cpu_seconds: float
    log_bytes: float
    table_reads: float
    table_writes: float
    peer_bytes: float


async def measure_instances() -> list[Line]:
    """Measure instances first idle and then serving chats."""
    async with AsyncExitStack() as stack:
        var = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        profile = PROFILES["demo"]
        unlimited = [c._replace(rate=1e9, burst=1e9) for c in profile.customers]
        profile = profile._replace(customers=tuple(unlimited))
        fleet = await stack.enter_async_context(Fleet(profile, var, entries=ENTRIES))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        entry_processes = [EntryProcess(fleet, index) for index in range(ENTRIES)]
        await _chat(fleet, session, max(CHAT_TOKENS))
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await _idle(entry_processes, session)
        busy = await _busy(entry_processes[0], fleet, session, idle)
        return _idle_lines(entry_processes, idle) + busy


async def _idle(
    entry_processes: list[EntryProcess], session: aiohttp.ClientSession
) -> UsageCounts:
    """Return the counters of an idle instance per second, averaged over instances."""
    before = [await process.count(session) for process in entry_processes]
    await asyncio.sleep(IDLE_SECONDS)
    after = [await process.count(session) for process in entry_processes]
    return UsageCounts(
        *(_mean_growth(before, after, field) for field in UsageCounts._fields)
    )


def _mean_growth(
    before: list[UsageCounts], after: list[UsageCounts], field: str
) -> float:
    total = sum(getattr(c, field) for c in after)
    total -= sum(getattr(c, field) for c in before)
    return total / len(before) / IDLE_SECONDS


def _idle_lines(entry_processes: list[EntryProcess], idle: UsageCounts) -> list[Line]:
    resident = max(process.resident_mib() for process in entry_processes)
    unshared = max(process.unshared_mib() for process in entry_processes)
    what = f"instance of {ENTRIES}, idle"
    return [
        _single_figure(f"{what}: resident", "instance", resident, "MiB"),
        _single_figure(f"{what}: unshared", "instance", unshared, "MiB"),
        _single_figure(f"{what}: processor", "instance", idle.cpu_seconds, "cores"),
        _single_figure(f"{what}: log", "instance", idle.log_bytes, "bytes/s"),
        _single_figure(f"{what}: table reads", "instance", idle.table_reads, "1/s"),
        _single_figure(f"{what}: table writes", "instance", idle.table_writes, "1/s"),
        _single_figure(
            f"{what}: sent to peers", "instance", idle.peer_bytes, "bytes/s"
        ),
    ]


async def _busy(
    process: EntryProcess,
    fleet: Fleet,
    session: aiohttp.ClientSession,
    idle: UsageCounts,
) -> list[Line]:
    cpu, logged = {}, {}
    for tokens in CHAT_TOKENS:
        started, before = time.monotonic(), await process.count(session)
        await _chats(fleet, session, tokens)
        after, elapsed = await process.count(session), time.monotonic() - started
        spent = after.cpu_seconds - before.cpu_seconds - idle.cpu_seconds * elapsed
        cpu[tokens] = spent / CHATS * 1e6
        written = after.log_bytes - before.log_bytes - idle.log_bytes * elapsed
        logged[tokens] = written / CHATS
    resident = process.resident_mib()
    return [
        Line("streamed chat, idle work deducted", "token", "CPU us", cpu),
        Line("streamed chat: log", "token", "bytes", logged),
        _single_figure("instance after chats: resident", "instance", resident, "MiB"),
    ]


async def _chats(fleet: Fleet, session: aiohttp.ClientSession, tokens: int) -> None:
    semaphore = asyncio.Semaphore(CHATS_AT_ONCE)

    async def one() -> None:
        async with semaphore:
            await _chat(fleet, session, tokens)

    await asyncio.gather(*(one() for _ in range(CHATS)))


def prompt_with_long_answer(model: str) -> str:
    """Return a prompt that the fake engine answers with the requested token count."""
    prompts = (f"{number} {'x' * 200}" for number in itertools.count())
    most = max(CHAT_TOKENS)
    return next(p for p in prompts if len(answer_tokens(model, p, most)) == most)


async def _chat(fleet: Fleet, session: aiohttp.ClientSession, tokens: int) -> None:
    model = fleet.profile.models[0].name
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt_with_long_answer(model)}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {fleet.customers[0].key}"}
    url = f"{fleet.urls[0]}/v1/chat/completions"
    for _ in range(100):
        async with session.post(url, json=body, headers=headers) as resp:
            answer = await resp.read()
            if resp.status == 200 and b"[DONE]" in answer:
                return
        await asyncio.sleep(0.2)
    raise RuntimeError(f"{url} returned status {resp.status}: {answer[:200]!r}")


def measure_imports() -> list[Line]:
    """Measure the memory of interpreters that have only imported modules."""
    lines = []
    for what, modules in (
        ("interpreter alone", ""),
        (
            "libraries",
            "aiohttp.web, zmq.asyncio, uvloop, aiomisc, eliot, hdrh.histogram",
        ),
        ("the daemon's modules", "guavajunction_entry.main"),
    ):
        code = f"import {modules or 'sys'}\nimport psutil\n"
        code += "print(psutil.Process().memory_info().rss)"
        out = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, text=True
        )
        mib = int(out.stdout) / 2**20
        lines.append(_single_figure(f"imported: {what}", "process", mib, "MiB"))
    return lines


# Peer links and store polls, measured by control_cost


async def measure_links(port: int) -> list[Line]:
    """Measure heartbeats, requests to peers and polls of the member rows."""
    heartbeats = {size: await control_cost.measure_heartbeats(size) for size in (4, 8)}
    wire = await control_cost.measure_wire_heartbeat()
    request_cost = await control_cost.measure_requests()
    polls = {size: await control_cost.measure_poll(port, size) for size in (8, 64, 390)}
    return [
        _single_figure(
            "heartbeat sent and received, 8 instances",
            "heartbeat",
            heartbeats[8].cpu_us,
            "CPU us",
        ),
        _single_figure("heartbeat in the TCP stream", "heartbeat", wire),
        _single_figure(
            "question and answer, both sides", "question", request_cost.cpu_us, "CPU us"
        ),
        _single_figure(
            "question and answer, both sides", "question", request_cost.octets
        ),
        Line(
            "poll of the member rows",
            "member",
            "CPU us",
            {n: c.cpu_us for n, c in polls.items()},
        ),
        Line(
            "poll of the member rows",
            "member",
            "bytes",
            {n: c.octets for n, c in polls.items()},
        ),
    ]


async def measure(port: int) -> list[Line]:
    """Run all measurements."""
    return [
        *measure_configuration(),
        *measure_key_authentication(),
        *await measure_inventory(),
        *measure_key_owners(),
        *measure_prefixes(),
        *measure_topics(),
        *await measure_rate_limits(),
        *measure_planner(),
        *await measure_links(port),
        *measure_imports(),
        *await measure_instances(),
    ]


def table_of(lines: list[Line]) -> str:
    """Return the figures as a text table."""
    rows = [f"{'what':<46}{'slope':>12} {'unit':<8}{'per':<13}at size: figure"]
    for line in lines:
        points = ", ".join(f"{n}: {figure:,.6g}" for n, figure in line.points.items())
        rows.append(
            f"{line.what:<46}{line.slope:>12,.4g} {line.unit:<8}{line.per:<13}{points}"
        )
    return "\n".join(rows)


def main(argv: list[str]) -> None:
    """Run all measurements and print the figures."""
    eliot.add_destinations(lambda message: None)
    command = [sys.executable, control_cost.__file__, "--serve"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
        try:
            assert server.stdout is not None
            lines = uvloop.run(measure(int(server.stdout.readline())))
        finally:
            server.terminate()
    as_json = [line._asdict() | {"slope": line.slope} for line in lines]
    print(json.dumps(as_json) if "--json" in argv else table_of(lines))


if __name__ == "__main__":
    main(sys.argv)
