"""Checks the model of views, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.view_spec import Rules, view_model

PROPERTY = "no majority trusts the old configuration"
MAX_STATES = 22_000
"""Number of states within which a violation must be found if a rule is left out."""


class TestViewSpec:
    """Views and notes of pending changes in `guavajunction.membership`."""

    def test_no_majority_trusts_the_old_configuration(self, record_property) -> None:
        result = check_safety(view_model())
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 10_000

    @pytest.mark.parametrize(("waits", "holds"), [(True, True), (False, False)])
    def test_crashed_voters_count_as_stopped_only_after_the_wait(
        self, waits: bool, holds: bool
    ) -> None:
        rules = Rules(((0, 1, 2), (2,)), (2,), crashes=2, stopped_waits_for_notes=waits)
        result = check_safety(view_model(rules))
        assert result["properties"][PROPERTY]["holds"] is holds
        assert result["reachable_states"] > 6_000

    ALL_VOTERS_STOP = Rules(((0, 1), (2, 3)), (2,), crashes=2)

    def test_view_whose_voters_have_all_stopped_is_replaced(self) -> None:
        model = view_model(self.ALL_VOTERS_STOP)
        model.invariants |= {
            "no change after the crash": lambda state: (
                not (state["head"] and state["view"] == 1)
                or not all(node.crashed for node in state["nodes"][:2])
            )
        }
        result = check_safety(model)
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["properties"]["no change after the crash"]["holds"] is False

    @pytest.mark.parametrize(
        "change",
        [{"ended_view_accepts": True}, {"stopped_waits_for_notes": False}],
        ids=["configuration without notes", "voters count as stopped at once"],
    )
    def test_replacing_an_ended_view_needs_each_rule(self, change: dict) -> None:
        result = check_safety(view_model(self.ALL_VOTERS_STOP._replace(**change)))
        assert result["properties"][PROPERTY]["holds"] is False

    def test_change_lands_in_the_last_view(self) -> None:
        model = view_model()
        model.invariants = {
            "nothing lands": lambda state: not (state["head"] and state["view"] == 2)
        }
        result = check_safety(model, max_states=MAX_STATES)
        assert result["properties"]["nothing lands"]["holds"] is False

    @pytest.mark.parametrize(
        "rules",
        [
            Rules(same_view=False),
            Rules(ack_same_view=False),
            Rules(one_note=False),
            Rules(views_announced=False),
        ],
        ids=[
            "peers of any view counted",
            "any view acknowledged",
            "several notes",
            "views unannounced",
        ],
    )
    def test_each_rule_is_needed(self, rules: Rules) -> None:
        result = check_safety(view_model(rules), max_states=MAX_STATES)
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]
