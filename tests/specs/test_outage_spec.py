"""Checks the model of standing during outages, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.outage_spec import Rules, State, has_standing, outage_model

PROPERTY = "old configuration is not trusted beyond the bound"


class TestOutageSpec:
    """Standing and pending changes in `guavajunction.membership`."""

    @pytest.mark.parametrize(("staleness", "heartbeat_max_age"), [(2, 1), (1, 2)])
    def test_change_is_in_force_everywhere_within_the_bound(
        self, staleness: int, heartbeat_max_age: int, record_property
    ) -> None:
        result = check_safety(outage_model(Rules(staleness, heartbeat_max_age)))
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 20_000

    def test_instances_keep_standing_in_a_store_outage(self) -> None:
        rules = Rules(staleness=1, heartbeat_max_age=1)
        model = outage_model(rules)
        model.invariants = {
            "no standing without the store": lambda state: (
                not (
                    state["head"] == 0
                    and state["x"].confirmed == rules.staleness
                    and state["z"].confirmed == rules.staleness
                    and has_standing(State(**state), rules)
                )
            )
        }
        result = check_safety(model)
        holds = result["properties"]["no standing without the store"]["holds"]
        assert holds is False

    @pytest.mark.parametrize(
        "change",
        [
            {"acks_needed": 0},
            {"any_read_ends_note": True},
            {"drift": -1},
            {"counts_from_send": False},
            {"compares_versions": False},
        ],
        ids=[
            "no majority holds the note",
            "any read ends a note",
            "note ends before a late write lands",
            "age counts from arrival",
            "newer peers are counted",
        ],
    )
    def test_each_rule_is_needed(self, change: dict) -> None:
        rules = Rules(staleness=1, heartbeat_max_age=1, **change)
        result = check_safety(outage_model(rules))
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]
