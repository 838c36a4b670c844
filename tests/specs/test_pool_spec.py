"""Checks the model of a pooled rate limit, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.pool_spec import Rules, pool_model

PROPERTY = "no window exceeds the bound"


class TestPoolSpec:
    """Rate limits of `guavajunction.gateway` that instances spend from one pool."""

    def test_no_window_exceeds_the_bound(self, record_property) -> None:
        result = check_safety(pool_model())
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 1_000

    @pytest.mark.parametrize(
        "rules",
        [Rules(limits_to_share=False), Rules(subtracts_peer_usage=False)],
        ids=["whole pool on both sides", "peer's usage ignored"],
    )
    def test_each_rule_is_needed(self, rules: Rules) -> None:
        result = check_safety(pool_model(rules))
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]
