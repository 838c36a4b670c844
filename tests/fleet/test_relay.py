"""Tests of an instance's place between hubs and followers."""

from __future__ import annotations

import pytest

from guavajunction.clock import ManualClock
from guavajunction.fleet import Candidate, FleetShape, Member, ReadRows, Relay, Roster
from guavajunction.fleet._hubs import hubs
from guavajunction.fleet._messages import RowsNotice
from guavajunction.peers import PeerId
from guavajunction.storage import Changes, RowChange

SHAPE = FleetShape(full_mesh=4, followers=32)
PLACES = {"a": 4, "b": 4}
LISTED = [
    Candidate(f"{place}{number}", place, False)
    for place, count in PLACES.items()
    for number in range(count)
]
BEST = {place: names[0] for place, names in hubs(LISTED, (), SHAPE).items()}
"""The hub of each data centre."""


def peer(name, incarnation="1"):
    return PeerId(name, incarnation)


def member(name, follows="", *, sees_store=True):
    return Member(f"{name}:1", name[0], True, sees_store, follows)


class FakeLinks:
    """Notes what is told."""

    def __init__(self, name):
        self.me = peer(name)
        self.told = []

    def handle(self, *_):
        pass

    def tell(self, to, message):
        self.told.append((to.name, message))


class Node:
    """One instance."""

    def __init__(self, name, clock):
        self.links = FakeLinks(name)
        self.roster = Roster(self.links.me, clock)
        self.relay = Relay(self.links, self.roster, SHAPE, clock)
        self.moves = 0
        self.relay.on_moved = self._count
        self.rows = ReadRows(
            "p", matters=lambda old, row: not old or old.body != row.body
        )
        self.relay.hand_on("p", self.rows, lambda: 0.0)
        self.relay.set_listed(LISTED)

    def _count(self):
        self.moves += 1

    def hear(self, name, follows="", **kwargs):
        said = member(name, follows, **kwargs)
        self.roster.hear(peer(name), said)
        self.relay.on_member(peer(name), said)


@pytest.fixture
def clock():
    return ManualClock()


def other_of(place, *but):
    return next(n for n in (f"{place}{i}" for i in range(4)) if n not in but)


@pytest.fixture
def hub(clock):
    return Node(BEST["a"], clock)


@pytest.fixture
def follower(clock):
    return Node(other_of("a", BEST["a"]), clock)


def exchange(hub, follower):
    """Send a heartbeat each way."""
    hub.hear(follower.links.me.name, follower.relay.follows)
    hub.relay.begin_beat()
    word = hub.relay.word_for(follower.links.me)
    if word is not None:
        follower.relay.hear_word(hub.links.me, word)
    follower.hear(hub.links.me.name)
    follower.relay.begin_beat()


class TestPlace:
    """Who follows whom, and where heartbeats go."""

    def test_best_instance_of_a_data_centre_is_its_hub(self, hub, follower):
        assert hub.relay.follows == ""
        assert follower.relay.follows == BEST["a"]
        assert {BEST["a"], BEST["b"]} <= follower.relay.targets

    def test_heartbeats_to_hubs_of_others_go_every_second_time(self, follower):
        sent = []
        for _ in range(4):
            follower.relay.begin_beat()
            sent.append([follower.relay.beats_to(BEST[place]) for place in "ab"])
        assert [near for near, _ in sent] == [True] * 4
        assert [far for _, far in sent].count(True) == 2
        assert not follower.relay.beats_to(other_of("b", BEST["b"]))

    def test_whoever_is_followed_is_a_hub(self, clock, follower):
        late = other_of("a", BEST["a"], follower.links.me.name)
        follower.hear(late, follows=follower.links.me.name)
        follower.relay.begin_beat()
        assert follower.relay.follows == ""
        assert follower.relay.leads(peer(late))
        clock.advance(Relay.FOLLOWED_SECONDS + 0.1)
        follower.relay.begin_beat()
        assert follower.relay.follows == BEST["a"]

    def test_author_of_orders_stays_a_hub(self, follower):
        follower.relay.must_lead = lambda: True
        follower.relay.begin_beat()
        assert follower.relay.follows == ""

    def test_hub_that_does_not_see_the_store_is_left(self, follower):
        follower.hear(BEST["a"], sees_store=False)
        follower.relay.begin_beat()
        assert follower.relay.follows not in ("", BEST["a"])

    def test_hub_that_never_speaks_is_left_for_a_while(self, clock, follower):
        clock.advance(Relay.FIRST_WORD_SECONDS + 0.1)
        follower.relay.begin_beat()
        second = follower.relay.follows
        assert second not in ("", BEST["a"])
        clock.advance(Relay.AVOID_SECONDS)
        follower.hear(BEST["a"])
        follower.relay.begin_beat()
        assert follower.relay.follows == BEST["a"]

    def test_hub_that_falls_silent_is_left_at_once(self, clock, hub, follower):
        exchange(hub, follower)
        clock.advance(Relay.SILENT_SECONDS + 0.05)
        assert follower.relay.hub_peer() is None
        follower.relay.begin_beat()
        assert follower.relay.follows not in ("", BEST["a"])
        assert follower.moves >= 2


class TestWord:
    """What a hub tells, and whom."""

    def test_followers_learn_of_the_whole_fleet(self, hub, follower):
        hub.hear(BEST["b"])
        hub.hear(other_of("b", BEST["b"]), follows=BEST["b"])
        exchange(hub, follower)
        known = {known.peer.name for known in follower.roster.known()}
        assert known == {BEST["a"], BEST["b"], other_of("b", BEST["b"])}
        assert follower.roster.serving == 4

    def test_lost_instance_is_told_at_once(self, clock, hub, follower):
        hub.hear(BEST["b"])
        exchange(hub, follower)
        clock.advance(Roster.LIVE_SECONDS + 0.1)
        exchange(hub, follower)
        live = {known.peer.name: known.live for known in follower.roster.known()}
        assert live[BEST["b"]] is False

    def test_only_followers_are_told(self, hub):
        hub.hear(BEST["b"])
        hub.relay.begin_beat()
        assert hub.relay.word_for(peer(BEST["b"])) is None

    def test_word_of_another_hub_is_ignored(self, hub, follower):
        exchange(hub, follower)
        word = hub.relay.word_for(follower.links.me)
        follower.relay.hear_word(peer(BEST["b"]), word)
        assert follower.relay.hub_peer() == hub.links.me

    def test_restarted_hub_is_taken_for_another(self, hub, follower):
        exchange(hub, follower)
        moves = follower.moves
        word = hub.relay.word_for(follower.links.me)
        follower.relay.hear_word(peer(BEST["a"], "2"), word)
        assert follower.moves == moves + 1


class TestMessages:
    """Messages to all go through the hubs, each to an instance once."""

    def test_author_tells_hubs_and_its_own_followers(self, hub, follower):
        exchange(hub, follower)
        hub.hear(BEST["b"])
        hub.hear(other_of("b", BEST["b"]), follows=BEST["b"])
        hub.relay.tell_all("news")
        names = sorted(name for name, _ in hub.links.told)
        assert names == sorted([follower.links.me.name, BEST["b"]])

    def test_hub_passes_on_what_another_hub_says_and_not_more(self, hub, follower):
        exchange(hub, follower)
        hub.relay.pass_on(peer(BEST["b"]), "news")
        hub.relay.pass_on(follower.links.me, "own")
        assert hub.links.told == [(follower.links.me.name, "news")]


class TestRows:
    """Rows are told to followers, with how new they are."""

    def read(self, hub, version, body, *, complete=False):
        row = RowChange("x", body, version)
        notice = hub.rows.take(Changes((row,), version, complete))
        if notice is not None:
            hub.relay.publish(notice)

    def test_followers_get_changes_and_stands(self, hub, follower):
        self.read(hub, 5, b"1", complete=True)
        exchange(hub, follower)
        assert follower.relay.fresh("p")
        assert follower.relay.read_version("p") == 5
        self.read(hub, 7, b"2")
        ((name, notice),) = hub.links.told
        assert name == follower.links.me.name
        assert notice == RowsNotice("p", 5, 7, (RowChange("x", b"2", 7),))

    def test_rows_that_were_not_read_are_not_fresh(self, hub, follower):
        exchange(hub, follower)
        assert not follower.relay.fresh("p")

    def test_old_rows_are_not_fresh(self, clock, hub, follower):
        hub.relay.hand_on("p", hub.rows, lambda: Relay.STORE_AGE_SECONDS + 0.1)
        self.read(hub, 5, b"1", complete=True)
        exchange(hub, follower)
        assert not follower.relay.fresh("p")
