"""Checks the model of evacuations, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.evacuation_spec import (
    HISTORY_OF_TWO_RETURNS,
    REMOVED,
    Rules,
    evacuation_model,
)

PROPERTY = "an instance that has read the row sends nothing"


class TestEvacuationSpec:
    """Evacuations across returns of the store, late reads, outages and restarts."""

    @pytest.mark.parametrize(
        "rules",
        [Rules(), Rules(history=HISTORY_OF_TWO_RETURNS)],
        ids=["one return", "two returns"],
    )
    def test_nothing_is_sent_until_the_row_is_removed(
        self, rules: Rules, record_property
    ) -> None:
        result = check_safety(evacuation_model(rules))
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 1_000

    def test_evacuations_end(self) -> None:
        """Guards against a rule that keeps every evacuation for ever."""
        rules = Rules()
        model = evacuation_model(rules)
        model.invariants = {
            "never ends": lambda state: (
                not (
                    state["store"] == len(rules.history)
                    and rules.history[-1] == REMOVED
                    and state["first"].has_read
                    and not state["first"].known.in_force
                )
            )
        }
        result = check_safety(model)
        assert result["properties"]["never ends"]["holds"] is False

    @pytest.mark.parametrize(
        "change",
        [
            {"keeps_missing": False},
            {"keeps_in_later_lists": False},
            {"restarts_wait": False, "history": HISTORY_OF_TWO_RETURNS},
            {"needs_answer_to_expire": False},
            {"rejects_older_peers": False},
            {"keeps_over_outages": False},
        ],
        ids=lambda change: next(iter(change)),
    )
    def test_each_rule_is_needed(self, change: dict) -> None:
        result = check_safety(evacuation_model(Rules(**change)))
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]
