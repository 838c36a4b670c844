"""Tests of what an instance makes of what the others say of themselves."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from fakes_gateway import FakeGateway
from guavajunction.fleet import Member, RelayedFeed, Roster
from guavajunction.gateway import AllowanceBounds, ModelDemand, RetryBounds
from guavajunction.peers import FleetKeys, PeerId
from guavajunction_entry.gateway import (
    GatewaySettings,
    ListenAddress,
    OrderBounds,
    StoreSettings,
    Tuning,
)
from guavajunction_entry.gateway._fleet_links import FleetLinks, LinkedParts

ADDRESS = ListenAddress("127.0.0.1", 1)
ME = PeerId("me", "1")
SETTINGS = GatewaySettings(
    instance=ME.name,
    address="127.0.0.1",
    data_centre="here",
    front=ADDRESS,
    readiness=ADDRESS,
    directory=None,
    peer_port=1,
    store=StoreSettings("127.0.0.1:1"),
    grace_seconds=8.0,
    directory_ttl_seconds=2.0,
    retries=RetryBounds(0.2, 10.0, 50.0),
    allowances=AllowanceBounds(8.0, 0.1, 1000.0),
    orders=OrderBounds(3.0, 5.0),
)


def member(*, ready=True, sees_store=True, follows=""):
    return Member("x:1", "here", ready, sees_store, follows)


class Node:
    """The links of one instance, which are not opened."""

    def __init__(self):
        world = FakeGateway()
        self.says = member()
        self.roster = Roster(ME, world.clock)
        parts = LinkedParts(
            gateway=world.gateway,
            room=world.room,
            book=world.book,
            loads=world.loads,
            demand=ModelDemand(),
            allowances=world.allowances,
            roster=self.roster,
            feed=RelayedFeed(None, world.clock),
            clock=world.clock,
        )
        self.links = FleetLinks(
            ME,
            SETTINGS,
            Tuning(),
            FleetKeys("p" * 40, "s" * 40),
            SimpleNamespace(table=None, orders=None),
            parts,
            lambda _: self.says,
        )

    def candidates(self):
        return [peer.name for peer in self.links._candidates()]


@pytest.fixture
def node():
    node = Node()
    node.roster.hear(PeerId("good", "1"), member())
    return node


class TestCandidates:
    """Who may give orders: nobody waits for one that can't."""

    def test_who_sees_the_store_and_stays(self, node):
        assert node.candidates() == ["good", "me"]

    @pytest.mark.parametrize(
        "said",
        [member(ready=False), member(sees_store=False), member(follows="good")],
        ids=["stopping", "cut from the store", "follower"],
    )
    def test_others_are_not_waited_for(self, node, said):
        node.roster.hear(PeerId("bad", "1"), said)
        assert node.candidates() == ["good", "me"]
        node.says = said
        assert node.candidates() == ["good"]
