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
GIVE_BACK_OWN_ONLY = "give_back_own_only"
GIVE_BACK_UNSENT_ONLY = "give_back_unsent_only"
GIVING_UP_IS_FINAL = "giving_up_is_final"
NEVER_STEAL = "never_steal"
RULES = frozenset(
    {
        CLAIM_BEFORE_SENDING,
        CONDITIONAL_WRITE,
        GIVE_BACK_OWN_ONLY,
        GIVE_BACK_UNSENT_ONLY,
        GIVING_UP_IS_FINAL,
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

    at: str
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


def _with(state: State, who: int, **changes: Any) -> State:
    attempts = list(state.attempts)
    attempts[who] = attempts[who]._replace(**changes)
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
        refused = [a for a in state["attempts"] if a.at == REFUSED_NOT_RUN]
        return all(attempt.sends == 0 for attempt in refused)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every step that may come next."""
        for who, attempt in enumerate(state.attempts):
            yield from self._land(state, who, attempt)
            if attempt.at == IDLE:
                writing = _with(state, who, at=WRITING, writes=frozenset({0}))
                yield f"write {who}", writing
            elif attempt.at == WRITING:
                yield from self._write(state, who, attempt)
            elif attempt.at == HOLDING:
                yield f"send {who}", _with(state, who, at=SENT, sends=attempt.sends + 1)
                yield f"refuse {who}", _with(state, who, at=REFUSED_NOT_RUN)
            elif attempt.at == SENT:
                yield from self._end(state, who)
            else:
                yield from self._after(state, who, attempt)

    def _land(self, state: State, who: int, attempt: Attempt) -> Iterator[Step]:
        for expected in attempt.writes:
            left = _with(state, who, writes=attempt.writes - {expected})
            matches = state.row.version == expected
            if state.row.version == MAX_VERSION:
                continue
            if matches or CONDITIONAL_WRITE not in self._rules:
                row = Row(CLAIMED, who, state.row.version + 1)
                yield f"land {who}", left._replace(row=row)

    def _write(self, state: State, who: int, attempt: Attempt) -> Iterator[Step]:
        if CLAIM_BEFORE_SENDING not in self._rules:
            yield f"send {who}", _with(state, who, at=SENT, sends=attempt.sends + 1)
        refusal = REFUSED_UNKNOWN if attempt.saw_another else REFUSED_NOT_RUN
        yield f"give up {who}", _with(state, who, at=refusal)
        row = state.row
        if row.attempt == who and row.state == CLAIMED:
            yield f"recognise {who}", _with(state, who, at=HOLDING)
            return
        stolen = row.state == CLAIMED and NEVER_STEAL not in self._rules
        if row.state in (NONE, NOT_RUN) or stolen:
            again = attempt.writes | {row.version}
            saw = attempt.saw_another or row.state != NONE
            yield f"rewrite {who}", _with(state, who, writes=again, saw_another=saw)
        if row.state in (CLAIMED, DONE, UNKNOWN):
            refused = _with(state, who, at=REFUSED_UNKNOWN, saw_another=True)
            yield f"refuse {who}", refused

    def _end(self, state: State, who: int) -> Iterator[Step]:
        outcomes = {DONE, UNKNOWN}
        if GIVE_BACK_UNSENT_ONLY not in self._rules:
            outcomes.add(NOT_RUN)
        if state.row.attempt == who and state.row.state == CLAIMED:
            for outcome in sorted(outcomes):
                row = Row(outcome, who, state.row.version + 1)
                yield f"{outcome} {who}", _with(state, who, at=ENDED)._replace(row=row)

    def _after(self, state: State, who: int, attempt: Attempt) -> Iterator[Step]:
        row = state.row
        settled = attempt.at == ENDED or row.state != CLAIMED
        if settled or row.version == MAX_VERSION:
            return
        if row.attempt == who and GIVING_UP_IS_FINAL not in self._rules:
            # Its caller has been answered; it sends under that answer.
            yield f"send {who}", _with(state, who, sends=1)
        if row.attempt == who or GIVE_BACK_OWN_ONLY not in self._rules:
            back = Row(NOT_RUN, row.attempt, row.version + 1)
            yield f"give back {who}", state._replace(row=back)
