"""Measures how memory, messages and processor time grow with the size of a fleet.

Most figures are measured at two or three sizes; the slope is the growth per item.
docs/CAPACITY.md multiplies the slopes by the size of a fleet. The last measurement
starts a fleet of three entry instances with fake backend servers.

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
RESIDENTS_PER_ENGINE = 24
"""Number of artifacts in the memory of each engine."""
PEPPER = b"pepper"
ME = PeerId("entry-0000", "0123456789abcdef")
PEER = PeerId("entry-0001", "fedcba9876543210")
ENTRY_COUNT = 3
SETTLE_SECONDS = 8.0
"""Wait between the first chat and the measurement of idle instances."""
IDLE_SECONDS = 6.0
"""Duration of the measurement of idle instances."""
CHATS_PER_LENGTH = 200
CHAT_TOKENS = (4, 60)
"""Lengths of the replies in tokens; the slope is the cost of a token."""
CONCURRENT_CHATS = 8

encode = msgspec.msgpack.encode


class Figure(NamedTuple):
    """One figure, measured at one or several sizes."""

    what: str
    """Name of the figure."""
    per: str
    """Item that the slope refers to."""
    unit: str
    points: dict[int, float]
    """Measured values by size."""

    @property
    def slope(self) -> float:
        """Return the growth per item between the smallest and the largest size.

        With a single size, this is the value divided by the size.
        """
        sizes = sorted(self.points)
        least, most = sizes[0], sizes[-1]
        if least == most:
            return self.points[most] / most
        return (self.points[most] - self.points[least]) / (most - least)


class RecordingLinks:
    """Peer links that discard messages and record handlers, to be called directly."""

    def __init__(self, me: PeerId = ME) -> None:
        self.me = me
        self.handlers: dict[str, Any] = {}
        self.providers: dict[str, Callable[[], Any]] = {}
        self.receivers: dict[str, Callable[[PeerId, Any], None]] = {}
        self.peer_ids: list[PeerId] = [PEER]

    def peers(self) -> list[PeerId]:
        """Return the configured peers."""
        return self.peer_ids

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Record a handler."""
        self.handlers[message_type.__name__] = handler

    def send(self, to: PeerId, message: Any) -> None:
        """Discard a message."""

    def broadcast(self, message: Any) -> None:
        """Discard a message."""

    async def request(self, *args: Any, **kwargs: Any) -> Any:
        """Raise an error, as there is no peer to reply.

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
        self.providers[topic] = provide
        self.receivers[topic] = accept


class FixedOwnerMembers:
    """Membership of two instances in which one member is responsible for every key."""

    def __init__(self, owner: PeerId) -> None:
        self._owner = owner

    def standing(self) -> bool:
        """Return True, as this instance may always act."""
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
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size


def envelope_bytes(message: object) -> int:
    """Return the size of a message between instances before CURVE encryption."""
    body = msgspec.Raw(encode(message))
    name = type(message).__name__
    address = "10.20.30.40:9090"
    envelope = Envelope(Kind.SEND, ME, address, PEER.incarnation, 0, name, body)
    return len(encode(envelope))


# Configuration and keys


def document(models: int, keys: int, customers: int, servers: int) -> Sections:
    """Return a configuration document with the given numbers of items."""
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


def measure_configuration() -> list[Figure]:
    """Measure each section: size of its body, time to decode and build, and memory."""
    figures = []
    for section, sizes in (
        ("models", (400, 800, 1600)),
        ("keys", (500, 2000, 8000)),
        ("customers", (100, 500)),
        ("backends", (60, 300, 600)),
    ):
        body_bytes, cpu, retained = {}, {}, {}
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

            body_bytes[size] = len(body)
            cpu[size] = cpu_us(install, 10)
            retained[size] = retained_bytes(install)
        item = section.removesuffix("s")
        figures.append(Figure(f"section {section}: body", item, "bytes", body_bytes))
        figures.append(
            Figure(f"section {section}: decode and build", item, "CPU us", cpu)
        )
        figures.append(Figure(f"section {section}: in memory", item, "bytes", retained))
    return figures


def measure_key_authentication() -> list[Figure]:
    """Measure the authentication of a key by the number of issued keys."""
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
    return [Figure("check of a key", "key", "CPU us", points)]


# Backend servers


def states(servers: int) -> list[BackendState]:
    """Return the states of engines under load."""
    return [_state(number) for number in range(servers)]


def _state(number: int) -> BackendState:
    bases = [
        f"model-{(number * 3 + i) % 1600:04}" for i in range(RESIDENTS_PER_ENGINE // 3)
    ]
    adapters = [f"{base}-adapter-{i:02}" for base in bases for i in range(2)]
    resident = tuple(
        Resident(f"{name}@2026-11-1", 20_000, "ready", f"{number:08x}{i:08x}" * 2)
        for i, name in enumerate(bases + adapters)
    )
    return BackendState(
        f"engine-{number:04}", 0.0, 40, 2, 64, resident, 480_000, False, True, 12_345
    )


class PeerFedInventory:
    """Inventory that receives the states of all engines from one peer."""

    def __init__(self, servers: int) -> None:
        sections = document(0, 0, 0, servers)
        cfg: Configuration = build(1, sections)
        self.links = RecordingLinks()
        clock = SystemClock()
        retirement = Retirement(self.links, lambda *_: 0, clock)
        client: Any = None
        self.inventory = Inventory(
            client, self.links, FixedOwnerMembers(PEER), lambda: cfg, retirement, clock
        )
        self.now = clock.monotonic()
        self.states = states(servers)

    async def receive(self, encoded: list[bytes], kind: type[Any]) -> None:
        """Decode and handle messages from the peer."""
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


async def measure_inventory() -> list[Figure]:
    """Measure the memory for the state of each engine and the cost of each message."""
    retained, state_cpu, load_cpu, index_cpu = {}, {}, {}, {}
    for servers in (60, 300, 600):
        fed = PeerFedInventory(servers)
        digests, loads = fed.state_digests(), fed.load_digests()
        tracemalloc.start()
        await fed.receive(digests, StateDigest)
        fed.inventory.ready("x")
        gc.collect()
        retained[servers] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        receive = fed.receive
        state_cpu[servers] = await cpu_us_async(
            partial(receive, digests, StateDigest), 3
        )
        load_cpu[servers] = await cpu_us_async(partial(receive, loads, LoadDigest), 10)

        def rebuild(fed: PeerFedInventory = fed) -> None:
            fed.inventory._ready_index = None
            fed.inventory.ready("model-0001@2026-11-1")

        index_cpu[servers] = cpu_us(rebuild, 10)
    state = _state(1)._replace(as_of=0.0)
    load_digest = load_digest_of(state, 0.1, fingerprint_of(state))
    return [
        Figure("states of engines in memory", "engine", "bytes", retained),
        Figure("whole states taken in", "engine", "CPU us", state_cpu),
        Figure("load digests taken in", "engine", "CPU us", load_cpu),
        Figure("index of what is ready rebuilt", "engine", "CPU us", index_cpu),
        _single_figure(
            "StateDigest on a link", "message", envelope_bytes(digest_of(state, 0.1))
        ),
        _single_figure("LoadDigest on a link", "message", envelope_bytes(load_digest)),
    ]


def _single_figure(what: str, per: str, figure: float, unit: str = "bytes") -> Figure:
    return Figure(what, per, unit, {1: figure})


def measure_key_owners() -> list[Figure]:
    """Measure the time to find the member responsible for a key."""
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
    return [Figure("author of a key", "member", "CPU us", points)]


def measure_prefixes() -> list[Figure]:
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
        Figure("cached prefixes in memory", "prefix", "bytes", retained),
        Figure("CacheNews on a link", "event", "bytes", news),
        Figure("cache events taken in", "event", "CPU us", {2000: took}),
    ]


# Heartbeat topics and rate limits


def measure_topics() -> list[Figure]:
    """Measure the heartbeat topics whose size grows with the fleet."""
    demand = {n: _demand(n) for n in (0, 100, 1600)}
    shares = {n: _shares(n) for n in (0, 50, 500)}
    status = {n: Status(0.4, 7, 3, True, ("0" * 16,) * n) for n in (0, 100)}
    figures = []
    for what, per, values, kind in (
        ("demand", "artifact", demand, DemandDigest),
        ("shares", "customer", shares, list[ShareDigest]),
        ("membership", "revoked row", status, Status),
    ):
        value_bytes = {n: float(len(encode(value))) for n, value in values.items()}
        cpu = {
            n: cpu_us(lambda v=value, k=kind: _round_trip(v, k), 50)
            for n, value in values.items()
        }
        figures.append(Figure(f"topic {what}", per, "bytes", value_bytes))
        figures.append(Figure(f"topic {what}: encode and decode", per, "CPU us", cpu))
    return figures


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


async def measure_rate_limits() -> list[Figure]:
    """Measure the memory and the work for customers' rate limits on one instance."""
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
        heartbeat[customers] = cpu_us(links.providers["shares"], 20)
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
            links.receivers["shares"](PeerId(f"e{number}", "0"), value)
        known[peers] = tracemalloc.get_traced_memory()[0] / 50
        tracemalloc.stop()
    return [
        Figure("shares of a rate in memory (1 peer)", "customer", "bytes", retained),
        Figure(
            "step of the shares, each 0.5 s (1 peer)", "customer", "CPU us", stepped
        ),
        Figure("shares put into a heartbeat", "customer", "CPU us", heartbeat),
        Figure("a peer's share of a customer in memory", "peer", "bytes", known),
    ]


# Planner


def measure_planner() -> list[Figure]:
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
        Figure("planning round, median of 5 (elapsed)", "engine", "us", median),
        Figure("view of the planner in memory", "engine", "bytes", memory),
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

    async def read_counters(self, session: aiohttp.ClientSession) -> UsageCounts:
        """Read the counters of the instance since its start."""
        async with session.get(f"{self._url}/metrics") as resp:
            text = await resp.text()
        rows = [line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#"]
        metrics = {name: float(value) for name, value in rows}
        return UsageCounts(
            self.cpu_seconds(),
            self.log_bytes(),
            metrics["guavajunction_store_reads_total"],
            metrics["guavajunction_store_writes_total"],
            metrics["guavajunction_peer_sent_bytes_total"],
        )


class UsageCounts(NamedTuple):
    """Counters of one instance, since its start or per second."""

    cpu_seconds: float
    log_bytes: float
    table_reads: float
    table_writes: float
    peer_bytes: float


async def measure_instances() -> list[Figure]:
    """Measure instances first idle and then serving chats."""
    async with AsyncExitStack() as stack:
        var = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        profile = PROFILES["demo"]
        unlimited = [c._replace(rate=1e9, burst=1e9) for c in profile.customers]
        profile = profile._replace(customers=tuple(unlimited))
        fleet = await stack.enter_async_context(
            Fleet(profile, var, entries=ENTRY_COUNT)
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        entry_processes = [EntryProcess(fleet, index) for index in range(ENTRY_COUNT)]
        await _chat(fleet, session, max(CHAT_TOKENS))
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await _measure_idle(entry_processes, session)
        busy = await _measure_busy(entry_processes[0], fleet, session, idle)
        return _idle_figures(entry_processes, idle) + busy


async def _measure_idle(
    entry_processes: list[EntryProcess], session: aiohttp.ClientSession
) -> UsageCounts:
    """Return the counters of an idle instance per second, averaged over instances."""
    before = [await process.read_counters(session) for process in entry_processes]
    await asyncio.sleep(IDLE_SECONDS)
    after = [await process.read_counters(session) for process in entry_processes]
    return UsageCounts(
        *(_mean_rate(before, after, field) for field in UsageCounts._fields)
    )


def _mean_rate(
    before: list[UsageCounts], after: list[UsageCounts], field: str
) -> float:
    total = sum(getattr(c, field) for c in after)
    total -= sum(getattr(c, field) for c in before)
    return total / len(before) / IDLE_SECONDS


def _idle_figures(
    entry_processes: list[EntryProcess], idle: UsageCounts
) -> list[Figure]:
    resident = max(process.resident_mib() for process in entry_processes)
    unshared = max(process.unshared_mib() for process in entry_processes)
    what = f"instance of {ENTRY_COUNT}, idle"
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


async def _measure_busy(
    process: EntryProcess,
    fleet: Fleet,
    session: aiohttp.ClientSession,
    idle: UsageCounts,
) -> list[Figure]:
    cpu, logged = {}, {}
    for tokens in CHAT_TOKENS:
        started, before = time.monotonic(), await process.read_counters(session)
        await _chats(fleet, session, tokens)
        after, elapsed = (
            await process.read_counters(session),
            time.monotonic() - started,
        )
        spent = after.cpu_seconds - before.cpu_seconds - idle.cpu_seconds * elapsed
        cpu[tokens] = spent / CHATS_PER_LENGTH * 1e6
        written = after.log_bytes - before.log_bytes - idle.log_bytes * elapsed
        logged[tokens] = written / CHATS_PER_LENGTH
    resident = process.resident_mib()
    return [
        Figure("streamed chat, idle work deducted", "token", "CPU us", cpu),
        Figure("streamed chat: log", "token", "bytes", logged),
        _single_figure("instance after chats: resident", "instance", resident, "MiB"),
    ]


async def _chats(fleet: Fleet, session: aiohttp.ClientSession, tokens: int) -> None:
    semaphore = asyncio.Semaphore(CONCURRENT_CHATS)

    async def one() -> None:
        async with semaphore:
            await _chat(fleet, session, tokens)

    await asyncio.gather(*(one() for _ in range(CHATS_PER_LENGTH)))


def prompt_with_long_answer(model: str) -> str:
    """Return a prompt whose reply is as long as the longest of `CHAT_TOKENS`."""
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
    raise RuntimeError(
        f"no complete reply from {url}, status {resp.status}: {answer[:200]!r}"
    )


def measure_imports() -> list[Figure]:
    """Measure the memory of new interpreters after importing modules."""
    figures = []
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
        figures.append(_single_figure(f"imported: {what}", "process", mib, "MiB"))
    return figures


# Peer links and store polls, measured by control_cost


async def measure_links(port: int) -> list[Figure]:
    """Measure heartbeats, requests to peers and polls of the member rows."""
    heartbeats = {size: await control_cost.measure_heartbeats(size) for size in (4, 8)}
    heartbeat_bytes = await control_cost.measure_wire_heartbeat()
    request_cost = await control_cost.measure_requests()
    polls = {size: await control_cost.measure_poll(port, size) for size in (8, 64, 390)}
    return [
        _single_figure(
            "heartbeat sent and received, 8 instances",
            "heartbeat",
            heartbeats[8].cpu_us,
            "CPU us",
        ),
        _single_figure("heartbeat in the TCP stream", "heartbeat", heartbeat_bytes),
        _single_figure(
            "question and answer, both sides", "question", request_cost.cpu_us, "CPU us"
        ),
        _single_figure(
            "question and answer, both sides",
            "question",
            request_cost.transferred_bytes,
        ),
        Figure(
            "poll of the member rows",
            "member",
            "CPU us",
            {n: c.cpu_us for n, c in polls.items()},
        ),
        Figure(
            "poll of the member rows",
            "member",
            "bytes",
            {n: c.transferred_bytes for n, c in polls.items()},
        ),
    ]


async def measure(port: int) -> list[Figure]:
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


def table_of(figures: list[Figure]) -> str:
    """Return the figures as a text table."""
    rows = [f"{'what':<46}{'slope':>12} {'unit':<8}{'per':<13}at size: figure"]
    for figure in figures:
        points = ", ".join(f"{n}: {value:,.6g}" for n, value in figure.points.items())
        rows.append(
            f"{figure.what:<46}{figure.slope:>12,.4g} {figure.unit:<8}"
            f"{figure.per:<13}{points}"
        )
    return "\n".join(rows)


def main(argv: list[str]) -> None:
    """Start the store server, run all measurements and print the figures."""
    eliot.add_destinations(lambda message: None)
    command = [sys.executable, control_cost.__file__, "--serve"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
        try:
            assert server.stdout is not None
            figures = uvloop.run(measure(int(server.stdout.readline())))
        finally:
            server.terminate()
    as_json = [figure._asdict() | {"slope": figure.slope} for figure in figures]
    print(json.dumps(as_json) if "--json" in argv else table_of(figures))


if __name__ == "__main__":
    main(sys.argv)
