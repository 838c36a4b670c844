"""Checks the model of the ledger, and that each of its rules is needed."""

from __future__ import annotations

import time
from typing import Any

import pytest
from minicheck import check_safety

from specs.ledger_spec import DEFAULT_RULES, Rules, ledger_spec

PROPERTY = "memory_within_capacity"
MAX_STATES = 4_000
"""Number of states within which a violation must be found if a rule is changed."""


def check(rules: Rules, max_states: int = 200_000) -> dict[str, Any]:
    return check_safety(ledger_spec(rules), max_states=max_states)


class TestLedgerSpec:
    """Memory stays within the capacity in every order of events."""

    def test_memory_stays_within_capacity(self, capsys: pytest.CaptureFixture[str]):
        started = time.perf_counter()
        result = check(DEFAULT_RULES)
        seconds = time.perf_counter() - started
        with capsys.disabled():
            print(f"ledger: {result['reachable_states']} states, {seconds:.2f} s")
        assert result["exhaustive"]
        assert result["properties"][PROPERTY]["holds"] is True
        # The check is not vacuous: the second leader replaces the first one's artifact.
        assert result["properties"]["never_swapped"]["holds"] is False

    @pytest.mark.parametrize("rule", Rules._fields)
    def test_each_rule_is_needed(self, rule: str):
        result = check(DEFAULT_RULES._replace(**{rule: True}), MAX_STATES)
        verdict = result["properties"][PROPERTY]
        assert verdict["holds"] is False
        assert len(verdict["counterexample"][-1]["state"]["memory"]) == 2
