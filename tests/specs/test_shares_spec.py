"""Checks the model of the shares, and that each of its rules is needed."""

from __future__ import annotations

import pytest

from specs.shares_spec import (
    CLOCK_MARGIN,
    COUNT_BEFORE_GIVING,
    DEDUCT_BEFORE_SENDING,
    DEDUPE,
    GIVE_IN_STANDING,
    JOIN_FROM_STORE,
    LIST_AFTER_WRITE,
    RULES,
    SAME_EPOCH,
    WAIT_FOR_REVOCATION,
    Bounds,
    SharesSpec,
)

ONE, BOTH = frozenset({1}), frozenset({0, 1})
MESSAGES = Bounds(2, 2, joins=True, owners=ONE, failing=frozenset({0}))
OWNERS = Bounds(3, 2, joins=False, owners=BOTH, failing=BOTH)
JOINS = Bounds(2, 1, joins=True, owners=BOTH, failing=BOTH)

PROPERTY = "spendable_within_total"


class TestSharesSpec:
    """Units that may be spent never exceed the total."""

    @pytest.mark.parametrize(
        ("bounds", "states"), [(MESSAGES, 6483), (OWNERS, 21188), (JOINS, 8178)]
    )
    def test_no_reachable_state_has_too_many_units(self, bounds, states):
        found = SharesSpec(bounds).check()
        assert found["exhaustive"]
        assert found["properties"][PROPERTY]["holds"] is True
        assert found["reachable_states"] == states

    @pytest.mark.parametrize(
        ("rule", "bounds", "last"),
        [
            (CLOCK_MARGIN, MESSAGES, "grant 1"),
            (COUNT_BEFORE_GIVING, MESSAGES, "arrive 0"),
            (DEDUCT_BEFORE_SENDING, MESSAGES, "arrive 0"),
            (DEDUPE, MESSAGES, "arrive 0"),
            (GIVE_IN_STANDING, OWNERS, "arrive 0"),
            (JOIN_FROM_STORE, JOINS, "arrive 0"),
            (LIST_AFTER_WRITE, JOINS, "arrive 0"),
            (SAME_EPOCH, MESSAGES, "arrive 0"),
            (WAIT_FOR_REVOCATION, MESSAGES, "grant 1"),
        ],
    )
    def test_each_rule_is_needed(self, rule, bounds, last):
        found = SharesSpec(bounds, RULES - {rule}).check()["properties"][PROPERTY]
        assert found["holds"] is False
        assert found["counterexample"][-1]["label"] == last
