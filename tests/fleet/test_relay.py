"""Tests of the roles of hub and follower."""

from __future__ import annotations

import pytest

from guavajunction.clock import ManualClock
from guavajunction.errors import PeerTimeout
from guavajunction.fleet import Candidate, FleetShape, Member, ReadRows, Relay, Roster
from guavajunction.fleet._hubs import hubs, reader_of
from guavajunction.fleet._messages import NewerRowsAnswer, RowsNotice
from guavajunction.peers import PeerId
from guavajunction.storage import Changes, RowChange

SHAPE = FleetShape(full_mesh=4, followers=32)
INSTANCES_PER_DATA_CENTRE = {"a": 4, "b": 4}
LISTED = [
    Candidate(f"{data_centre}{number}", data_centre, False)
    for data_centre, count in INSTANCES_PER_DATA_CENTRE.items()
    for number in range(count)
]
BEST = {data_centre: names[0] for data_centre, names in hubs(LISTED, (), SHAPE).items()}
"""Name of the preferred hub of each data centre."""
READER = reader_of(LISTED, {dc: [name] for dc, name in BEST.items()})
SECOND = next(name for name in BEST.values() if name != READER)


def peer(name, incarnation="1"):
    return PeerId(name, incarnation)


def member(name, follows="", *, sees_store=True, rows_from=None):
    source = follows if rows_from is None else rows_from
    return Member(f"{name}:1", name[0], True, sees_store, follows, rows_from=source)


class FakeLinks:
    """Records the messages that are sent."""

    def __init__(self, name):
        self.me = peer(name)
        self.sent = []

    def handle(self, *_):
        pass

    def send(self, to, message):
        self.sent.append((to.name, message))

    def send_to_each(self, receivers, message):
        for to in receivers:
            self.send(to, message)


class Node:
    """One instance with its roster and relay."""

    def __init__(self, name, clock):
        self.links = FakeLinks(name)
        self.roster = Roster(self.links.me, clock)
        self.relay = Relay(self.links, self.roster, SHAPE, clock)
        self.hub_changes = 0
        self.relay.on_hub_changed = self._count
        self.rows = ReadRows(
            "p", is_relevant=lambda old, row: not old or old.body != row.body
        )
        self.relay.offer_partition("p", self.rows, lambda: 0.0)
        self.relay.set_listed(LISTED)

    def _count(self):
        self.hub_changes += 1

    def on_heartbeat(self, name, follows="", **kwargs):
        status = member(name, follows, **kwargs)
        self.roster.on_heartbeat(peer(name), status)
        self.relay.on_member(peer(name), status)


@pytest.fixture
def clock():
    return ManualClock()


def other_of(data_centre, *but):
    return next(n for n in (f"{data_centre}{i}" for i in range(4)) if n not in but)


@pytest.fixture
def hub(clock):
    return Node(BEST["a"], clock)


@pytest.fixture
def follower(clock):
    return Node(other_of("a", BEST["a"]), clock)


def exchange(hub, follower):
    """Send one heartbeat in each direction."""
    hub.on_heartbeat(follower.links.me.name, follower.relay.follows)
    hub.relay.begin_heartbeat()
    status = hub.relay.status_for(follower.links.me)
    if status is not None:
        follower.relay.on_hub_status(hub.links.me, status)
    follower.on_heartbeat(hub.links.me.name)
    follower.relay.begin_heartbeat()


class TestHubSelection:
    """Tests of the followed hub and of the receivers of heartbeats."""

    def test_best_instance_of_a_data_centre_is_its_hub(self, hub, follower):
        assert hub.relay.follows == ""
        assert follower.relay.follows == BEST["a"]
        assert {BEST["a"], BEST["b"]} <= follower.relay.targets

    def test_every_second_heartbeat_goes_to_hubs_of_other_data_centres(self, follower):
        sent = []
        for _ in range(4):
            follower.relay.begin_heartbeat()
            sent.append(
                [
                    follower.relay.sends_heartbeat_to(BEST[data_centre])
                    for data_centre in "ab"
                ]
            )
        assert [near for near, _ in sent] == [True] * 4
        assert [far for _, far in sent].count(True) == 2
        assert not follower.relay.sends_heartbeat_to(other_of("b", BEST["b"]))

    def test_instance_with_a_follower_becomes_a_hub(self, clock, follower):
        late = other_of("a", BEST["a"], follower.links.me.name)
        follower.on_heartbeat(late, follows=follower.links.me.name)
        follower.relay.begin_heartbeat()
        assert follower.relay.follows == ""
        assert follower.relay.has_follower(peer(late))
        clock.advance(Relay.FOLLOWER_TIMEOUT_SECONDS + 0.1)
        follower.relay.begin_heartbeat()
        assert follower.relay.follows == BEST["a"]

    def test_leader_of_orders_stays_a_hub(self, follower):
        follower.relay.must_be_hub = lambda: True
        follower.relay.begin_heartbeat()
        assert follower.relay.follows == ""

    def test_hub_without_access_to_the_store_is_replaced(self, follower):
        follower.on_heartbeat(BEST["a"], sees_store=False)
        follower.relay.begin_heartbeat()
        assert follower.relay.follows not in ("", BEST["a"])

    def test_hub_that_never_sends_a_status_is_avoided_for_a_while(
        self, clock, follower
    ):
        clock.advance(Relay.FIRST_STATUS_SECONDS + 0.1)
        follower.relay.begin_heartbeat()
        second = follower.relay.follows
        assert second not in ("", BEST["a"])
        clock.advance(Relay.AVOID_HUB_SECONDS)
        follower.on_heartbeat(BEST["a"])
        follower.relay.begin_heartbeat()
        assert follower.relay.follows == BEST["a"]

    def test_hub_that_stops_sending_its_status_is_replaced(self, clock, hub, follower):
        exchange(hub, follower)
        clock.advance(Relay.HUB_TIMEOUT_SECONDS + 0.05)
        assert follower.relay.hub_peer() is None
        follower.relay.begin_heartbeat()
        assert follower.relay.follows not in ("", BEST["a"])
        assert follower.hub_changes >= 2


class TestHubStatus:
    """Tests of the content and the receivers of the hub status."""

    def test_followers_receive_the_list_of_all_instances(self, hub, follower):
        hub.on_heartbeat(BEST["b"])
        hub.on_heartbeat(other_of("b", BEST["b"]), follows=BEST["b"])
        exchange(hub, follower)
        known = {known.peer.name for known in follower.roster.known()}
        assert known == {BEST["a"], BEST["b"], other_of("b", BEST["b"])}
        assert follower.roster.serving == 4

    def test_next_status_lists_a_lost_instance_as_not_live(self, clock, hub, follower):
        hub.on_heartbeat(BEST["b"])
        exchange(hub, follower)
        clock.advance(Roster.LIVE_SECONDS + 0.1)
        exchange(hub, follower)
        live = {known.peer.name: known.live for known in follower.roster.known()}
        assert live[BEST["b"]] is False

    def test_only_followers_receive_the_status(self, hub):
        hub.on_heartbeat(BEST["b"])
        hub.relay.begin_heartbeat()
        assert hub.relay.status_for(peer(BEST["b"])) is None

    def test_status_of_another_hub_is_ignored(self, hub, follower):
        exchange(hub, follower)
        status = hub.relay.status_for(follower.links.me)
        follower.relay.on_hub_status(peer(BEST["b"]), status)
        assert follower.relay.hub_peer() == hub.links.me

    def test_restart_of_the_hub_counts_as_a_change_of_hub(self, hub, follower):
        exchange(hub, follower)
        changes = follower.hub_changes
        status = hub.relay.status_for(follower.links.me)
        follower.relay.on_hub_status(peer(BEST["a"], "2"), status)
        assert follower.hub_changes == changes + 1


class TestMessages:
    """Broadcasts reach each instance once, through the hubs."""

    def test_broadcast_goes_to_hubs_and_own_followers(self, hub, follower):
        exchange(hub, follower)
        hub.on_heartbeat(BEST["b"])
        hub.on_heartbeat(other_of("b", BEST["b"]), follows=BEST["b"])
        hub.relay.broadcast("news")
        names = sorted(name for name, _ in hub.links.sent)
        assert names == sorted([follower.links.me.name, BEST["b"]])

    def test_hub_forwards_only_messages_of_other_hubs(self, hub, follower):
        exchange(hub, follower)
        hub.relay.forward(peer(BEST["b"]), "news")
        hub.relay.forward(follower.links.me, "own")
        assert hub.links.sent == [(follower.links.me.name, "news")]


class TestRows:
    """Tests of the rows that followers receive, and of their age."""

    def read(self, hub, version, body, *, complete=False):
        row = RowChange("x", body, version)
        notice = hub.rows.take(Changes((row,), version, complete))
        if notice is not None:
            hub.relay.publish(notice)

    def test_followers_receive_notices_and_partition_status(self, hub, follower):
        self.read(hub, 5, b"1", complete=True)
        exchange(hub, follower)
        assert follower.relay.fresh("p")
        assert follower.relay.read_version("p") == 5
        self.read(hub, 7, b"2")
        ((name, notice),) = hub.links.sent
        assert name == follower.links.me.name
        assert notice == RowsNotice("p", 5, 7, (RowChange("x", b"2", 7),))

    def test_rows_are_not_fresh_before_the_first_read(self, hub, follower):
        exchange(hub, follower)
        assert not follower.relay.fresh("p")

    def test_rows_are_not_fresh_after_the_store_stopped_answering(
        self, clock, hub, follower
    ):
        hub.relay.offer_partition("p", hub.rows, lambda: Relay.STORE_AGE_SECONDS + 0.1)
        self.read(hub, 5, b"1", complete=True)
        exchange(hub, follower)
        assert not follower.relay.fresh("p")


class TestReader:
    """One hub reads the store and relays the rows to the other hubs."""

    @pytest.fixture
    def reader(self, clock):
        return Node(READER, clock)

    @pytest.fixture
    def other(self, clock):
        return Node(SECOND, clock)

    def meet(self, reader, other):
        """Send one heartbeat in each direction between two hubs."""
        reader.relay.begin_heartbeat()
        other.relay.begin_heartbeat()
        reader.on_heartbeat(SECOND, rows_from=other.relay.rows_from)
        status = reader.relay.status_for(other.links.me)
        if status is not None:
            other.relay.on_hub_status(reader.links.me, status)
        other.on_heartbeat(READER, rows_from=reader.relay.rows_from)

    def test_best_hub_reads_the_store_and_the_others_read_from_it(self, reader, other):
        reader.rows.take(Changes((), 5, True))
        self.meet(reader, other)
        assert (reader.relay.rows_from, reader.relay.follows) == ("", "")
        assert (other.relay.rows_from, other.relay.follows) == (READER, "")
        assert other.relay.fresh("p")
        assert reader.relay.row_receivers() == [other.links.me]

    def test_hubs_get_rows_but_no_list_of_instances(self, reader, other):
        self.meet(reader, other)
        assert reader.relay.status_for(other.links.me).members is None
        assert not reader.relay.followers()
        reader.relay.publish("notice")
        assert reader.links.sent == [(SECOND, "notice")]

    def test_change_of_the_reader_is_no_change_of_hub(self, reader, other):
        self.meet(reader, other)
        changes = other.hub_changes
        other.relay.preferred_reader = lambda: "b9"
        other.relay.begin_heartbeat()
        assert other.relay.rows_from == "b9"
        assert other.hub_changes == changes

    def test_order_leader_is_preferred_and_reads_the_store(self, reader, other):
        other.relay.must_be_hub = lambda: True
        reader.relay.preferred_reader = lambda: SECOND
        self.meet(reader, other)
        assert other.relay.rows_from == ""
        assert reader.relay.rows_from == SECOND

    def test_silent_reader_is_replaced(self, clock, reader, other):
        self.meet(reader, other)
        clock.advance(Relay.HUB_TIMEOUT_SECONDS + 0.05)
        assert not other.relay.fresh("p")
        other.relay.begin_heartbeat()
        assert other.relay.rows_from != READER

    def test_reader_without_access_to_the_store_is_replaced(self, other):
        other.on_heartbeat(READER, sees_store=False)
        other.relay.begin_heartbeat()
        assert other.relay.rows_from != READER

    @pytest.mark.parametrize("unfit", [(), (BEST["a"],), (BEST["a"], BEST["b"])])
    def test_no_instances_take_rows_from_each_other_in_a_circle(self, clock, unfit):
        nodes = {one.name: Node(one.name, clock) for one in LISTED}
        sources = {}
        for name, node in nodes.items():
            for lost in unfit:
                node.on_heartbeat(lost, sees_store=False)
            node.relay.begin_heartbeat()
            sources[name] = node.relay.rows_from
        for start in sources:
            name, seen = start, []
            while name:
                assert name not in seen
                seen.append(name)
                name = sources[name]


class TestRowsFromPeers:
    """Tests of the requests of an instance that the store does not answer."""

    @pytest.fixture
    def node(self, clock):
        node = Node(BEST["a"], clock)
        node.requests = []

        async def request(to, message, reply_type, *, timeout):
            node.requests.append(to.name)
            raise PeerTimeout(f"{to.name} did not answer in {timeout:g} s")

        node.links.request = request
        return node

    async def test_each_request_goes_to_the_next_hub_that_reaches_the_store(self, node):
        node.on_heartbeat("b0")
        node.on_heartbeat("b1")
        node.on_heartbeat("b2", sees_store=False)
        node.on_heartbeat("b3", follows="b0")
        for _ in range(3):
            assert await node.relay.request_newer_rows("p", 5) is None
        assert node.requests == ["b1", "b0", "b1"]

    async def test_follower_asks_its_own_hub_even_if_it_lost_the_store(
        self, clock, hub, follower
    ):
        exchange(hub, follower)
        hub_peer = hub.links.me
        follower.on_heartbeat("b0")
        follower.on_heartbeat(hub_peer.name, sees_store=False)
        asked = []

        async def request(to, message, reply_type, *, timeout):
            asked.append(to)
            return NewerRowsAnswer(7, (), changed=False)

        follower.links.request = request
        await follower.relay.request_newer_rows("p", 5)
        assert asked == [hub_peer]

    async def test_without_such_a_hub_nothing_is_requested(self, node):
        node.on_heartbeat("b2", sees_store=False)
        assert await node.relay.request_newer_rows("p", 5) is None
        assert not node.requests
