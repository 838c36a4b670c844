"""Replays of backend servers that ramp up, seen by many instances.

Each instance sees few answers, and their messages are late or lost. A backend server
works off a number of requests a second; an answer is late after half a second in its
queue.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random

import pytest

from fakes_clock import ManualClock
from fakes_intake_fleet import SHAPES, SMALL_SHAPES
from guavajunction.intake import AnswerCounts, RampCounts, ServerPaces
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId

STEP = 0.05
HEARTBEAT_STEPS = 3
SLOTS = 32
FULL = 32.0
FLOOR = 2.0
LATE_SECONDS = 0.5


class Server:
    """A backend server; `capacity` is how many requests a second it works off."""

    def __init__(self, number, capacity=1000.0):
        self.id = BackendId(f"e{number}", 1)
        self.capacity = capacity
        self.backlog = 0.0
        self.credit = 0.0
        self.sent = []
        self.paces = []

    def accept(self, now):
        """Take a request; return the seconds to its answer and if it is good."""
        self.sent.append(now)
        if self.capacity == 0:
            return 0.1, False
        self.backlog += 1
        wait = self.backlog / self.capacity
        return 0.1 + wait, wait <= LATE_SECONDS

    def sent_between(self, begin, end):
        return sum(begin <= at < end for at in self.sent)


class Fleet:
    """Instances with paces of some servers, and requests without end for all."""

    def __init__(self, hubs, followers, servers, *, delay=0.4, loss=0.2, seed=1):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.servers = servers
        self.delay, self.loss = delay, loss
        self.hub_of = {}
        for hub in range(hubs):
            self.hub_of[PeerId(f"hub-{hub}", "1")] = None
            for n in range(followers):
                peer = PeerId(f"front-{hub}-{n}", "1")
                self.hub_of[peer] = PeerId(f"hub-{hub}", "1")
        self.paces = {peer: ServerPaces(self.clock) for peer in self.hub_of}
        for paces in self.paces.values():
            paces.is_enabled = True
        self.desk = next(iter(self.paces.values()))
        self.names = list(self.paces)
        self._due = []
        self._numbers = itertools.count()
        self._steps = 0

    @property
    def now(self):
        return self.clock.monotonic()

    def begin(self, server, cause="started"):
        for paces in self.paces.values():
            paces.begin(server.id, SLOTS, cause)

    def run(self, seconds, *, demand=60.0):
        """Let requests arrive; `demand` is the number a second for each server."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            self._steps += 1
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            for server in self.servers:
                self._send(server, demand)
            self._send_heartbeats()
            if self._steps % 4 == 0:
                for paces in self.paces.values():
                    paces.keep_only({server.id for server in self.servers})

    def _send(self, server, demand):
        server.backlog = max(0.0, server.backlog - server.capacity * STEP)
        rate = self.desk.rate(server.id)
        server.paces.append(FULL if rate is None else rate)
        rate = demand if rate is None else min(demand, rate)
        server.credit = min(1.0 + rate * STEP, server.credit + rate * STEP)
        while server.credit >= 1.0:
            server.credit -= 1.0
            seconds, is_good = server.accept(self.now)
            paces = self.paces[self.rng.choice(self.names)]
            note = functools.partial(paces.note_bad, seconds=seconds)
            if is_good:
                note = paces.note_good
            self._later(seconds, lambda note=note: note(server.id))

    def _send_heartbeats(self):
        if self._steps % HEARTBEAT_STEPS:
            return
        for peer, hub in self.hub_of.items():
            own = self.paces[peer].own()
            for other, its_hub in self.hub_of.items() if own else ():
                if its_hub is None and other != peer:
                    self._tell(self.paces[other].update_peer, peer, own)
            if hub is not None:
                total = self.paces[hub].total_without(peer)
                if total:
                    self._tell(self.paces[peer].update_hub, total)

    def _tell(self, accept, *values):
        if self.rng.random() >= self.loss:
            seconds = self.rng.random() * self.delay
            self._later(seconds, lambda: accept(*values))

    def _later(self, seconds, action):
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), action))


class TestOneServer:
    """The pace of one server follows its answers in fleets of each size."""

    @SHAPES
    def test_good_server_has_its_full_share_within_seconds(self, hubs, followers):
        server = Server(1)
        fleet = Fleet(hubs, followers, [server])
        fleet.begin(server)
        fleet.run(5.0)
        assert fleet.desk.rate(server.id) in (None, FULL)
        # All instances hear of the end although messages are lost.
        fleet.run(3.0, demand=0.0)
        assert not any(paces.count() for paces in fleet.paces.values())

    @SHAPES
    def test_failing_server_gets_its_lowest_pace_and_is_noticed(self, hubs, followers):
        server = Server(1, capacity=0)
        fleet = Fleet(hubs, followers, [server])
        fleet.begin(server)
        fleet.run(20.0)
        begin = fleet.now - 10.0
        assert 0.8 * FLOOR * 10 <= server.sent_between(begin, fleet.now) <= FLOOR * 11
        server.capacity = 1000.0
        fleet.run(10.0)
        assert fleet.desk.rate(server.id) in (None, FULL)

    @SMALL_SHAPES
    def test_slow_server_is_used_and_not_flooded(self, hubs, followers):
        server = Server(1, capacity=10.0)
        fleet = Fleet(hubs, followers, [server])
        fleet.begin(server)
        fleet.run(40.0)
        begin = fleet.now - 30.0
        mean = server.sent_between(begin, fleet.now) / 30.0
        assert 0.5 * 10.0 <= mean <= 1.2 * 10.0
        assert server.backlog <= 20.0


class TestLoads:
    """The loads that the design names."""

    def test_server_that_is_slow_for_seconds_has_its_share_soon_after(self):
        server = Server(1)
        fleet = Fleet(8, 0, [server])
        fleet.begin(server)
        fleet.run(1.0)
        server.capacity = 3.0
        fleet.run(4.0)
        server.capacity = 1000.0
        server.backlog = 0.0
        fleet.run(12.0)
        assert fleet.desk.rate(server.id) in (None, FULL)

    def test_server_with_an_empty_memory_is_not_flooded(self):
        server = Server(1, capacity=6.0)
        fleet = Fleet(8, 0, [server])
        fleet.begin(server)
        fleet.run(3.0)
        assert server.backlog <= 3 * 6.0
        server.capacity = 40.0
        fleet.run(12.0)
        assert fleet.desk.rate(server.id) in (None, FULL)

    def test_flapping_server_never_gets_its_full_share(self):
        server = Server(1, capacity=0)
        fleet = Fleet(8, 0, [server])
        for _ in range(10):
            server.capacity = 0 if server.capacity else 1000.0
            fleet.begin(server, "readmitted")
            fleet.run(1.0)
        assert server.sent_between(0, fleet.now) <= 10 * FULL / 2

    def test_server_three_times_slower_keeps_a_share_that_it_bears(self):
        servers = [Server(1, 30.0), Server(2, 10.0)]
        fleet = Fleet(8, 0, servers)
        for server in servers:
            fleet.begin(server)
        fleet.run(30.0, demand=25.0)
        assert fleet.desk.rate(servers[0].id) is None
        assert servers[1].sent_between(fleet.now - 10, fleet.now) <= 1.3 * 100

    def test_release_replaces_one_server_after_another(self):
        servers = [Server(n) for n in range(5)]
        fleet = Fleet(8, 0, servers)
        for server in servers:
            fleet.begin(server)
            fleet.run(4.0)
        fleet.run(2.0)
        assert fleet.desk.count() == 0

    def test_whole_data_centre_returns(self):
        servers = [Server(n) for n in range(30)]
        fleet = Fleet(8, 0, servers)
        for server in servers:
            fleet.begin(server)
        fleet.run(8.0)
        assert fleet.desk.count() == 0


@functools.cache
def replay_all_slow(capacity):
    """Return the servers after 45 s in which all of them work off little."""
    servers = [Server(n, capacity) for n in range(8)]
    fleet = Fleet(3, 29, servers)
    for server in servers:
        fleet.begin(server)
    fleet.run(45.0)
    return servers, fleet.now


@pytest.mark.parametrize("capacity", [4.0, 8.0, 16.0])
class TestAllSlowAtOnce:
    """When all servers are slow at once, each is used and nothing oscillates."""

    def test_none_is_starved(self, capacity):
        servers, end = replay_all_slow(capacity)
        shares = [server.sent_between(end - 30.0, end) for server in servers]
        assert min(shares) >= 0.5 * 30 * capacity
        assert max(shares) <= 1.5 * min(shares)

    def test_no_pace_swings(self, capacity):
        servers, _ = replay_all_slow(capacity)
        for server in servers:
            paces = server.paces[-round(30.0 / STEP) :]
            assert max(paces) <= 4 * min(paces)


class TestMessages:
    """Counts only grow, so the order and number of messages does not matter."""

    def test_order_and_repetition_do_not_matter(self):
        clock, engine = ManualClock(), BackendId("e1", 1)
        messages = [
            (PeerId(name, "1"), {engine: RampCounts(1, SLOTS, AnswerCounts(good, bad))})
            for name in "ab"
            for good, bad in ((1.0, 0), (4.0, 1), (9.0, 2))
        ]
        rates = set()
        for seed in range(20):
            paces = ServerPaces(clock)
            paces.is_enabled = True
            shuffled = random.Random(seed).sample(messages * 2, k=12)
            for message in shuffled:
                paces.update_peer(*message)
            rates.add(paces.rate(engine))
        assert rates == {8.0 + 0.5 * 18 - 2.0 * 4}

    def test_counts_of_an_earlier_ramp_change_nothing(self):
        clock, engine = ManualClock(), BackendId("e1", 1)
        paces = ServerPaces(clock)
        paces.is_enabled = True
        peer = PeerId("a", "1")
        paces.update_peer(peer, {engine: RampCounts(2, SLOTS, AnswerCounts())})
        paces.update_peer(peer, {engine: RampCounts(1, SLOTS, AnswerCounts(90.0))})
        assert paces.rate(engine) == 8.0

    def test_ended_ramps_do_not_renew_each_other(self):
        clock, engine = ManualClock(), BackendId("e1", 1)
        first, second = ServerPaces(clock), ServerPaces(clock)
        for paces in (first, second):
            paces.is_enabled = True
            paces.begin(engine, SLOTS, "started")
            for _ in range(100):
                paces.note_good(engine)
            clock.advance(ServerPaces.FULL_SECONDS)
            paces.keep_only({engine})
        for _ in range(10):
            clock.advance(1.0)
            first.update_peer(PeerId("b", "1"), second.own())
            second.update_peer(PeerId("a", "1"), first.own())
        assert not first.own()
        assert not second.own()

    def test_late_entry_begins_no_second_ramp(self):
        clock, engine = ManualClock(), BackendId("e1", 1)
        paces = ServerPaces(clock)
        paces.is_enabled = True
        counts = {engine: RampCounts(1, SLOTS, AnswerCounts(100.0))}
        paces.update_peer(PeerId("a", "1"), counts)
        clock.advance(ServerPaces.FULL_SECONDS)
        paces.keep_only({engine})
        paces.note_listed(engine, SLOTS, is_first=False)
        assert paces.rate(engine) is None

    def test_nothing_is_sent_without_ramps(self):
        clock, engine = ManualClock(), BackendId("e1", 1)
        paces = ServerPaces(clock)
        paces.is_enabled = True
        paces.note_listed(engine, SLOTS, is_first=True)
        paces.note_good(engine)
        assert not paces.own()
        assert paces.rate(engine) is None

    def test_pace_that_is_off_changes_nothing(self):
        paces, engine = ServerPaces(ManualClock()), BackendId("e1", 1)
        paces.note_listed(engine, SLOTS, is_first=False)
        counts = {engine: RampCounts(1, SLOTS, AnswerCounts())}
        paces.update_peer(PeerId("a", "1"), counts)
        assert paces.rate(engine) is None
