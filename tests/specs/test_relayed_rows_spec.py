"""Checks the model of rows relayed by hubs, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.relayed_rows_spec import Rules, relayed_rows_model

ROWS = "the follower has the rows of its version"
MONOTONIC = "its version never decreases"


class TestRelayedRowsSpec:
    """Rows of `guavajunction.fleet` that hubs relay to followers."""

    def test_follower_has_the_stores_rows(self, record_property) -> None:
        result = check_safety(relayed_rows_model())
        record_property("states", result["reachable_states"])
        assert result["properties"][ROWS]["holds"] is True
        assert result["properties"][MONOTONIC]["holds"] is True
        assert result["reachable_states"] > 1_000

    @pytest.mark.parametrize(
        ("rules", "broken"),
        [
            (Rules(requires_continuity=False), ROWS),
            (Rules(rejects_older_answers=False), MONOTONIC),
            (Rules(requires_hub_rows=False), ROWS),
            (Rules(rejects_older_peers=False), MONOTONIC),
            (Rules(peer_rows_end_following=False), ROWS),
        ],
        ids=[
            "any notice applied",
            "older rows of a hub applied",
            "notices applied to rows of the store",
            "older rows of a peer applied",
            "notices applied to rows of a peer",
        ],
    )
    def test_each_rule_is_needed(self, rules: Rules, broken: str) -> None:
        result = check_safety(relayed_rows_model(rules))
        assert result["properties"][broken]["holds"] is False
        assert result["properties"][broken]["counterexample"]


class TestRelayedRowsAcrossEras:
    """The same rows if the store comes back from an older copy."""

    RULES = Rules(store_returns=True)

    def test_follower_has_the_stores_rows(self, record_property) -> None:
        result = check_safety(relayed_rows_model(self.RULES))
        record_property("states", result["reachable_states"])
        assert result["properties"][ROWS]["holds"] is True
        assert result["properties"][MONOTONIC]["holds"] is True
        assert result["reachable_states"] > 1_000

    @pytest.mark.parametrize(
        ("change", "broken"),
        [
            ({"compares_eras": False}, MONOTONIC),
            ({"rereads_in_new_era": False}, ROWS),
        ],
        ids=["versions without eras", "changes across eras"],
    )
    def test_each_rule_is_needed(self, change: dict[str, bool], broken: str) -> None:
        result = check_safety(relayed_rows_model(self.RULES._replace(**change)))
        assert result["properties"][broken]["holds"] is False
        assert result["properties"][broken]["counterexample"]
