"""Specification of the claim of one non-idempotent request.

Several attempts, each on its own instance, try to send the same request. A write may
be lost, its reply may be lost, and it may take effect long after its sender timed out.
An attempt that takes no more steps represents a crash; one that continues later
represents a pause.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

CLAIM_BEFORE_SENDING = "claim_before_sending"
CONDITIONAL_WRITE = "conditional_write"
RELEASE_OWN_ONLY = "release_own_only"
RELEASE_UNSENT_ONLY = "release_unsent_only"
REFUSAL_IS_FINAL = "refusal_is_final"
NEVER_STEAL = "never_steal"
RULES = frozenset(
    {
        CLAIM_BEFORE_SENDING,
        CONDITIONAL_WRITE,
        RELEASE_OWN_ONLY,
        RELEASE_UNSENT_ONLY,
        REFUSAL_IS_FINAL,
        NEVER_STEAL,
    }
)
"""Rules of the protocol. Tests leave out one at a time to show that it is needed."""

MAX_VERSION = 9
"""Row version that bounds the states when a rule is left out. The complete protocol
stays below it."""

NONE, CLAIMED, DONE, NOT_RUN, UNKNOWN = "none", "claimed", "done", "not_run", "unknown"

IDLE, WRITING, HOLDING, SENT, ENDED = "idle", "writing", "holding", "sent", "ended"
REFUSED_NOT_RUN, REFUSED_UNKNOWN = "refused: not run", "refused: unknown"


class Attempt(NamedTuple):
    """One attempt to send the request."""

    phase: str
    sends: int
    """Number of times that the attempt has sent the request."""
    writes: frozenset[int]
    """Claims in flight, by the row version that they expect."""
    saw_another: bool
    """Whether the attempt has read a claim of another attempt."""


class Row(NamedTuple):
    """Row of the claim in the store."""

    state: str
    attempt: int
    """Number of the attempt that wrote the claim, -1 without one."""
    version: int


class State(NamedTuple):
    """State of the row and the attempts."""

    row: Row
    attempts: tuple[Attempt, ...]


Step = tuple[str, State]


def _with_attempt(state: State, index: int, **changes: Any) -> State:
    attempts = list(state.attempts)
    attempts[index] = attempts[index]._replace(**changes)
    return state._replace(attempts=tuple(attempts))


class ClaimSpec:
    """Model of the claim under a set of rules."""

    def __init__(self, attempts: int, rules: frozenset[str] = RULES) -> None:
        self._attempts = attempts
        self._rules = rules

    def check(self, max_states: int = 200_000) -> dict[str, Any]:
        """Explore the reachable states, breadth first."""
        idle = Attempt(IDLE, 0, frozenset(), False)
        model = Protocol(
            name="claim",
            candidate=False,
            fields=State._fields,
            initial=State(Row(NONE, -1, 0), (idle,) * self._attempts),
            transitions=lambda state: list(self.steps(State(*state))),
            invariants={
                "sent_at_most_once": self.sent_at_most_once,
                "not_run_is_true": self.not_run_is_true,
            },
        )
        return check_safety(model, max_states)

    @staticmethod
    def sent_at_most_once(state: dict[str, Any]) -> bool:
        """Return whether all attempts together have sent the request at most once."""
        return sum(attempt.sends for attempt in state["attempts"]) <= 1

    @staticmethod
    def not_run_is_true(state: dict[str, Any]) -> bool:
        """Return whether no attempt that sent the request was refused as not run."""
        refused = [a for a in state["attempts"] if a.phase == REFUSED_NOT_RUN]
        return all(attempt.sends == 0 for attempt in refused)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every possible next step with its label."""
        for index, attempt in enumerate(state.attempts):
            yield from self._arrival_steps(state, index, attempt)
            if attempt.phase == IDLE:
                writing = _with_attempt(
                    state, index, phase=WRITING, writes=frozenset({0})
                )
                yield f"write {index}", writing
            elif attempt.phase == WRITING:
                yield from self._writing_steps(state, index, attempt)
            elif attempt.phase == HOLDING:
                yield (
                    f"send {index}",
                    _with_attempt(state, index, phase=SENT, sends=attempt.sends + 1),
                )
                yield (
                    f"refuse {index}",
                    _with_attempt(state, index, phase=REFUSED_NOT_RUN),
                )
            elif attempt.phase == SENT:
                yield from self._outcome_steps(state, index)
            else:
                yield from self._release_steps(state, index, attempt)

    def _arrival_steps(
        self, state: State, index: int, attempt: Attempt
    ) -> Iterator[Step]:
        for expected in attempt.writes:
            landed = _with_attempt(state, index, writes=attempt.writes - {expected})
            matches = state.row.version == expected
            if state.row.version == MAX_VERSION:
                continue
            if matches or CONDITIONAL_WRITE not in self._rules:
                row = Row(CLAIMED, index, state.row.version + 1)
                yield f"land {index}", landed._replace(row=row)

    def _writing_steps(
        self, state: State, index: int, attempt: Attempt
    ) -> Iterator[Step]:
        if CLAIM_BEFORE_SENDING not in self._rules:
            yield (
                f"send {index}",
                _with_attempt(state, index, phase=SENT, sends=attempt.sends + 1),
            )
        refusal = REFUSED_UNKNOWN if attempt.saw_another else REFUSED_NOT_RUN
        yield f"time out {index}", _with_attempt(state, index, phase=refusal)
        row = state.row
        if row.attempt == index and row.state == CLAIMED:
            yield f"recognise {index}", _with_attempt(state, index, phase=HOLDING)
            return
        stolen = row.state == CLAIMED and NEVER_STEAL not in self._rules
        if row.state in (NONE, NOT_RUN) or stolen:
            again = attempt.writes | {row.version}
            saw = attempt.saw_another or row.state != NONE
            yield (
                f"rewrite {index}",
                _with_attempt(state, index, writes=again, saw_another=saw),
            )
        if row.state in (CLAIMED, DONE, UNKNOWN):
            refused = _with_attempt(
                state, index, phase=REFUSED_UNKNOWN, saw_another=True
            )
            yield f"refuse {index}", refused

    def _outcome_steps(self, state: State, index: int) -> Iterator[Step]:
        outcomes = {DONE, UNKNOWN}
        if RELEASE_UNSENT_ONLY not in self._rules:
            outcomes.add(NOT_RUN)
        if state.row.attempt == index and state.row.state == CLAIMED:
            for outcome in sorted(outcomes):
                row = Row(outcome, index, state.row.version + 1)
                yield (
                    f"{outcome} {index}",
                    _with_attempt(state, index, phase=ENDED)._replace(row=row),
                )

    def _release_steps(
        self, state: State, index: int, attempt: Attempt
    ) -> Iterator[Step]:
        row = state.row
        settled = attempt.phase == ENDED or row.state != CLAIMED
        if settled or row.version == MAX_VERSION:
            return
        if row.attempt == index and REFUSAL_IS_FINAL not in self._rules:
            # The caller has already received the refusal as not run.
            yield f"send {index}", _with_attempt(state, index, sends=1)
        if row.attempt == index or RELEASE_OWN_ONLY not in self._rules:
            released = Row(NOT_RUN, row.attempt, row.version + 1)
            yield f"release {index}", state._replace(row=released)
