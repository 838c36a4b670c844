"""Checks the models of acceptance and installation, and that each rule is needed."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from specs.acceptance_spec import Rules, acceptance_spec
from specs.installation_spec import Rules as InstallRules
from specs.installation_spec import installation_spec

MAX_STATES = 10_000
"""Number of states within which a violation must be found if a rule is left out."""


def violated(spec, name):
    """Return the labels of the shortest sequence of steps that breaks an invariant."""
    found = check_safety(spec, MAX_STATES)["properties"][name]
    assert found["holds"] is False
    return [step["label"] for step in found["counterexample"][1:]]


class TestAcceptance:
    """Acceptance of changes; without one of the rules, an invariant fails."""

    def test_rules_hold_in_every_state(self):
        result = check_safety(acceptance_spec())
        assert {p["holds"] for p in result["properties"].values()} == {True}
        assert result["reachable_states"] > 1000

    @pytest.mark.parametrize(
        ("rule", "invariant"),
        [
            ("attempt_ids", "reports_are_true"),
            ("history", "reports_are_true"),
            ("section_versions", "no_section_lost"),
            ("compare_and_set", "no_section_lost"),
            ("reads_after_loss", "reports_are_true"),
        ],
    )
    def test_every_rule_is_needed(self, rule, invariant):
        assert violated(acceptance_spec(Rules()._replace(**{rule: False})), invariant)

    def test_lost_answer_without_attempt_ids(self):
        spec = acceptance_spec(Rules(attempt_ids=False))
        assert violated(spec, "reports_are_true") == [
            "sender 0 of a reads",
            "write of sender 0 of a takes effect, reply lost",
            "sender 1 of a reads",
        ]


class TestInstallation:
    """Installation of versions; without one of the rules, an invariant fails."""

    def test_rules_hold_in_every_state(self):
        result = check_safety(installation_spec())
        assert {p["holds"] for p in result["properties"].values()} == {True}
        assert result["reachable_states"] > 500

    def test_paused_load_without_the_rule_on_higher_versions(self):
        spec = installation_spec(InstallRules(only_higher=False))
        assert violated(spec, "never_reverts") == [
            "instance 0 reads the row",
            "version 2 is accepted",
            "instance 0 reads the row",
            "instance 0 loads version 2",
            "instance 0 loads version 1",
        ]

    def test_stale_body_without_the_hash(self):
        spec = installation_spec(InstallRules(checks_hash=False))
        assert violated(spec, "serves_what_was_accepted") == [
            "instance 0 reads the row",
            "instance 0 loads a stale body of version 1",
        ]

    def test_restart_without_reading_first(self):
        spec = installation_spec(InstallRules(reads_before_serving=False))
        assert violated(spec, "never_reverts") == [
            "instance 0 reads the row",
            "instance 0 loads version 1",
            "instance 0 restarts",
            "instance 0 serves at once",
        ]
