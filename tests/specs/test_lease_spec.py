"""Checks the model of the lease, and that each of its rules is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.lease_spec import DEFAULT_RULES, Rules, lease_model

PROPERTY = "at most one holder"
MAX_STATES = 16_000
"""Number of states within which a violation must be found if a rule is left out."""
ERA_RULES = Rules(returns=2, exact_clocks=True, margin=0)
"""Rules in a store that comes back from an older copy twice."""


class TestLeaseSpec:
    """The lease of `guavajunction.membership._lease`."""

    def test_never_two_holders(self, record_property) -> None:
        result = check_safety(lease_model())
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 5_000

    def test_waiting_ends_in_a_takeover(self) -> None:
        limit = DEFAULT_RULES.duration + DEFAULT_RULES.margin
        model = lease_model()
        model.invariants = {
            "no takeover": lambda state: (
                not (
                    state["holder"] == "a"
                    and state["b"].write is not None
                    and state["b"].waited >= limit
                )
            )
        }
        result = check_safety(model, max_states=MAX_STATES)
        assert result["properties"]["no takeover"]["holds"] is False

    @pytest.mark.parametrize(
        "rules",
        [
            Rules(margin=0),
            Rules(counts_from_send=False),
            Rules(conditional=False),
            Rules(own_row_is_proof=True),
        ],
        ids=["no margin", "from the reply", "unconditional write", "own row"],
    )
    def test_each_rule_is_needed(self, rules: Rules) -> None:
        result = check_safety(lease_model(rules), max_states=MAX_STATES)
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]


class TestLeaseAcrossEras:
    """The lease if the store comes back from an older copy."""

    def test_never_two_holders(self, record_property) -> None:
        result = check_safety(lease_model(ERA_RULES))
        record_property("states", result["reachable_states"])
        assert result["properties"][PROPERTY]["holds"] is True
        assert result["reachable_states"] > 15_000

    @pytest.mark.parametrize(
        "rules",
        [
            ERA_RULES._replace(waits_in_new_era=False),
            ERA_RULES._replace(era_in_reply=False),
        ],
        ids=["free row is trusted", "reply without its era"],
    )
    def test_each_rule_is_needed(self, rules: Rules) -> None:
        result = check_safety(lease_model(rules), max_states=MAX_STATES)
        assert result["properties"][PROPERTY]["holds"] is False
        assert result["properties"][PROPERTY]["counterexample"]
