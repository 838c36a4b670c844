"""A simulated fleet of gateways at backend servers that can fall over."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter, deque

from fakes_gateway import BOOKINGS, FakeAnswer, FakeGateway, FakeSink, backend, request
from fakes_platform import FakeTable
from guavajunction.errors import (
    NotSent,
    OutcomeUnknown,
    PeerTimeout,
    RequestError,
)
from guavajunction.fleet import Member
from guavajunction.gateway import AnswerHead, Framing
from guavajunction.peers import PeerId
from guavajunction_entry.gateway._brittle_rows import BrittleRows
from guavajunction_entry.gateway._place_links import PlaceLinks
from virtual_time import VirtualClock

HOP_SECONDS = 0.001
HEARTBEAT_SECONDS = 0.5
REFRESH_SECONDS = 0.2
DOWN_SECONDS = 2.0
RECORD_SECONDS = 0.4
"""Time until instances read the record of a server that has restarted."""


class Server:
    """A plain server with a queue, as its instances see it."""

    def __init__(self, name, *, slots, waiting, work_seconds):
        self.name = name
        self.slots = slots
        self.waiting_allowed = waiting
        self.work_seconds = work_seconds
        self.bears = None
        self.incarnation = 1
        self.is_down = False
        self.running = 0
        self.turns = deque()
        self.started_at = []
        self.rejected_at = []
        self.fell_at = []

    def record(self):
        return backend(
            self.name, BOOKINGS, slots=self.slots, incarnation=self.incarnation
        )

    def head(self, status, *, not_run=False):
        bears = None if self.bears is None else f"{self.bears}"
        return AnswerHead(
            status, "", (), not_run, False, Framing.LENGTH, bears_rejections=bears
        )

    async def handle(self, fleet):
        """Run one request and return the head of its answer."""
        boot = self.incarnation
        if self.running >= self.slots:
            if len(self.turns) >= self.waiting_allowed:
                self.reject(fleet)
                return self.head(503, not_run=True)
            turn = asyncio.get_running_loop().create_future()
            self.turns.append(turn)
            await turn
        else:
            self.running += 1
        try:
            self.started_at.append(fleet.clock.monotonic())
            await asyncio.sleep(self.work_seconds)
        finally:
            if boot == self.incarnation:
                self.pass_on()
        if boot != self.incarnation:
            raise OutcomeUnknown("fell over", connection_lost=True)
        return self.head(200)

    def pass_on(self):
        while self.turns:
            turn = self.turns.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def reject(self, fleet):
        now = fleet.clock.monotonic()
        self.rejected_at.append(now)
        recent = sum(at > now - 1.0 for at in self.rejected_at)
        if self.bears is not None and recent > self.bears and not self.is_down:
            self.fell_at.append(now)
            fleet.spawn(self.fall(fleet))

    async def fall(self, fleet):
        self.is_down = True
        self.incarnation += 1
        self.running = 0
        turns, self.turns = self.turns, deque()
        for turn in turns:
            if not turn.done():
                turn.set_exception(OutcomeUnknown("fell over", connection_lost=True))
        await asyncio.sleep(DOWN_SECONDS)
        self.is_down = False
        await asyncio.sleep(RECORD_SECONDS)
        for instance in fleet.instances.values():
            instance.gateway.registry.put(self.record())


class Caller:
    """Sends the requests of one instance to the servers."""

    def __init__(self, fleet):
        self.fleet = fleet

    @contextlib.asynccontextmanager
    async def send(self, record, req, *, customer, priority, seconds_left):
        server = self.fleet.servers[record.name]
        await asyncio.sleep(HOP_SECONDS)
        if server.is_down or record.incarnation != server.incarnation:
            raise NotSent("refused")
        try:
            async with asyncio.timeout(seconds_left):
                head = await server.handle(self.fleet)
        except TimeoutError as exc:
            raise OutcomeUnknown("no answer in time") from exc
        await asyncio.sleep(HOP_SECONDS)
        answer = FakeAnswer()
        answer.head = head
        yield answer


class Instance:
    """One instance; stands in for its links, its relay and its roster."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.me = PeerId(name, f"{fleet.rng.random()}")
        records = [server.record() for server in fleet.servers.values()]
        self.gateway = FakeGateway(*records, clock=fleet.clock, caller=Caller(fleet))
        self.places = self.gateway.places
        self.handlers = {}
        self.links = PlaceLinks(self.me, self, self, self, self.places, fleet.clock)
        self.rows = BrittleRows(fleet.table, self.places, fleet.clock)
        self.rows.answers_for = self.links.answers_for
        queue = self.gateway.queue
        self.places.on_granted = queue.use_place
        self.places.on_refused = queue.schedule_dispatch
        self.tasks = {
            asyncio.ensure_future(queue.run()),
            asyncio.ensure_future(self.refresh()),
            asyncio.ensure_future(self.rows.run()),
        }

    async def refresh(self):
        while True:
            self.places.refresh(self.gateway.registry.records())
            self.places.instances = len(self.fleet.hub_of)
            await asyncio.sleep(REFRESH_SECONDS)

    def kill(self):
        for task in self.tasks:
            task.cancel()

    async def serve(self, seconds):
        began = self.fleet.clock.monotonic()
        req = request("/book/1", at=began, seconds=seconds)
        try:
            await self.gateway.gateway.serve(req, FakeSink())
            self.fleet.outcomes["served"] += 1
        except asyncio.CancelledError:
            self.fleet.outcomes["killed"] += 1
        except RequestError as exc:
            kind = "refused" if exc.not_run == "true" else "failed"
            self.fleet.outcomes[kind] += 1

    # As `Links`.

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    async def request(self, to, message, _, *, timeout):
        receiver = self.fleet.receiver(self.me.name, to)
        if receiver is None:
            await asyncio.sleep(timeout)
            raise PeerTimeout(f"{to.name} did not answer in {timeout} s")
        await asyncio.sleep(HOP_SECONDS)
        answer = await receiver.handlers[type(message)](self.me, message)
        await asyncio.sleep(HOP_SECONDS)
        return answer

    def send(self, to, message):
        receiver = self.fleet.receiver(self.me.name, to)
        if receiver is not None:
            self.fleet.spawn(self.deliver(receiver, message))

    async def deliver(self, receiver, message):
        await asyncio.sleep(HOP_SECONDS)
        await receiver.handlers[type(message)](self.me, message)

    # As `Relay`.

    @property
    def follows(self):
        return self.fleet.hub_of[self.me.name]

    def hub_peer(self):
        hub = self.fleet.instances.get(self.follows)
        alive = self.fleet.hears(self.me.name, self.follows)
        return hub.me if hub and alive else None

    # As `Roster`.

    def peers(self):
        return [
            instance.me
            for name, instance in self.fleet.instances.items()
            if name != self.me.name and self.fleet.hears(self.me.name, name)
        ]

    def peers_matching(self, test):
        hub_of = self.fleet.hub_of
        return [
            peer
            for peer in self.peers()
            if test(Member("", "", True, True, hub_of[peer.name]))
        ]

    @property
    def live_fraction(self):
        return (len(self.peers()) + 1) / len(self.fleet.hub_of)


class BrittleFleet:
    """Instances, some of which follow hubs, and the servers of one service."""

    def __init__(self, hubs, followers, *, servers=4, seed=1, **properties):
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.table = FakeTable()
        self.outcomes = Counter()
        self.tasks = set()
        properties = {"slots": 2, "waiting": 12, "work_seconds": 0.15} | properties
        self.servers = {
            f"b{n}": Server(f"b{n}", **properties) for n in range(1, servers + 1)
        }
        self.hub_of = {}
        self.side = {}
        self.instances = {}
        for hub in range(hubs):
            names = [f"hub-{hub}", *(f"front-{hub}-{n}" for n in range(followers))]
            for name in names:
                self.hub_of[name] = "" if name == names[0] else names[0]
                self.side[name] = 0
        for name in self.hub_of:
            self.start(name)
        self.spawn(self.exchange_statements())

    def spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def start(self, name):
        self.instances[name] = Instance(self, name)

    def kill(self, name):
        self.instances.pop(name).kill()

    def close(self):
        for instance in self.instances.values():
            instance.kill()
        for task in self.tasks:
            task.cancel()

    def hears(self, name, other):
        return other in self.instances and self.side[name] == self.side[other]

    def receiver(self, sender, peer):
        receiver = self.instances.get(peer.name)
        heard = self.hears(sender, peer.name) and receiver.me == peer
        return receiver if heard else None

    async def exchange_statements(self):
        while True:
            for name, instance in list(self.instances.items()):
                follows = self.hub_of[name]
                for other, peer in list(self.instances.items()):
                    hub_of_other = self.hub_of[other]
                    linked = not (follows or hub_of_other)
                    linked = linked or follows == other or hub_of_other == name
                    if name != other and linked and self.hears(name, other):
                        statements = instance.links.statements()
                        peer.links.on_statements(instance.me, statements)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def run(self, seconds, per_second, *, patience=4.0):
        """Let requests arrive at random instances."""
        began = self.clock.monotonic()
        for number in range(int(seconds * per_second)):
            due = began + number / per_second
            await asyncio.sleep(max(0.0, due - self.clock.monotonic()))
            instance = self.instances[self.rng.choice(list(self.instances))]
            task = self.spawn(instance.serve(patience))
            instance.tasks.add(task)
            task.add_done_callback(instance.tasks.discard)

    def turn_brittle(self, bears):
        for server in self.servers.values():
            server.bears = bears

    def let_fewer_wait(self, waiting):
        for server in self.servers.values():
            server.waiting_allowed = waiting

    def falls(self):
        return sum(len(server.fell_at) for server in self.servers.values())

    def runs_since(self, at):
        return sum(
            start >= at
            for server in self.servers.values()
            for start in server.started_at
        )
