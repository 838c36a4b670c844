"""Tests of what a cut of an instance changes on it."""

from __future__ import annotations

import random

import pytest

from fakes_gateway import BOOKINGS, FakeGateway, backend, gateway_settings
from guavajunction.fleet import Member, Roster
from guavajunction.gateway import Regions
from guavajunction.peers import PeerId
from guavajunction.quarantine import Evidence, PartQuarantine
from guavajunction_entry.gateway._tunnel_links import TunnelLinkParts, TunnelLinks

TUNNEL_PORT = 7601
SERVERS = tuple(backend(f"b{n}", BOOKINGS) for n in range(3))


class Connections:
    """Stands in for the connector."""

    def __init__(self):
        self.dialer = None
        self.dropped = 0

    def drop_idle(self):
        self.dropped += 1


class Instance:
    """The tunnels of one instance, with the aggregates that a cut concerns."""

    def __init__(self):
        self.fleet = FakeGateway(*SERVERS)
        self.connections = Connections()
        self.roster = Roster(PeerId("me", "1"), self.fleet.clock)
        self.links = TunnelLinks(
            gateway_settings()._replace(tunnel_port=TUNNEL_PORT),
            TunnelLinkParts(
                registry=self.fleet.registry,
                queue=self.fleet.queue,
                health=self.fleet.health,
                quarantine=self.fleet.quarantine,
                roster=self.roster,
                connections=self.connections,
                probe=self._probe,
                clock=self.fleet.clock,
                rng=random.Random(1),
            ),
        )
        self.reachable = True

    async def _probe(self, _):
        return self.reachable

    def hear(self, name, *, ready=True, cut=False):
        peer = PeerId(name, "1")
        self.roster.on_heartbeat(peer, Member(f"{name}:8221", "here", ready, True))
        self.roster.on_cut(peer, cut)

    async def fail(self, reachable):
        """Let connections to two backend servers fail, and wait for the probe."""
        self.reachable = reachable
        for record in SERVERS[:2]:
            self.fleet.registry.note_unreachable(record)
            self.links.watch.note_refused(record.identity)
        await self.links.watch.settle()


@pytest.fixture
def instance():
    return Instance()


class TestCut:
    """A cut instance forgets what it made of its failures, and uses others."""

    async def test_beliefs_about_backend_servers_are_forgotten(self, instance):
        await instance.fail(reachable=False)
        assert instance.links.watch.is_cut
        assert instance.connections.dropped == 1
        assert len(instance.fleet.registry.reachable(BOOKINGS)) == len(SERVERS)

    async def test_own_connections_that_were_lost_are_no_crashes(self, instance):
        quarantine = instance.fleet.quarantine
        for record in SERVERS:
            quarantine.note_lost(record.identity, ["s"], answer_seconds=None, chunks=0)
        instance.fleet.clock.advance(PartQuarantine.CONFIRM_SECONDS)
        instance.links.watch.paths.begin_probe()
        assert quarantine.settle() is None
        instance.links.watch.paths.end_probe(True)
        assert quarantine.settle() is not None
        instance.fleet.clock.advance(1.0)
        await instance.fail(reachable=False)
        quarantine.settle()
        assert quarantine.own() == Evidence()

    async def test_crash_during_the_cut_is_reported_at_once(self, instance):
        await instance.fail(reachable=False)
        quarantine = instance.fleet.quarantine
        quarantine.note_lost(SERVERS[0].identity, ["s"], answer_seconds=None, chunks=0)
        instance.fleet.clock.advance(PartQuarantine.CONFIRM_SECONDS)
        assert len(quarantine.settle().crashes) == 1

    async def test_other_servers_that_ended_are_no_cut(self, instance):
        await instance.fail(reachable=True)
        assert not instance.links.watch.is_cut
        assert instance.connections.dropped == 0


class TestExits:
    """Live, ready instances that reach backend servers are used."""

    def exits(self, instance):
        return [(e.name, e.address) for e in instance.links._exits()]

    def test_cut_and_stopping_instances_are_left_out(self, instance):
        instance.hear("a")
        instance.hear("b", cut=True)
        instance.hear("c", ready=False)
        assert self.exits(instance) == [("a", f"a:{TUNNEL_PORT}")]

    def test_silent_instances_are_left_out(self, instance):
        instance.hear("a")
        instance.fleet.clock.advance(Roster.LIVE_SECONDS + 0.1)
        assert self.exits(instance) == []

    async def test_instance_that_is_cut_or_stops_lends_no_path(self, instance):
        assert instance.links._may_serve()
        instance.links.may_serve = lambda: False
        assert not instance.links._may_serve()
        instance.links.may_serve = lambda: True
        await instance.fail(reachable=False)
        assert not instance.links._may_serve()

    def test_tunnels_lead_to_known_backend_servers_only(self, instance):
        assert instance.links._address_of("b1") == "b1:1"
        assert instance.links._address_of("10.0.0.1:22") is None
        assert instance.links._backend_at("b1:1") == "b1"
        assert instance.links._backend_at("elsewhere:1") is None


class TestHomes:
    """While homes are configured, tunnels lead through the server's region."""

    @pytest.mark.parametrize(
        ("restricted", "allowed"), [(False, ["a", "b", "c"]), (True, ["a"])]
    )
    def test_exits_of_another_region_are_left_out(self, instance, restricted, allowed):
        instance.fleet.queue.regions = Regions({"a": "north", "here": "north"})
        instance.links.must_stay_in_region = lambda: restricted
        instance.hear("a")
        for name, place in (("b", "south"), ("c", "unknown")):
            member = Member(f"{name}:8221", place, True, True)
            instance.roster.on_heartbeat(PeerId(name, "1"), member)
        exits = instance.links._exits()
        found = [e.name for e in exits if instance.links._may_lead(e, "b1")]
        assert sorted(found) == allowed


class TestEvacuation:
    """Nothing leads to the backend servers of an evacuated data centre."""

    async def test_no_tunnel_and_no_probe_leads_there(self, instance):
        registry = instance.fleet.registry
        registry.put(backend("far", BOOKINGS, data_centre="z"))
        assert instance.links._address_of("far") == "far:1"
        registry.evacuations.begin("z")
        assert instance.links._address_of("far") is None
        assert instance.links._address_of("b1") == "b1:1"
        assert {r.name for r in instance.links.watch._candidates()} == {
            record.name for record in SERVERS
        }

    async def test_cut_is_not_assumed_if_every_server_is_evacuated(self, instance):
        """Guards against a probe, and a cut, without any server to ask."""
        instance.fleet.registry.evacuations.begin("a")
        await instance.fail(reachable=False)
        assert not instance.links.watch.is_cut

    def test_dialer_of_the_connections_needs_a_secret(self, instance):
        dialer = instance.connections.dialer
        dialer._paths.begin_probe()
        dialer._paths.end_probe(False)
        instance.hear("a")
        assert not dialer.is_needed
        dialer.secret = "s" * 40
        assert dialer.is_needed
