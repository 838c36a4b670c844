"""Tests that instances together keep to the limits that backend servers name.

They replay requests at random instances, of which each has few, while instances end,
start, or are cut off.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque

import pytest

from fakes_clock import ManualClock
from guavajunction.errors import PeerTimeout
from guavajunction.fleet import Member
from guavajunction.intake import NO_LIMIT, ServerIntake
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId
from guavajunction_entry.gateway._limit_links import LimitLinks

ENGINE = BackendId("e1", 1)
WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02


class Fleet:
    """Instances, some of which follow hubs, on one clock."""

    def __init__(self, hubs, followers, seed=1):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.hub_of = {}
        self.side = {}
        self.instances = {}
        self.sent = []
        for hub in range(hubs):
            names = [f"hub-{hub}", *(f"front-{hub}-{n}" for n in range(followers))]
            for name in names:
                self.hub_of[name] = "" if name == names[0] else names[0]
                self.side[name] = 0
        for name in self.hub_of:
            self.start(name)

    def start(self, name):
        self.instances[name] = Instance(self, name)

    def reaches(self, sender, receiver):
        return receiver in self.instances and self.side[sender] == self.side[receiver]

    def name_limit(self, text):
        """Let every instance get an answer that names the limit, or none."""
        for instance in self.instances.values():
            book = instance.limits.book
            book.note_answer(ENGINE, text, book.of(ENGINE))

    async def run(self, seconds, requests_per_second):
        """Let requests arrive at random instances; return the number that were sent."""
        before = len(self.sent)
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            mean = requests_per_second * STEP_SECONDS
            arrivals = int(mean) + (self.rng.random() < mean % 1)
            names = self.rng.choices(list(self.instances), k=arrivals)
            for name in names:
                await self.instances[name].serve(f"r{self.rng.random()}")
        return len(self.sent) - before

    def most_in_window(self):
        window = deque()
        most = 0
        for at in self.sent:
            window.append(at)
            while window[0] <= at - WINDOW_SECONDS:
                window.popleft()
            most = max(most, len(window))
        return most


class Instance:
    """One instance; stands in for its links, its relay and its roster."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.me = PeerId(name, f"{fleet.rng.random()}")
        self.limits = ServerIntake(fleet.clock)
        self.links = LimitLinks(self.me, self, self, self, self.limits, fleet.clock)

    async def serve(self, request_id):
        """Send a request to the limited backend server, or elsewhere."""
        for _ in range(8):
            if self.limits.may_send(ENGINE):
                self.limits.on_sent(ENGINE)
                self.fleet.sent.append(self.fleet.clock.monotonic())
                return
            held = self.limits.ask_to_send(ENGINE, request_id)
            if not held and not self.limits.may_send(ENGINE):
                return
            await asyncio.sleep(0)

    # As `Links`.

    def handle(self, _, handler):
        self.handler = handler

    async def request(self, to, message, _, *, timeout):
        if not self.fleet.reaches(self.me.name, to.name):
            raise PeerTimeout(f"{to.name} did not answer in {timeout} s")
        return await self.fleet.instances[to.name].handler(self.me, message)

    # As `Relay`.

    @property
    def follows(self):
        return self.fleet.hub_of[self.me.name]

    def hub_peer(self):
        alive = self.fleet.reaches(self.me.name, self.follows)
        return PeerId(self.follows, "1") if alive else None

    # As `Roster`.

    def _reached(self):
        return [
            name
            for name in self.fleet.instances
            if name != self.me.name and self.fleet.reaches(self.me.name, name)
        ]

    def peers_matching(self, test):
        return [
            self.fleet.instances[name].me
            for name in self._reached()
            if test(Member("", "", True, True, self.fleet.hub_of[name]))
        ]

    @property
    def live_fraction(self):
        return (len(self._reached()) + 1) / len(self.fleet.hub_of)


def allowed(limit):
    return 1.5 * WINDOW_SECONDS * limit + 5


SHAPES = pytest.mark.parametrize(
    ("hubs", "followers"), [(8, 0), (4, 19)], ids=["8 instances", "80 instances"]
)
LIMITS = pytest.mark.parametrize("limit", [0.0, 0.1, 1.0, 3.6, 20.0])


class TestSumOverInstances:
    """The limit holds for all instances together, and is used."""

    @SHAPES
    @LIMITS
    async def test_limit_holds_and_is_used(self, hubs, followers, limit):
        fleet = Fleet(hubs, followers)
        fleet.name_limit(f"{limit}")
        await fleet.run(2.0, 60)
        sent = await fleet.run(20.0, 60)
        assert fleet.most_in_window() <= allowed(limit)
        assert sent >= int(0.8 * limit * 20)

    @SHAPES
    async def test_limit_holds_while_instances_restart(self, hubs, followers):
        fleet = Fleet(hubs, followers)
        fleet.name_limit("3.6")
        for name in list(fleet.instances)[: 3 * (followers + 1) : followers + 1]:
            await fleet.run(3.0, 60)
            del fleet.instances[name]
            await fleet.run(1.0, 60)
            fleet.start(name)
            fleet.name_limit("3.6")
        assert fleet.most_in_window() <= allowed(3.6)

    async def test_limit_holds_while_the_fleet_is_cut_in_two(self):
        fleet = Fleet(8, 0)
        fleet.name_limit("6")
        await fleet.run(5.0, 60)
        for name in list(fleet.side)[:4]:
            fleet.side[name] = 1
        await fleet.run(10.0, 60)
        for name in fleet.side:
            fleet.side[name] = 0
        await fleet.run(5.0, 60)
        assert fleet.most_in_window() <= allowed(6.0)

    async def test_limit_holds_on_an_instance_that_is_cut_off(self):
        fleet = Fleet(8, 0)
        fleet.name_limit("2")
        fleet.side["hub-3"] = 1
        assert await fleet.run(20.0, 60) >= 0.6 * 2 * 20
        assert fleet.most_in_window() <= allowed(2.0)


class TestChanges:
    """A changed or ended limit takes effect on all instances."""

    async def test_lower_limit_holds_at_once(self):
        fleet = Fleet(8, 0)
        fleet.name_limit("20")
        await fleet.run(5.0, 60)
        fleet.name_limit("1")
        fleet.sent.clear()
        await fleet.run(10.0, 60)
        assert fleet.most_in_window() <= allowed(1.0)

    async def test_higher_limit_is_used_soon(self):
        fleet = Fleet(8, 0)
        fleet.name_limit("0.1")
        await fleet.run(8.0, 60)
        fleet.name_limit("10")
        await fleet.run(1.0, 60)
        assert await fleet.run(4.0, 60) >= 0.8 * 10 * 4

    async def test_ended_limit_no_longer_holds(self):
        fleet = Fleet(8, 0)
        fleet.name_limit("1")
        await fleet.run(5.0, 60)
        fleet.name_limit(None)
        assert await fleet.run(4.0, 60) >= 0.9 * 60 * 4

    async def test_instance_that_was_not_told_learns_the_limit_from_a_peer(self):
        fleet = Fleet(2, 0)
        first, second = fleet.instances.values()
        first.limits.book.note_answer(ENGINE, "2", NO_LIMIT)
        second.links.on_statements(first.me, first.links.statements())
        assert second.limits.book.rate(ENGINE) == 2.0


class TestSilentPeers:
    """A peer that does not answer delays no request."""

    async def test_request_is_not_held_for_a_silent_peer(self):
        fleet = Fleet(2, 0)
        fleet.name_limit("2")
        asked = [
            i
            for i in fleet.instances.values()
            if i.links._routes.holder(ENGINE) != i.me
        ]
        limits = asked[0].limits
        limits.ask = lambda _: None
        assert limits.ask_to_send(ENGINE, "r1")
        assert not limits.ask_to_send(ENGINE, "r2")
        fleet.clock.advance(ServerIntake.HOLD_SECONDS)
        assert not limits.ask_to_send(ENGINE, "r1")

    async def test_call_without_a_queue_gives_up_after_its_patience(self):
        fleet = Fleet(1, 0)
        fleet.name_limit("2")
        (instance,) = fleet.instances.values()
        instance.limits.ask = lambda _: None
        acquiring = asyncio.ensure_future(instance.limits.acquire(ENGINE, 0.5))
        for _ in range(40):
            await asyncio.sleep(0)
            fleet.clock.advance(STEP_SECONDS)
        assert await acquiring is False
