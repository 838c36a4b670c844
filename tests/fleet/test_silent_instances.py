"""Tests of instances that are not heard: cut from the others, or ended.

Guards against a shared rate limit that is used more than once, because the sides of a
cut take each other to have ended.
"""

from __future__ import annotations

import pytest

from fakes_cut_fleet import CutFleet, bound_of, terms_of
from guavajunction.fleet import FleetView, SilentInstance, SilentInstances

WINDOW_SECONDS = 8.0
SIZES = [(8, False), (20, False), (80, True)]
SMALL, LARGE = terms_of(100.0, 50.0), terms_of(50_000.0, 100_000.0, slack=11_000.0)


def names(count, start=0):
    return [f"i{number:02}" for number in range(start, start + count)]


@pytest.fixture(params=SIZES, ids=["8", "20", "80 with hubs"])
def size(request):
    return request.param


def fleet_of(size, terms=LARGE):
    count, hubs = size
    return CutFleet(count, terms, hubs=hubs)


def assert_within_bound(fleet):
    spent = fleet.spent_in_worst_window(WINDOW_SECONDS)
    assert spent <= bound_of(fleet.terms)


class TestCuts:
    """No cut makes the sides use more of a limit than the whole fleet may."""

    def cut_off_a_side(self, size, fraction, seconds, terms):
        fleet = fleet_of(size, terms)
        fleet.run(15.0)
        fleet.cut(names(round(size[0] * fraction)))
        fleet.run(seconds)
        fleet.heal()
        fleet.run(15.0)
        assert_within_bound(fleet)

    @pytest.mark.parametrize(
        ("seconds", "fraction"),
        [(4.0, 0.35), (12.0, 0.1), (12.0, 0.35), (45.0, 0.35), (60.0, 0.5)],
    )
    @pytest.mark.parametrize("terms", [SMALL, LARGE], ids=["small", "large"])
    @pytest.mark.parametrize("size", SIZES[:2], ids=["8", "20"])
    def test_side_that_is_cut_off(self, size, fraction, seconds, terms):
        self.cut_off_a_side(size, fraction, seconds, terms)

    @pytest.mark.parametrize(("seconds", "fraction"), [(12.0, 0.35), (40.0, 0.5)])
    def test_side_of_a_large_fleet_that_is_cut_off(self, fraction, seconds):
        self.cut_off_a_side(SIZES[2], fraction, seconds, LARGE)

    def test_instances_that_are_each_cut_off(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        fleet.cut(*([name] for name in names(round(size[0] * 0.35))))
        fleet.run(40.0)
        assert_within_bound(fleet)

    def test_all_instances_are_each_cut_off(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        fleet.cut(*([name] for name in names(size[0])))
        fleet.run(60.0)
        assert_within_bound(fleet)

    @pytest.mark.parametrize("deaf", [True, False])
    def test_cut_in_one_direction(self, size, deaf):
        fleet = fleet_of(size)
        fleet.run(15.0)
        side = set(names(round(size[0] * 0.35), start=size[0] // 2))
        if deaf:
            fleet.hears = lambda a, b: a not in side or b in side
        else:
            fleet.hears = lambda a, b: b not in side or a in side
        fleet.run(30.0)
        assert_within_bound(fleet)

    def test_repeated_cuts_with_restarts_between(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        side = names(round(size[0] * 0.35))
        for number in range(4):
            fleet.cut(side)
            fleet.run(6.0)
            for name in side[:2]:
                fleet.start(name, f"restart-{number}")
            fleet.run(9.0)
            fleet.heal()
            fleet.run(3.0)
        assert_within_bound(fleet)

    def test_planned_stops_during_a_cut(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        fleet.cut(names(round(size[0] * 0.35)))
        fleet.run(3.0)
        fleet.stop(names(1)[0])
        fleet.stop(names(1, start=size[0] - 1)[0])
        fleet.run(30.0)
        assert_within_bound(fleet)

    @pytest.mark.parametrize("out", ["side", "others", "all"])
    def test_store_is_out_as_well(self, size, out):
        fleet = fleet_of(size)
        fleet.run(15.0)
        side = set(names(round(size[0] * 0.35)))
        fleet.cut(side)
        every = set(fleet.instances)
        fleet.store_out = {"side": side, "others": every - side, "all": every}[out]
        fleet.run(25.0)
        fleet.store_out = set()
        fleet.run(20.0)
        assert_within_bound(fleet)

    def test_store_is_out_for_a_while_for_the_side(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        side = set(names(round(size[0] * 0.35)))
        fleet.cut(side)
        fleet.store_out = side
        fleet.run(40.0)
        fleet.store_out = set()
        fleet.run(60.0)
        assert_within_bound(fleet)


class TestUse:
    """A limit is used in full again soon after instances have ended."""

    def test_calm_fleet_makes_no_further_calls_to_the_store(self, size):
        fleet = fleet_of(size)
        fleet.run(5.0)
        calls = fleet.calls
        fleet.run(60.0)
        assert fleet.calls == calls
        assert set(fleet.shares().values()) == {1.0}

    def test_part_of_a_killed_instance_is_used_soon(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        calls = fleet.calls
        fleet.kill(names(1, start=size[0] - 1)[0])
        fleet.run(12.0)
        assert set(fleet.shares().values()) == {1.0}
        judges = 2 if size[1] else size[0]
        assert fleet.calls - calls <= 2 * judges

    def test_quick_restart_costs_no_calls_of_others(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        calls = fleet.calls
        fleet.kill("i05")
        fleet.run(2.0)
        fleet.start("i05", "2")
        fleet.run(10.0)
        assert fleet.calls - calls <= 2
        assert set(fleet.shares().values()) == {1.0}

    def test_most_instances_are_killed(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        for name in names(size[0] - 4, start=4):
            fleet.kill(name)
        fleet.run(34.0)
        assert set(fleet.shares().values()) == {1.0}

    def test_outage_of_the_store_alone_changes_nothing(self):
        fleet = fleet_of(SIZES[0])
        fleet.run(15.0)
        fleet.store_out = set(fleet.instances)
        fleet.run(600.0)
        assert set(fleet.shares().values()) == {1.0}

    def test_instance_lost_in_an_outage_leaves_the_rest_its_parts(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        fleet.store_out = set(fleet.instances)
        fleet.kill("i05")
        fleet.run(60.0)
        assert set(fleet.shares().values()) == {(size[0] - 1) / size[0]}
        fleet.store_out = set()
        fleet.run(5.0)
        assert set(fleet.shares().values()) == {1.0}

    def test_heal_after_the_part_was_taken(self, size):
        fleet = fleet_of(size)
        fleet.run(15.0)
        side = set(names(2, start=3))
        fleet.cut(side)
        fleet.store_out = side
        fleet.run(30.0)
        shares = fleet.shares()
        assert {shares[name] for name in side} == {0.0}
        assert {shares[n] for n in shares if n not in side} == {1.0}
        fleet.store_out = set()
        fleet.heal()
        fleet.run(3.0)
        assert set(fleet.shares().values()) == {1.0}


class TestSides:
    """The larger side of a cut decides; of two equal ones, that with the first name."""

    @pytest.mark.parametrize(
        ("me", "heard", "silent", "has_most"),
        [
            ("a", [], [], True),
            ("a", ["b"], ["c"], True),
            ("c", [], ["a", "b"], False),
            ("a", ["d"], ["b", "c"], True),
            ("b", ["c"], ["a", "d"], False),
        ],
    )
    def test_larger_side(self, me, heard, silent, has_most):
        view = FleetView(me, heard, {name: SilentInstance(0.0) for name in silent})
        assert view.has_most == has_most


class TestRenewals:
    """Only renewals that the others can have read in time count."""

    def test_renewal_that_takes_long_does_not_count(self):
        silent = SilentInstances()
        view = FleetView("z", [], {"a": SilentInstance(0.0), "b": SilentInstance(0.0)})
        limit = SilentInstances.CLAIM_SECONDS
        assert silent.may_use_part(view, limit - 0.1)
        silent.note_renewed(4.0, 4.0 + SilentInstances.MAX_RENEWAL_SECONDS + 0.1)
        assert not silent.may_use_part(view, limit + 0.1)

    def test_claim_ends_before_others_may_judge(self):
        longest = SilentInstances.CLAIM_SECONDS + SilentInstances.MAX_RENEWAL_SECONDS
        assert longest < SilentInstances.ENDED_SECONDS
