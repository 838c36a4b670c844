"""Tests of requests while an instance may be cut from all backend servers."""

from __future__ import annotations

import pytest

from fakes_gateway import BOOKINGS, FakeGateway, backend
from guavajunction.errors import NoPathToServer, NotSent, OutcomeUnknown
from guavajunction.quarantine import Evidence, PartQuarantine


@pytest.fixture
def fleet():
    one = FakeGateway(*(backend(f"b{n}", BOOKINGS) for n in range(6)))
    one.watch.on_change = lambda _: one.registry.forget_unreachable()
    return one


def lost(count):
    return [OutcomeUnknown("no answer", connection_lost=True) for _ in range(count)]


class TestCutPaths:
    """A request waits until it is known whether its instance is cut."""

    async def test_request_is_sent_once_more_when_the_cut_is_known(self, fleet):
        fleet.reachable_addresses = set()
        fleet.caller.script = [NotSent("refused")] * 2
        sink = await fleet.serve("/book/1")
        assert sink.finished
        assert fleet.watch.is_cut
        assert len(fleet.caller.sent) == 3

    async def test_servers_that_ended_are_no_cut(self, fleet):
        fleet.reachable_addresses = {"b5:1"}
        fleet.caller.script = [NotSent("refused")] * 3
        await fleet.serve("/book/1")
        assert not fleet.watch.is_cut

    async def test_connections_lost_to_an_own_cut_are_no_crashes(self, fleet):
        fleet.reachable_addresses = set()
        fleet.quarantine.is_on_hold = lambda: fleet.paths.state == "suspect"
        fleet.watch.on_change = lambda _: fleet.quarantine.forget_since(3.0)
        fleet.caller.script = lost(2)
        with pytest.raises(OutcomeUnknown):
            await fleet.serve("/look/1")
        await fleet.watch.settle()
        fleet.clock.advance(PartQuarantine.CONFIRM_SECONDS + 0.1)
        fleet.quarantine.settle()
        assert fleet.watch.is_cut
        assert fleet.quarantine.own() == Evidence()

    async def test_crashes_are_reported_although_the_paths_were_suspect(self, fleet):
        fleet.quarantine.is_on_hold = lambda: fleet.paths.state == "suspect"
        fleet.caller.script = lost(2)
        with pytest.raises(OutcomeUnknown):
            await fleet.serve("/look/1")
        fleet.clock.advance(PartQuarantine.CONFIRM_SECONDS)
        assert fleet.quarantine.settle() is None
        await fleet.watch.settle()
        assert len(fleet.quarantine.settle().crashes) == 2

    async def test_crash_that_a_cut_instance_sees_through_a_tunnel_is_reported(
        self, fleet
    ):
        fleet.quarantine.is_on_hold = lambda: fleet.paths.state == "suspect"
        fleet.paths.begin_probe()
        fleet.paths.end_probe(False)
        fleet.caller.script = lost(1)
        with pytest.raises(OutcomeUnknown):
            await fleet.serve("/book/1")
        fleet.clock.advance(PartQuarantine.CONFIRM_SECONDS)
        assert len(fleet.quarantine.settle().crashes) == 1

    async def test_direct_connection_that_fails_in_a_cut_is_no_fault_of_its_server(
        self, fleet
    ):
        def cut():
            fleet.paths.begin_probe()
            fleet.paths.end_probe(False)
            return NotSent("refused")

        fleet.caller.script = [cut]
        await fleet.serve("/book/1")
        assert len(fleet.registry.reachable(BOOKINGS)) == 6

    async def test_missing_tunnel_is_no_fault_of_the_server(self, fleet):
        fleet.paths.begin_probe()
        fleet.paths.end_probe(False)
        fleet.caller.script = [NoPathToServer("none")]
        await fleet.serve("/book/1")
        assert len(fleet.registry.reachable(BOOKINGS)) == 6
        fleet.caller.script = [NotSent("refused at the other end")]
        await fleet.serve("/book/1")
        assert len(fleet.registry.reachable(BOOKINGS)) == 5

    async def test_waiting_requests_are_counted_until_their_answer_ends(self, fleet):
        await fleet.serve("/book/1")
        fleet.caller.script = [NotSent("refused")]
        await fleet.serve("/book/2")
        assert fleet.paths._waiting == 0
