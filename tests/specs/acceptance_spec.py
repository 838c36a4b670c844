"""Specification of how changes of the configuration are accepted.

Three operators start from the same document: two change section `x`, one changes
section `y`. The first sends its change through two instances at once. Each instance
reads the head row and writes its successor by compare-and-set. A write may arrive at
any later time or never, and its reply may be lost. The row contains only the last
attempt; earlier ones are in the history.
"""

from __future__ import annotations

from itertools import pairwise
from typing import Any, Literal, NamedTuple

from minicheck import Protocol

MAX_VERSION = 4
"""Version after which no more writes are sent. It keeps the number of states finite
when a rule is left out."""


class Sender(NamedTuple):
    """An instance that handles an operator's change."""

    attempt: str
    """Id of the operator's attempt."""
    section: str
    """Section of the configuration that the change edits."""


SENDERS = (Sender("a", "x"), Sender("a", "x"), Sender("b", "x"), Sender("c", "y"))

Phase = Literal["reads", "sent", "accepted", "refused", "unknown"]


class HeadRow(NamedTuple):
    """One version of the head row."""

    attempt: str
    section: str
    x: str
    """Attempt that last wrote section `x`."""
    y: str
    """Attempt that last wrote section `y`."""
    x_version: int
    y_version: int


INITIAL_ROW = HeadRow("", "", "", "", 0, 0)


class Progress(NamedTuple):
    """Progress of one sender."""

    phase: Phase = "reads"
    expected: int = 0
    """Version that the last write was based on."""


class State(NamedTuple):
    """State of the head row and its history, the writes in flight and the senders."""

    log: tuple[HeadRow, ...]
    """Every accepted version; the last one is the head row."""
    in_transit: frozenset[tuple[int, int]]
    """Sender and expected version of each write that may still arrive."""
    work: tuple[Progress, ...]


class Rules(NamedTuple):
    """Rules for accepting a change. The defaults are the product's rules."""

    attempt_ids: bool = True
    """Whether a sender recognises its own write by its attempt id."""
    history: bool = True
    """Whether a sender also searches the history for its attempt id."""
    section_versions: bool = True
    """Whether a change is refused if its section was changed in the meantime."""
    compare_and_set: bool = True
    """Whether the row is written only if it has the expected version."""
    reads_after_loss: bool = True
    """Whether a sender reads the row again before it reports a write without a reply as
    refused."""


DEFAULT_RULES = Rules()
Step = tuple[str, State]


def acceptance_spec(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model with the given rules."""
    initial = State((INITIAL_ROW,), frozenset(), (Progress(),) * len(SENDERS))
    return Protocol(
        name="acceptance",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in _steps(State(*state), rules)
        ],
        invariants={
            "accepted_once": _accepted_once,
            "no_section_lost": _no_section_lost,
            "reports_are_true": _reports_are_true,
        },
    )


def _steps(s: State, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    for index, progress in enumerate(s.work):
        if progress.phase == "reads":
            steps.append((f"{_name(index)} reads", _read(s, index, rules)))
        if progress.phase == "sent":
            steps += _timeouts(s, index, rules)
    for index, expected in sorted(s.in_transit):
        steps += _arrivals(s, index, expected, rules)
    return steps


def _name(index: int) -> str:
    return f"sender {index} of {SENDERS[index].attempt}"


def _set_progress(s: State, index: int, progress: Progress) -> State:
    changed = (*s.work[:index], progress, *s.work[index + 1 :])
    return s._replace(work=changed)


def _read(s: State, index: int, rules: Rules) -> State:
    sender, version = SENDERS[index], len(s.log) - 1
    if _recognises(s, sender, rules):
        return _set_progress(s, index, Progress("accepted"))
    conflict = _section_version(s.log[-1], sender.section) != 0
    if (conflict and rules.section_versions) or version >= MAX_VERSION:
        return _set_progress(s, index, Progress("refused"))
    sent = _set_progress(s, index, Progress("sent", version))
    return sent._replace(in_transit=s.in_transit | {(index, version)})


def _recognises(s: State, sender: Sender, rules: Rules) -> bool:
    if not rules.attempt_ids:
        return False
    known = s.log if rules.history else s.log[-1:]
    return any(row.attempt == sender.attempt for row in known)


def _section_version(row: HeadRow, section: str) -> int:
    return row.x_version if section == "x" else row.y_version


def _timeouts(s: State, index: int, rules: Rules) -> list[Step]:
    """Return the steps without a reply: read again, or report an unknown outcome."""
    if not rules.reads_after_loss:
        refused = _set_progress(s, index, Progress("refused"))
        return [(f"{_name(index)} gets no reply", refused)]
    again = _set_progress(s, index, Progress("reads"))
    unknown = _set_progress(s, index, Progress("unknown"))
    return [
        (f"{_name(index)} gets no reply", again),
        (f"{_name(index)} gives up", unknown),
    ]


def _arrivals(s: State, index: int, expected: int, rules: Rules) -> list[Step]:
    """Return the steps of a write that arrives, with its reply received or lost."""
    rest = s._replace(in_transit=s.in_transit - {(index, expected)})
    is_waiting = s.work[index] == Progress("sent", expected)
    if rules.compare_and_set and expected != len(s.log) - 1:
        refused = _set_progress(rest, index, Progress("reads")) if is_waiting else rest
        return [(f"write of {_name(index)} is refused", refused)]
    written = rest._replace(log=(*s.log, _successor(s.log[expected], SENDERS[index])))
    steps = [(f"write of {_name(index)} takes effect, reply lost", written)]
    if is_waiting:
        answered = _set_progress(written, index, Progress("accepted"))
        steps.append((f"write of {_name(index)} takes effect", answered))
    return steps


def _successor(base: HeadRow, sender: Sender) -> HeadRow:
    following = base._replace(attempt=sender.attempt, section=sender.section)
    if sender.section == "x":
        return following._replace(x=sender.attempt, x_version=base.x_version + 1)
    return following._replace(y=sender.attempt, y_version=base.y_version + 1)


def _accepted_once(d: dict[str, Any]) -> bool:
    attempts = [row.attempt for row in d["log"][1:]]
    return len(attempts) == len(set(attempts))


def _no_section_lost(d: dict[str, Any]) -> bool:
    """Return whether each version changes only its own section, once per section."""
    log = d["log"]
    for before, after in pairwise(log):
        kept = before.y == after.y if after.section == "x" else before.x == after.x
        if not kept or _section_version(before, after.section) != 0:
            return False
    return True


def _reports_are_true(d: dict[str, Any]) -> bool:
    """Return whether each outcome that was reported to an operator is still true."""
    attempts = {row.attempt for row in d["log"]}
    for sender, progress in zip(SENDERS, d["work"], strict=True):
        if progress.phase == "accepted" and sender.attempt not in attempts:
            return False
        if progress.phase == "refused" and sender.attempt in attempts:
            return False
    return True
