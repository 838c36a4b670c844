"""Tests that the origin of a stream outlives the instance that began it."""

from __future__ import annotations

import asyncio

import pytest

from fakes_clock import QuickClock
from guavajunction.errors import PeerTimeout, PeerUnknown
from guavajunction.fleet import Member
from guavajunction.gateway import StreamOrigin, StreamOrigins
from guavajunction.peers import PeerId
from guavajunction_entry.gateway._stream_links import StreamLinks

ORIGIN = StreamOrigin("engines", "v1")
FOLLOWERS = 19
"""Followers of each hub in the large fleet."""


class Fleet:
    """Instances that follow hubs, and the messages between them.

    As in `PeerMesh`, an instance reaches only those from which it receives heartbeats:
    hubs reach each other and their followers, a follower reaches its own hub.
    """

    def __init__(self, hubs, followers):
        self.instances = {}
        self.hub_of = {}
        self.alive = set()
        self.sent = 0
        self.lost_answers = 0
        self.unheard = {}
        for hub in range(hubs):
            self._add(f"hub-{hub}", "")
            for n in range(followers):
                self._add(f"front-{hub}-{n:02}", f"hub-{hub}")

    def _add(self, name, hub):
        self.hub_of[name] = hub
        self.alive.add(name)
        self.instances[name] = Instance(self, name)

    def start(self, name):
        """Start an instance that knows nothing."""
        self.alive.add(name)
        self.instances[name] = Instance(self, name)

    def follow(self, name, hub):
        """Let an instance follow another hub; an empty name makes it a hub."""
        self.hub_of[name] = hub
        self.instances[name].streams.on_heartbeat()

    def reaches(self, sender, receiver):
        hub = self.hub_of[sender]
        if receiver not in self.alive:
            return False
        return receiver == hub if hub else self.hub_of[receiver] in ("", sender)

    async def settle(self):
        for _ in range(8):
            await asyncio.sleep(0)


class Instance:
    """One instance; stands in for its links, its relay and its roster."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.me = PeerId(name, "1")
        self.handlers = {}
        self.clock = QuickClock()
        self.origins = StreamOrigins(self.clock)
        self.streams = StreamLinks(self, self, self, self.origins, self.clock)
        self.streams.on_heartbeat()

    # As `Links`.

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, to, message):
        self.fleet.sent += 1
        if self.fleet.reaches(self.me.name, to.name):
            handler = self.fleet.instances[to.name].handlers[type(message)]
            asyncio.ensure_future(handler(self.me, message))  # noqa: RUF006

    def send_to_each(self, receivers, message):
        for receiver in receivers:
            self.send(receiver, message)

    async def request(self, to, message, _, *, timeout):
        if self.fleet.lost_answers:
            self.fleet.lost_answers -= 1
            raise PeerTimeout(f"{to.name} did not answer in {timeout} s")
        if to.name not in self.fleet.alive:
            raise PeerTimeout(f"{to.name} did not answer in {timeout} s")
        if not self.fleet.reaches(self.me.name, to.name):
            raise PeerUnknown(f"no link to {to.name}")
        return await self.fleet.instances[to.name].handlers[type(message)](
            self.me, message
        )

    # As `Relay`.

    @property
    def follows(self):
        return self.fleet.hub_of[self.me.name]

    def hub_peer(self):
        alive = self.follows in self.fleet.alive
        return PeerId(self.follows, "1") if alive else None

    def followers(self):
        return [
            PeerId(name, "1")
            for name, hub in self.fleet.hub_of.items()
            if hub == self.me.name and name in self.fleet.alive
        ]

    def has_follower(self, peer):
        return peer in self.followers()

    # As `Roster`.

    def peers_matching(self, test):
        if self.fleet.unheard.get(self.me.name, 0):
            self.fleet.unheard[self.me.name] -= 1
            return []
        return [
            PeerId(name, "1")
            for name, hub in self.fleet.hub_of.items()
            if name in self.fleet.alive - {self.me.name}
            and test(Member("", "", ready=True, sees_store=True, follows=hub))
        ]


@pytest.fixture(params=[(8, 0), (4, FOLLOWERS)], ids=["8 instances", "80 instances"])
def fleet(request):
    return Fleet(*request.param)


async def begin(fleet, name):
    fleet.instances[name].origins.begin("s1", ORIGIN)
    await fleet.settle()


async def find(fleet, name):
    return await fleet.instances[name].origins.find("s1")


class TestLosses:
    """A stream's origin is found as long as one holder of it is left."""

    async def test_every_instance_finds_a_stream(self, fleet):
        await begin(fleet, list(fleet.instances)[-1])
        for name in fleet.instances:
            assert await find(fleet, name) == ORIGIN

    async def test_stream_is_found_after_its_instance_and_its_hub_are_gone(self, fleet):
        name = list(fleet.instances)[-1]
        await begin(fleet, name)
        fleet.alive -= {name, fleet.hub_of[name]}
        for other in fleet.alive:
            if fleet.hub_of[other] in fleet.alive | {""}:
                assert await find(fleet, other) == ORIGIN

    async def test_restarted_instance_finds_a_stream(self, fleet):
        await begin(fleet, "hub-0")
        fleet.start("hub-1")
        fleet.start("hub-0")
        assert await find(fleet, "hub-0") == ORIGIN

    async def test_streams_are_reported_again_to_the_next_hub(self):
        fleet = Fleet(2, 2)
        fleet.alive -= {"hub-0"}
        await begin(fleet, "front-0-00")
        assert await find(fleet, "front-1-00") is None
        fleet.follow("front-0-00", "hub-1")
        await fleet.settle()
        assert await find(fleet, "front-1-00") == ORIGIN

    async def test_only_hub_of_a_fleet_leaves_copies_with_followers(self):
        fleet = Fleet(1, 25)
        await begin(fleet, "front-0-20")
        fleet.alive -= {"hub-0", "front-0-20"}
        fleet.follow("front-0-00", "")
        for name in list(fleet.alive - {"front-0-00"}):
            fleet.follow(name, "front-0-00")
        assert await find(fleet, "front-0-21") == ORIGIN

    async def test_instance_that_has_just_started_waits_until_it_hears_its_peers(
        self, fleet
    ):
        await begin(fleet, "hub-0")
        fleet.start("hub-1")
        fleet.unheard["hub-1"] = 5
        assert await find(fleet, "hub-1") == ORIGIN

    async def test_question_without_an_answer_is_asked_again(self, fleet):
        await begin(fleet, "hub-0")
        fleet.start("hub-1")
        fleet.lost_answers = 10
        assert await find(fleet, "hub-1") == ORIGIN

    async def test_hub_asks_again_for_a_follower(self):
        fleet = Fleet(2, 2)
        await begin(fleet, "hub-0")
        fleet.start("hub-1")
        fleet.start("front-1-00")
        fleet.unheard["hub-1"] = 2
        assert await find(fleet, "front-1-00") == ORIGIN

    async def test_unknown_stream_is_not_found(self, fleet):
        assert await find(fleet, "hub-0") is None

    async def test_search_for_a_stream_ends_if_nobody_answers(self, fleet):
        fleet.lost_answers = 10_000
        clock = fleet.instances["hub-0"].clock
        began = clock.monotonic()
        assert await find(fleet, "hub-0") is None
        assert clock.monotonic() - began <= StreamLinks.PATIENCE_SECONDS + 0.1

    async def test_single_instance_refuses_at_once_after_it_has_settled(self):
        fleet = Fleet(1, 0)
        clock = fleet.instances["hub-0"].clock
        clock.advance(StreamLinks.SETTLE_SECONDS)
        began = clock.monotonic()
        assert await find(fleet, "hub-0") is None
        assert clock.monotonic() == began


class TestCost:
    """The messages for a stream grow with the number of hubs only."""

    async def test_stream_costs_a_message_to_each_hub(self):
        fleet = Fleet(4, FOLLOWERS)
        await begin(fleet, "front-0-00")
        assert fleet.sent == 4
