"""Tests of the live and serving instances."""

from __future__ import annotations

import pytest

from guavajunction.clock import ManualClock
from guavajunction.fleet import Member, Roster, SilentInstances
from guavajunction.peers import PeerId

ME, A, B = PeerId("me", "1"), PeerId("a", "1"), PeerId("b", "1")


def member(name, *, ready=True, sees_store=True):
    return Member(f"{name}:1", "here", ready, sees_store)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def roster(clock):
    roster = Roster(ME, clock)
    roster.on_heartbeat(A, member("a"))
    roster.on_heartbeat(B, member("b", sees_store=False))
    return roster


class TestRoster:
    """Two timeouts of heartbeats decide whether an instance is live and serving."""

    def test_instance_without_heartbeat_is_not_returned_to_callers(self, roster, clock):
        clock.advance(0.8)
        roster.on_heartbeat(A, member("a"))
        clock.advance(0.5)
        assert [m.front for m in roster.members()] == ["a:1"]

    def test_instance_without_heartbeat_counts_as_serving_until_its_row_is_old(
        self, roster, clock
    ):
        roster.on_rows({ME: 1, A: 1, B: 1}, clock.monotonic())
        clock.advance(Roster.LIVE_SECONDS + 0.1)
        roster.on_heartbeat(A, member("a"))
        roster.expire()
        assert (roster.serving, roster.live_fraction) == (3, pytest.approx(2 / 3))
        clock.advance(SilentInstances.ENDED_SECONDS)
        roster.on_heartbeat(A, member("a"))
        roster.expire()
        assert (roster.serving, roster.live_fraction) == (3, pytest.approx(2 / 3))
        assert roster.must_read_rows()
        roster.on_rows({ME: 1, A: 1, B: 1}, clock.monotonic())
        assert (roster.serving, roster.live_fraction) == (2, 1.0)
        assert not roster.must_read_rows()

    def test_instance_whose_row_is_renewed_counts_as_serving(self, roster, clock):
        roster.on_rows({ME: 1, A: 1, B: 1}, clock.monotonic())
        for version in range(2, 20):
            clock.advance(SilentInstances.ENDED_SECONDS)
            roster.on_heartbeat(A, member("a"))
            roster.on_rows({ME: 1, A: 1, B: version}, clock.monotonic())
            assert (roster.serving, roster.share) == (3, pytest.approx(2 / 3))

    def test_instance_that_is_only_listed_counts_as_serving(self, clock):
        roster = Roster(ME, clock)
        roster.on_rows({ME: 1, A: 1, B: 1}, clock.monotonic())
        assert (roster.serving, roster.live_fraction) == (3, pytest.approx(1 / 3))
        assert roster.known() == []

    def test_restarted_instance_is_counted_once(self, roster):
        roster.on_heartbeat(PeerId("a", "2"), member("a"))
        assert roster.serving == 3
        assert PeerId("a", "1") not in roster.peers()

    def test_peers_are_filtered_by_their_status(self, roster):
        assert roster.peers_matching(lambda m: m.sees_store) == [A]


class TestCutInstances:
    """Instances that reach no backend server are known from heartbeats and the hub."""

    def reaching(self, roster):
        return sorted(name for name, _ in roster.reaching())

    def test_heartbeats_tell_which_instances_are_cut(self, roster):
        assert self.reaching(roster) == ["a", "b"]
        roster.on_cut(A, True)
        assert self.reaching(roster) == ["b"]
        assert roster.cut() == {"a"}
        roster.on_cut(A, False)
        assert self.reaching(roster) == ["a", "b"]

    def test_list_of_the_hub_tells_of_instances_that_are_not_heard(self, roster):
        roster.on_hub_cut(["b", "unknown"])
        assert self.reaching(roster) == ["a"]
        assert roster.cut() == {"b"}
        roster.on_hub_cut([])
        assert self.reaching(roster) == ["a", "b"]

    def test_instance_that_ends_while_it_is_cut_is_forgotten(self, roster, clock):
        roster.on_cut(A, True)
        clock.advance(SilentInstances.ENDED_SECONDS_OF_MOST + 0.1)
        roster.on_rows({ME: 1}, clock.monotonic())
        assert roster.serving == 1
        roster.on_heartbeat(A, member("a"))
        assert self.reaching(roster) == ["a"]
