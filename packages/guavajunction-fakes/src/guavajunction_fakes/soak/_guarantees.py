"""Checks of the product's guarantees on the record of a soak."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from guavajunction_fakes.deployment import HEADERS, Run

from ._history import Call, Change, History

REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that a request was not and will not be executed."""
REPEATABLE = frozenset(("look", "long"))
"""Routes whose requests may run more than once."""
CHANGE_TIMEOUT_SECONDS = 3.0
"""Time within which a change takes effect while no fault is active."""
MIN_SERVED_FRACTION = 0.9
"""Minimum fraction of requests that are served after all faults have ended."""


def find_violations(history: History) -> list[str]:
    """Return a line for each violation of a guarantee."""
    return [line for check in CHECKS for line in check(history)]


def _runs_by_id(history: History) -> dict[str, list[tuple[str, Run]]]:
    found: defaultdict[str, list[tuple[str, Run]]] = defaultdict(list)
    for runner, runs in history.runs.items():
        for run in runs:
            found[run.request_id].append((runner, run))
    return found


def _check_at_most_once(history: History) -> Iterator[str]:
    runs = _runs_by_id(history)
    for call in history.calls:
        if call.kind not in REPEATABLE and len(runs[call.request_id]) > 1:
            where = [runner for runner, _ in runs[call.request_id]]
            yield f"{call.kind} {call.request_id} ran more than once: {where}"


def _check_refused_requests(history: History) -> Iterator[str]:
    runs = _runs_by_id(history)
    for call in history.calls:
        refused = call.status in REFUSALS and not call.sealed
        if refused and call.kind not in REPEATABLE and runs[call.request_id]:
            yield (
                f"{call.kind} {call.request_id} ran, but its caller got status"
                f" {call.status}"
            )


def _check_answers(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.status != 200:
            continue
        if not call.sealed:
            yield f"{call.kind} {call.request_id}: success without a runner's seal"
        if call.body != _expected_body(call, history.stream_events):
            yield f"{call.kind} {call.request_id}: answered with {call.body[:80]!r}"


def _expected_body(call: Call, events: int) -> bytes:
    if call.kind in ("draft", "long"):
        numbers = range(1, events + 1)
        return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in numbers)
    return b"done by " + call.request_id.encode()


def _check_requests_unchanged(history: History) -> Iterator[str]:
    calls = {call.request_id: call for call in history.calls}
    for request_id, runs in _runs_by_id(history).items():
        for runner, run in runs:
            call = calls.get(request_id)
            if call is None:
                yield f"{runner} ran {request_id}, which no caller sent"
            elif run.target != call.target:
                yield f"{runner} ran {request_id} with path {run.target!r}"
            elif run.customer != history.customer:
                yield f"{runner} ran {request_id} for customer {run.customer!r}"
            elif HEADERS.key.lower() in run.headers:
                yield f"{runner} received the API key of {request_id}"


def _check_runner_memory(history: History) -> Iterator[str]:
    for runner, orders in history.overloads.items():
        for order in orders:
            yield f"{runner} was ordered to load {order} beyond its capacity"


def _check_draining_runners(history: History) -> Iterator[str]:
    for change in history.changes:
        if change.kind == "drain":
            bound = _change_deadline(change, history)
            for run in history.runs.get(change.subject, ()):
                if bound < run.at < change.until:
                    late = run.at - change.at
                    yield (
                        f"{change.subject} received {run.request_id} {late:.1f} s"
                        " after it began to drain"
                    )


def _check_withdrawn_keys(history: History) -> Iterator[str]:
    for change in history.changes:
        if change.kind == "keys":
            bound = _change_deadline(change, history)
            for call in history.calls:
                old = call.key == change.subject and call.sent_at > bound
                if old and call.status == 200:
                    late = call.sent_at - change.at
                    yield (
                        f"{call.request_id}: a withdrawn key was accepted"
                        f" {late:.1f} s after its withdrawal"
                    )


def _change_deadline(change: Change, history: History) -> float:
    """Return the time by which a change must take effect; faults postpone it."""
    bound = change.at + CHANGE_TIMEOUT_SECONDS
    for begins, ends in sorted(history.fault_periods):
        if begins < bound and ends > change.at - CHANGE_TIMEOUT_SECONDS:
            bound = max(bound, ends + CHANGE_TIMEOUT_SECONDS)
    return bound


def _check_processes(history: History) -> Iterator[str]:
    for name in history.unexpected_exits:
        yield f"{name} exited unexpectedly"
    for line in history.failed_stops:
        yield f"planned stop: {line}"


def _check_recovery(history: History) -> Iterator[str]:
    withdrawn = {c.subject for c in history.changes if c.kind == "keys"}
    late = [
        call
        for call in history.calls
        if call.sent_at >= history.recovery_deadline and call.key not in withdrawn
    ]
    served = sum(call.status == 200 for call in late)
    if not late or served < MIN_SERVED_FRACTION * len(late):
        yield f"{served} of {len(late)} requests served after all faults"


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    _check_at_most_once,
    _check_refused_requests,
    _check_answers,
    _check_requests_unchanged,
    _check_runner_memory,
    _check_draining_runners,
    _check_withdrawn_keys,
    _check_processes,
    _check_recovery,
)
