"""Tests of the selection of hubs."""

from __future__ import annotations

from guavajunction.fleet import Candidate, FleetShape
from guavajunction.fleet._hubs import hub_of, hubs

SHAPE = FleetShape(full_mesh=20, followers=32)


def fleet(counts, strong=()):
    return [
        Candidate(
            f"{data_centre}{number}", data_centre, f"{data_centre}{number}" in strong
        )
        for data_centre, count in counts.items()
        for number in range(count)
    ]


class TestHubs:
    """A large fleet has a few hubs in each data centre."""

    def test_small_fleet_has_no_followers(self):
        listed = fleet({"a": 10, "b": 10})
        by_data_centre = hubs(listed, (), SHAPE)
        assert all(hub_of(one, by_data_centre) is None for one in listed)

    def test_number_of_hubs_grows_with_the_data_centre(self):
        by_data_centre = hubs(fleet({"a": 20, "b": 40, "c": 75}), (), SHAPE)
        assert {
            data_centre: len(names) for data_centre, names in by_data_centre.items()
        } == {
            "a": 1,
            "b": 2,
            "c": 3,
        }

    def test_strong_instances_are_preferred_as_hubs(self):
        by_data_centre = hubs(fleet({"a": 30, "b": 30}, strong=("a7", "b9")), (), SHAPE)
        assert by_data_centre == {"a": ["a7"], "b": ["b9"]}

    def test_unfit_hub_is_replaced_within_its_data_centre(self):
        listed = fleet({"a": 30, "b": 30})
        (first,) = hubs(listed, (), SHAPE)["a"]
        (second,) = hubs(listed, {first}, SHAPE)["a"]
        assert second != first
        assert second.startswith("a")

    def test_every_instance_follows_a_hub_of_its_own_data_centre(self):
        listed = fleet({"a": 75, "b": 75})
        by_data_centre = hubs(listed, (), SHAPE)
        for one in listed:
            hub = hub_of(one, by_data_centre)
            if one.name in by_data_centre[one.data_centre]:
                assert hub is None
            else:
                assert hub in by_data_centre[one.data_centre]

    def test_followers_spread_over_the_hubs(self):
        listed = fleet({"a": 96})
        by_data_centre = hubs(listed, (), SHAPE)
        followed = [hub_of(one, by_data_centre) for one in listed]
        counts = [followed.count(name) for name in by_data_centre["a"]]
        assert len(counts) == 3
        assert min(counts) > 20

    def test_data_centre_without_a_fit_instance_has_no_hub(self):
        listed = fleet({"a": 2, "b": 30})
        by_data_centre = hubs(listed, {"a0", "a1"}, SHAPE)
        assert "a" not in by_data_centre
        assert hub_of(Candidate("a0", "a", False), by_data_centre) is None
