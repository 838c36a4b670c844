"""Tests of the selection of instances for a caller."""

from __future__ import annotations

import random
from collections import Counter

from guavajunction.fleet import Member, choose_fronts


def members(counts, *, ready=True):
    return [
        Member(f"{data_centre}-{number}:1", data_centre, ready, sees_store=True)
        for data_centre, count in counts.items()
        for number in range(count)
    ]


def choose(instances, data_centre, seed=1):
    return choose_fronts(instances, data_centre, near_enough=4, rng=random.Random(seed))


class TestChooseFronts:
    """Callers get the instances of their data centre, and a few of others."""

    def test_small_fleet_is_returned_completely(self):
        fleet = members({"a": 2, "b": 2, "c": 2})
        assert choose(fleet, "a") == sorted(member.front for member in fleet)

    def test_large_data_centre_gets_few_instances_of_others(self):
        fronts = choose(members({"a": 20, "b": 20, "c": 20, "d": 20}), "b")
        assert Counter(front[0] for front in fronts)["b"] == 20
        assert len(fronts) == 25

    def test_instances_of_other_data_centres_are_selected_evenly(self):
        fleet = members({"a": 20, "b": 20, "c": 20})
        named = Counter(f for seed in range(400) for f in choose(fleet, "a", seed))
        far = [count for front, count in named.items() if front[0] != "a"]
        assert len(far) == 40
        assert max(far) < 2 * min(far)

    def test_number_of_addresses_is_limited(self):
        assert len(choose(members({"a": 90}), "a")) <= 64
        assert len(choose(members({"a": 90}), None)) <= 64

    def test_instances_that_are_not_ready_are_skipped(self):
        fleet = members({"a": 5}, ready=False) + members({"b": 1})
        assert choose(fleet, "a") == ["b-0:1"]

    def test_failed_data_centre_is_replaced_by_the_others(self):
        assert len(choose(members({"b": 20, "c": 20}), "a")) == 40
