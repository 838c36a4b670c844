"""Checks the model of the fencing numbers, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.fence_spec import Rules, fence_model

PROPERTY = "each number is above all earlier ones"


class TestFenceSpec:
    """The fencing numbers of `guavajunction.membership._lease`."""

    def test_numbers_rise(self, record_property) -> None:
        result = check_safety(fence_model())
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 1_000

    @pytest.mark.parametrize(
        "rules",
        [
            Rules(era_in_number=False),
            Rules(from_position=False),
            Rules(checks_era=False),
        ],
        ids=["number without era", "one first number for each era", "era not checked"],
    )
    def test_each_rule_is_needed(self, rules: Rules) -> None:
        result = check_safety(fence_model(rules))
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]
