"""Checks the model of the claim, and that each of its rules is needed."""

from __future__ import annotations

import pytest

from specs.claim_spec import (
    CLAIM_BEFORE_SENDING,
    CONDITIONAL_WRITE,
    NEVER_STEAL,
    REFUSAL_IS_FINAL,
    RELEASE_OWN_ONLY,
    RELEASE_UNSENT_ONLY,
    RULES,
    ClaimSpec,
)

MAX_STATES = 16_000
"""Number of states within which a violation must be found if a rule is left out."""

SENT_AT_MOST_ONCE, NOT_RUN_IS_TRUE = "sent_at_most_once", "not_run_is_true"


class TestClaimSpec:
    """A request is sent at most once, and a refusal as not run is correct."""

    @pytest.mark.parametrize(("attempts", "states"), [(2, 87), (3, 1011), (4, 23049)])
    def test_properties_hold_in_every_reachable_state(self, attempts, states):
        found = ClaimSpec(attempts).check()
        assert found["exhaustive"]
        assert found["properties"][SENT_AT_MOST_ONCE]["holds"] is True
        assert found["properties"][NOT_RUN_IS_TRUE]["holds"] is True
        assert found["reachable_states"] == states

    @pytest.mark.parametrize(
        ("rule", "broken"),
        [
            (CLAIM_BEFORE_SENDING, SENT_AT_MOST_ONCE),
            (CONDITIONAL_WRITE, SENT_AT_MOST_ONCE),
            (RELEASE_OWN_ONLY, SENT_AT_MOST_ONCE),
            (RELEASE_UNSENT_ONLY, SENT_AT_MOST_ONCE),
            (REFUSAL_IS_FINAL, NOT_RUN_IS_TRUE),
            (NEVER_STEAL, SENT_AT_MOST_ONCE),
        ],
    )
    def test_each_rule_is_needed(self, rule, broken):
        found = ClaimSpec(3, RULES - {rule}).check(MAX_STATES)["properties"][broken]
        assert found["holds"] is False
        assert found["counterexample"][-1]["label"].startswith("send ")
