"""A small model of the claim of one non-idempotent request, checked exhaustively.

Several attempts, each at an instance of its own, want to send the same request. A
write may be lost, may be answered or not, and may land long after its sender gave
up. An attempt that stops taking steps stands for a crash, one that goes on later for
a pause.
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
"""The rules of the protocol; a mutation leaves one out."""

MAX_VERSION = 9
"""Bounds what a mutation can reach; the protocol itself stays below it."""

NONE, CLAIMED, DONE, NOT_RUN, UNKNOWN = "none", "claimed", "done", "not_run", "unknown"

IDLE, WRITING, HOLDING, SENT, ENDED = "idle", "writing", "holding", "sent", "ended"
REFUSED_NOT_RUN, REFUSED_UNKNOWN = "refused: not run", "refused: unknown"


class Attempt(NamedTuple):
    """One attempt to send the request."""

    phase: str
    sends: int
    writes: frozenset[int]
    """Claims on their way, by the row version that they expect."""
    saw_another: bool
    """Whether it has read a claim of another attempt."""


class Row(NamedTuple):
    """The claim's row."""

    state: str
    attempt: int
    version: int


class State(NamedTuple):
    """The whole system."""

    row: Row
    attempts: tuple[Attempt, ...]


Step = tuple[str, State]


def _with(state: State, index: int, **changes: Any) -> State:
    attempts = list(state.attempts)
    attempts[index] = attempts[index]._replace(**changes)
    return state._replace(attempts=tuple(attempts))


class ClaimSpec:
    """Transitions of the model under a set of rules."""

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
        """Return whether all attempts together have sent the request once at most."""
        return sum(attempt.sends for attempt in state["attempts"]) <= 1

    @staticmethod
    def not_run_is_true(state: dict[str, Any]) -> bool:
        """Return whether no attempt was refused as not run that has sent."""
        refused = [a for a in state["attempts"] if a.phase == REFUSED_NOT_RUN]
        return all(attempt.sends == 0 for attempt in refused)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every step that may come next."""
        for index, attempt in enumerate(state.attempts):
            yield from self._land(state, index, attempt)
            if attempt.phase == IDLE:
                writing = _with(state, index, phase=WRITING, writes=frozenset({0}))
                yield f"write {index}", writing
            elif attempt.phase == WRITING:
                yield from self._write(state, index, attempt)
            elif attempt.phase == HOLDING:
                yield (
                    f"send {index}",
                    _with(state, index, phase=SENT, sends=attempt.sends + 1),
                )
                yield f"refuse {index}", _with(state, index, phase=REFUSED_NOT_RUN)
            elif attempt.phase == SENT:
                yield from self._end(state, index)
            else:
                yield from self._after(state, index, attempt)

    def _land(self, state: State, index: int, attempt: Attempt) -> Iterator[Step]:
        for expected in attempt.writes:
            left = _with(state, index, writes=attempt.writes - {expected})
            matches = state.row.version == expected
            if state.row.version == MAX_VERSION:
                continue
            if matches or CONDITIONAL_WRITE not in self._rules:
                row = Row(CLAIMED, index, state.row.version + 1)
                yield f"land {index}", left._replace(row=row)

    def _write(self, state: State, index: int, attempt: Attempt) -> Iterator[Step]:
        if CLAIM_BEFORE_SENDING not in self._rules:
            yield (
                f"send {index}",
                _with(state, index, phase=SENT, sends=attempt.sends + 1),
            )
        refusal = REFUSED_UNKNOWN if attempt.saw_another else REFUSED_NOT_RUN
        yield f"give up {index}", _with(state, index, phase=refusal)
        row = state.row
        if row.attempt == index and row.state == CLAIMED:
            yield f"recognise {index}", _with(state, index, phase=HOLDING)
            return
        stolen = row.state == CLAIMED and NEVER_STEAL not in self._rules
        if row.state in (NONE, NOT_RUN) or stolen:
            again = attempt.writes | {row.version}
            saw = attempt.saw_another or row.state != NONE
            yield f"rewrite {index}", _with(state, index, writes=again, saw_another=saw)
        if row.state in (CLAIMED, DONE, UNKNOWN):
            refused = _with(state, index, phase=REFUSED_UNKNOWN, saw_another=True)
            yield f"refuse {index}", refused

    def _end(self, state: State, index: int) -> Iterator[Step]:
        outcomes = {DONE, UNKNOWN}
        if RELEASE_UNSENT_ONLY not in self._rules:
            outcomes.add(NOT_RUN)
        if state.row.attempt == index and state.row.state == CLAIMED:
            for outcome in sorted(outcomes):
                row = Row(outcome, index, state.row.version + 1)
                yield (
                    f"{outcome} {index}",
                    _with(state, index, phase=ENDED)._replace(row=row),
                )

    def _after(self, state: State, index: int, attempt: Attempt) -> Iterator[Step]:
        row = state.row
        settled = attempt.phase == ENDED or row.state != CLAIMED
        if settled or row.version == MAX_VERSION:
            return
        if row.attempt == index and REFUSAL_IS_FINAL not in self._rules:
            # Its caller has been answered; it sends under that answer.
            yield f"send {index}", _with(state, index, sends=1)
        if row.attempt == index or RELEASE_OWN_ONLY not in self._rules:
            back = Row(NOT_RUN, row.attempt, row.version + 1)
            yield f"give back {index}", state._replace(row=back)
