"""Checks what callers and backend servers saw against what was promised."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from guavajunction_fakes.deployment import HEADERS, Run

from ._history import Call, Change, History

REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run and never will."""
REPEATABLE = frozenset(("look", "long"))
"""Routes whose requests may run more than once."""
APPLY_SECONDS = 3.0
"""Within which a change is in force, unless something is wrong."""
CALM_PART = 0.9
"""Least part of the requests that is served once all faults are over."""


def broken_promises(history: History) -> list[str]:
    """Return a line for each promise that was broken."""
    return [line for check in CHECKS for line in check(history)]


def _runs_by_id(history: History) -> dict[str, list[tuple[str, Run]]]:
    found: defaultdict[str, list[tuple[str, Run]]] = defaultdict(list)
    for runner, runs in history.runs.items():
        for run in runs:
            found[run.request_id].append((runner, run))
    return found


def _at_most_once(history: History) -> Iterator[str]:
    runs = _runs_by_id(history)
    for call in history.calls:
        if call.kind not in REPEATABLE and len(runs[call.request_id]) > 1:
            where = [runner for runner, _ in runs[call.request_id]]
            yield f"{call.kind} {call.request_id} ran more than once: {where}"


def _refusals_are_true(history: History) -> Iterator[str]:
    runs = _runs_by_id(history)
    for call in history.calls:
        refused = call.status in REFUSALS and not call.sealed
        if refused and call.kind not in REPEATABLE and runs[call.request_id]:
            yield f"{call.kind} {call.request_id} ran, but was told {call.status}"


def _answers_are_whole(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.status != 200:
            continue
        if not call.sealed:
            yield f"{call.kind} {call.request_id}: success without a runner's seal"
        if call.body != _expected(call, history.stream_events):
            yield f"{call.kind} {call.request_id}: answered with {call.body[:80]!r}"


def _expected(call: Call, events: int) -> bytes:
    if call.kind in ("draft", "long"):
        numbers = range(1, events + 1)
        return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in numbers)
    return b"done by " + call.request_id.encode()


def _requests_are_callers(history: History) -> Iterator[str]:
    calls = {call.request_id: call for call in history.calls}
    for request_id, runs in _runs_by_id(history).items():
        for runner, run in runs:
            call = calls.get(request_id)
            if call is None:
                yield f"{runner} ran {request_id}, which nobody sent"
            elif run.target != call.target:
                yield f"{runner} ran {request_id} with path {run.target!r}"
            elif run.customer != history.customer:
                yield f"{runner} ran {request_id} for customer {run.customer!r}"
            elif HEADERS.key.lower() in run.headers:
                yield f"{runner} was shown the key of {request_id}"


def _memory_is_kept(history: History) -> Iterator[str]:
    for runner, orders in history.overloads.items():
        for order in orders:
            yield f"{runner} was ordered to load {order} without room"


def _leaving_runners_are_left(history: History) -> Iterator[str]:
    for change in history.changes:
        if change.kind == "drain":
            bound = _in_force(change, history)
            for run in history.runs.get(change.subject, ()):
                if bound < run.at < change.until:
                    late = run.at - change.at
                    yield f"{change.subject} got {run.request_id} {late:.1f} s late"


def _withdrawn_keys_are_refused(history: History) -> Iterator[str]:
    for change in history.changes:
        if change.kind == "keys":
            bound = _in_force(change, history)
            for call in history.calls:
                old = call.key == change.subject and call.sent_at > bound
                if old and call.status == 200:
                    late = call.sent_at - change.at
                    yield f"{call.request_id}: an old key worked {late:.1f} s late"


def _in_force(change: Change, history: History) -> float:
    """Return when a change must be in force: faults put it off until they are over."""
    bound = change.at + APPLY_SECONDS
    for begins, ends in sorted(history.disturbed):
        if begins < bound and ends > change.at - APPLY_SECONDS:
            bound = max(bound, ends + APPLY_SECONDS)
    return bound


def _processes_stay(history: History) -> Iterator[str]:
    for name in history.own_ends:
        yield f"{name} ended by itself"
    for line in history.bad_stops:
        yield f"planned stop: {line}"


def _service_is_back(history: History) -> Iterator[str]:
    withdrawn = {c.subject for c in history.changes if c.kind == "keys"}
    late = [
        call
        for call in history.calls
        if call.sent_at >= history.calm_from and call.key not in withdrawn
    ]
    served = sum(call.status == 200 for call in late)
    if not late or served < CALM_PART * len(late):
        yield f"{served} of {len(late)} requests served after all faults"


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    _at_most_once,
    _refusals_are_true,
    _answers_are_whole,
    _requests_are_callers,
    _memory_is_kept,
    _leaving_runners_are_left,
    _withdrawn_keys_are_refused,
    _processes_stay,
    _service_is_back,
)
