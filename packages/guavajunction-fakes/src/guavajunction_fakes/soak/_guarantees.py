"""Checks the record of a soak for violations of the product's guarantees."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from guavajunction_fakes.deployment import HEADERS, Run

from ._history import Call, Change, Crash, History

REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that a request was not and will not be executed."""
RUNNER_FAILURE_STATUS = 500
"""Status of runners that are made to fail."""
REPEATABLE_ROUTES = frozenset(("look", "long"))
"""Routes whose requests may run more than once."""
CHANGE_TIMEOUT_SECONDS = 3.0
"""Time within which a change takes effect while no fault is active."""
MIN_SERVED_FRACTION = 0.9
"""Minimum fraction of requests that are served after all faults have ended."""


MAX_CRASHES = 5
MAX_LATER_ARRIVALS = 3
"""Number of requests with a part that crashes engines that may still reach runners some
time after the fifth crash."""
MAX_REQUEST_CRASHES = 3
MAX_LATER_RUNS = 3
"""Number of times that a request which crashes runners may still reach them some time
after the third crash."""
CRASH_EFFECT_SECONDS = 2.0
"""Time before and after a crash in which requests may fail: they run on the engine, or
wait until it has started again and loaded its models."""
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_RATIO = 1.5
MAX_FALLS = 2
MAX_FALLS_RATIO = 0.1
"""Brittle runners may fall over this often in all, and this often for each of them."""
LIMIT_SLACK = 5
"""A runner that names a limit may get this many requests more, in a window, than this
multiple of what the limit allows."""


def find_violations(history: History) -> list[str]:
    """Return a line for each violation of a guarantee."""
    return [line for check in CHECKS for line in check(history)]


def _runs_by_id(history: History) -> dict[str, list[tuple[str, Run]]]:
    by_id: defaultdict[str, list[tuple[str, Run]]] = defaultdict(list)
    for runner, runs in history.runs.items():
        for run in runs:
            by_id[run.request_id].append((runner, run))
    return by_id


def _check_at_most_once(history: History) -> Iterator[str]:
    runs = _runs_by_id(history)
    for call in history.calls:
        if call.kind not in REPEATABLE_ROUTES and len(runs[call.request_id]) > 1:
            runners = [runner for runner, _ in runs[call.request_id]]
            yield f"{call.kind} {call.request_id} ran more than once: {runners}"


def _check_refused_requests(history: History) -> Iterator[str]:
    runs = _runs_by_id(history)
    for call in history.calls:
        refused = call.status in REFUSAL_STATUSES and not call.sealed
        if refused and call.kind not in REPEATABLE_ROUTES and runs[call.request_id]:
            yield (
                f"{call.kind} {call.request_id} ran, but its caller got status"
                f" {call.status}"
            )


def _check_answers(history: History) -> Iterator[str]:
    for call in history.calls:
        name = f"{call.kind} {call.request_id}"
        if call.status == 200 and not call.sealed:
            yield f"{name}: success without a runner's seal"
        # Instances' own errors need not name the request.
        if call.answered_id != call.request_id and (
            call.sealed or call.answered_id is not None
        ):
            yield f"{name}: answer names request {call.answered_id}"
        expected = _expected_body(call, history.stream_events)
        if call.status is None:
            if call.sealed and not expected.startswith(call.body):
                yield f"{name}: part of an answer with {call.body[:80]!r}"
        elif (call.sealed or call.status == 200) and call.body != expected:
            yield f"{name}: answered with {call.body[:80]!r}"
        if call.sealed and call.status not in (None, 200, _own_failure(call)):
            yield f"{name}: runner's seal on status {call.status}"


def _own_failure(call: Call) -> int | None:
    """Return the status with which a runner itself may fail a request, if any."""
    return None if call.kind in ("draft", "long") else RUNNER_FAILURE_STATUS


def _check_counts(history: History) -> Iterator[str]:
    """Check that there were answers to check, and copies of answers if planned."""
    if not history.checked_answers:
        yield "no answer of a runner was checked"
    if history.copies == 0:
        yield "no answer was written a second time"


def _expected_body(call: Call, events: int) -> bytes:
    if call.kind in ("draft", "long"):
        numbers = range(call.resume_after + 1, events + 1)
        return b"".join(
            f"id: {n}\ndata: token {n} of {call.request_id}\n\n".encode()
            for n in numbers
        )
    return b"done by " + call.request_id.encode()


def _check_versions(history: History) -> Iterator[str]:
    """Check that no caller joins events of two software versions into one stream."""
    runs = _runs_by_id(history)
    versions: defaultdict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        if call.kind in REPEATABLE_ROUTES and call.last_event > call.resume_after:
            if not runs[call.request_id]:
                yield f"{call.kind} {call.request_id} has events, but did not run"
                continue
            # Of several runs of one request, the last one was relayed.
            _, run = max(runs[call.request_id], key=lambda pair: pair[1].at)
            versions[call.stream].add(run.version)
    for stream, joined in versions.items():
        if len(joined) > 1:
            yield f"stream {stream} has events of versions {sorted(joined)}"


def _check_requests_unchanged(history: History) -> Iterator[str]:
    sent = history.calls + (history.ended.calls if history.ended else ())
    calls = {call.request_id: call for call in sent}
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
    for runner, artifacts in history.overloads.items():
        for artifact in artifacts:
            yield f"{runner} was ordered to load {artifact} beyond its capacity"


def _check_order_numbers(history: History) -> Iterator[str]:
    holders: defaultdict[int, set[str]] = defaultdict(set)
    for order in history.orders:
        holders[order.fence].add(order.holder)
    for fence, names in holders.items():
        if len(names) > 1:
            yield f"fencing number {fence} was used by {sorted(names)}"


def _check_draining_runners(history: History) -> Iterator[str]:
    for change in history.changes:
        if change.kind == "drain":
            deadline = _change_deadline(change, history)
            for run in history.runs.get(change.subject, ()):
                if deadline < run.at < change.until:
                    delay = run.at - change.at
                    yield (
                        f"{change.subject} received {run.request_id} {delay:.1f} s"
                        " after it began to drain"
                    )


def _check_withdrawn_keys(history: History) -> Iterator[str]:
    for change in history.changes:
        if change.kind == "keys":
            deadline = _change_deadline(change, history)
            for call in history.calls:
                uses_old_key = call.key == change.subject and call.sent_at > deadline
                if uses_old_key and call.status == 200:
                    delay = call.sent_at - change.at
                    yield (
                        f"{call.request_id}: a withdrawn key was accepted"
                        f" {delay:.1f} s after its withdrawal"
                    )


def _change_deadline(change: Change, history: History) -> float:
    """Return the time by which a change must take effect.

    Faults postpone the deadline if they are active before it, including those that
    ended less than `CHANGE_TIMEOUT_SECONDS` before the change.
    """
    deadline = change.at + CHANGE_TIMEOUT_SECONDS
    for begins, ends in sorted(history.fault_periods):
        if begins < deadline and ends > change.at - CHANGE_TIMEOUT_SECONDS:
            deadline = max(deadline, ends + CHANGE_TIMEOUT_SECONDS)
    return deadline


def _check_crashing_part(history: History) -> Iterator[str]:
    """Check that engines stop crashing on one part of a prompt."""
    crashes = _since_loss(history, history.crashes)
    found = _after_crash(history, crashes, MAX_CRASHES, history.crashing_arrivals)
    if found is not None and found.later > MAX_LATER_ARRIVALS:
        yield (
            f"{found.later} requests with the crashing part reached runners after"
            f" {found.seconds:.1f} s from the fifth of {len(crashes)} crashes"
        )


def _check_crashing_request(history: History) -> Iterator[str]:
    """Check that runners stop crashing on one request."""
    crashes = _since_loss(history, history.request_crashes)
    found = _after_crash(history, crashes, MAX_REQUEST_CRASHES, history.crashing_runs)
    if found is not None and found.later > MAX_LATER_RUNS:
        yield (
            f"the crashing request reached runners {found.later} times after"
            f" {found.seconds:.1f} s from the third of {len(crashes)} crashes"
        )


class _AfterCrash(NamedTuple):
    """What reached runners once a crash must have taken effect."""

    later: int
    """Number of requests."""
    seconds: float
    """Time from the crash until it must have taken effect."""


def _after_crash(
    history: History, crashes: list[Crash], number: int, times: tuple[float, ...]
) -> _AfterCrash | None:
    """Count the requests after a crash must have taken effect.

    Args:
        history: Record of the soak.
        crashes: Crashes in order.
        number: Number of the crash, counted from 1.
        times: When requests reached runners.

    Returns:
        None if there were fewer crashes.
    """
    if len(crashes) < number:
        return None
    crash = crashes[number - 1]
    deadline = _change_deadline(Change(crash.at, "crash", crash.runner), history)
    return _AfterCrash(sum(at > deadline for at in times), deadline - crash.at)


def _since_loss(history: History, crashes: tuple[Crash, ...]) -> list[Crash]:
    """Return the crashes since the fleet could last have lost its reports of them."""
    return sorted(c for c in crashes if c.at > history.reports_lost_at)


def _check_named_limit(history: History) -> Iterator[str]:
    """Check the limit that a runner names, once all faults have ended."""
    if history.limited is None:
        return
    ends = [end for _, end in history.fault_periods]
    since = max(ends, default=0.0) + CHANGE_TIMEOUT_SECONDS
    times = [at for at in history.limited.arrived_at if at >= since]
    allowed = LIMIT_RATIO * history.limited.limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
    for begins in times:
        count = sum(begins <= at < begins + LIMIT_WINDOW_SECONDS for at in times)
        if count > allowed:
            yield (
                f"a runner with a limit of {history.limited.limit} requests a second"
                f" received {count} in {LIMIT_WINDOW_SECONDS:g} s"
            )
            return


def _check_falls(history: History) -> Iterator[str]:
    """Check that brittle runners do not fall over while no fault is active."""
    falls = [
        fall
        for fall in history.falls
        if not any(
            begins < fall.at < ends + CHANGE_TIMEOUT_SECONDS
            for begins, ends in history.fault_periods
        )
    ]
    plain = {fall.runner for fall in history.falls}
    if len(falls) > MAX_FALLS + MAX_FALLS_RATIO * len(plain):
        yield f"brittle runners fell over {len(falls)} times without a fault"


def _check_processes(history: History) -> Iterator[str]:
    for name in history.unexpected_exits:
        yield f"{name} exited unexpectedly"
    for line in history.failed_stops:
        yield f"planned stop: {line}"


def _is_near_crash(call: Call, crashes: list[float]) -> bool:
    return any(
        at - CRASH_EFFECT_SECONDS < call.sent_at < at + CRASH_EFFECT_SECONDS
        for at in crashes
    )


def _check_recovery(history: History) -> Iterator[str]:
    withdrawn = {c.subject for c in history.changes if c.kind == "keys"}
    on_part = _since_loss(history, history.crashes)[:MAX_CRASHES]
    on_request = _since_loss(history, history.request_crashes)
    allowed = [
        crash.at
        for crash in on_part + on_request[: MAX_REQUEST_CRASHES + MAX_LATER_RUNS]
    ]
    after_recovery = [
        call
        for call in history.calls
        if call.sent_at >= history.recovery_deadline
        and call.key not in withdrawn
        and not call.crashing
        and not (call.status != 200 and _is_near_crash(call, allowed))
    ]
    served = sum(call.status == 200 for call in after_recovery)
    if not after_recovery or served < MIN_SERVED_FRACTION * len(after_recovery):
        yield f"{served} of {len(after_recovery)} requests served after all faults"


def _check_ended_instance(history: History) -> Iterator[str]:
    """Check the answers around the end of an instance that callers kept using.

    What a planned stop passes on is answered, and no part of an answer that a kill
    breaks off looks complete.
    """
    ended = history.ended
    if ended is None:
        return
    yield from _check_answers(history._replace(calls=ended.calls))
    yield from _check_refused_requests(history._replace(calls=ended.calls))
    if not ended.planned:
        return
    if ended.exit_status != 0:
        yield f"planned stop: {ended.name} exited with status {ended.exit_status}"
    runs = _runs_by_id(history)
    for call in ended.calls:
        if call.status is None and runs[call.request_id]:
            yield (
                f"{call.kind} {call.request_id} ran, but got no answer in the planned"
                f" stop of {ended.name}"
            )


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    _check_at_most_once,
    _check_refused_requests,
    _check_answers,
    _check_counts,
    _check_versions,
    _check_requests_unchanged,
    _check_runner_memory,
    _check_order_numbers,
    _check_draining_runners,
    _check_withdrawn_keys,
    _check_crashing_part,
    _check_crashing_request,
    _check_named_limit,
    _check_falls,
    _check_processes,
    _check_recovery,
    _check_ended_instance,
)
