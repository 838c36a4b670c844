"""Tests of `FleetLinks`: leader candidates from the status of other instances."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from fakes_gateway import FakeGateway, gateway_settings
from guavajunction.fleet import Member, RelayedFeed, Roster
from guavajunction.gateway import ModelDemand, SlowServer
from guavajunction.peers import FleetKeys, PeerId
from guavajunction.quarantine import BackendId
from guavajunction_entry.gateway import (
    Tuning,
)
from guavajunction_entry.gateway._fleet_links import FleetLinkParts, FleetLinks

ME = PeerId("me", "1")


def member(*, ready=True, sees_store=True, follows=""):
    return Member("x:1", "here", ready, sees_store, follows)


class Node:
    """An instance whose links are created but not opened."""

    def __init__(self):
        fake_gateway = FakeGateway()
        self.own_member = member()
        self.paths = fake_gateway.paths
        self.roster = Roster(ME, fake_gateway.clock)
        parts = FleetLinkParts(
            gateway=fake_gateway.gateway,
            queue=fake_gateway.queue,
            registry=fake_gateway.registry,
            loads=fake_gateway.loads,
            demand=ModelDemand(),
            rate_limits=fake_gateway.rate_limits,
            streams=fake_gateway.streams,
            limits=fake_gateway.limits,
            places=fake_gateway.places,
            paths=fake_gateway.watch,
            roster=self.roster,
            feed=RelayedFeed(None, fake_gateway.clock),
            table=None,
            clock=fake_gateway.clock,
        )
        self.links = FleetLinks(
            ME,
            gateway_settings(),
            Tuning(),
            FleetKeys("p" * 40, "s" * 40),
            SimpleNamespace(orders=SimpleNamespace()),
            parts,
            lambda *_: self.own_member,
        )

    def candidates(self):
        return [peer.name for peer in self.links._leader_candidates()]


@pytest.fixture
def node():
    node = Node()
    node.roster.on_heartbeat(PeerId("good", "1"), member())
    return node


class TestCandidates:
    """Instances that can't send orders are no candidates for leadership.

    The other candidates would wait for such an instance to take the lease.
    """

    def test_ready_instances_that_reach_the_store_are_candidates(self, node):
        assert node.candidates() == ["good", "me"]

    @pytest.mark.parametrize(
        "status",
        [member(ready=False), member(sees_store=False), member(follows="good")],
        ids=["stopping", "cut from the store", "follower"],
    )
    def test_other_instances_are_no_candidates(self, node, status):
        node.roster.on_heartbeat(PeerId("bad", "1"), status)
        assert node.candidates() == ["good", "me"]
        node.own_member = status
        assert node.candidates() == ["good"]

    def test_instance_that_reaches_no_backend_server_is_no_candidate(self, node):
        good = PeerId("good", "1")
        node.roster.on_cut(good, True)
        assert node.candidates() == ["me"]
        node.roster.on_cut(good, False)
        node.paths.begin_probe()
        node.paths.end_probe(False)
        assert node.candidates() == ["good"]
        assert node.links.leader.is_cut()


class TestSpeeds:
    """Slowness that a peer reports reaches the choice among backend servers."""

    def test_report_of_a_peer_is_used_and_one_by_another_hub_is_not(self, node):
        slow = BackendId("slow", 1)
        factors = node.links._parts.queue.speeds.factors
        report = [SlowServer(slow, 3.0, 20.0)]
        topics = node.links._mesh._topics | node.links._mesh._peer_topics
        topics["hub-speeds"].accept(PeerId("good", "1"), report)
        assert factors.of(slow) == 1.0
        topics["speeds"].accept(PeerId("good", "1"), report)
        assert factors.of(slow) > 2.0
