"""Tests of the soak's checks: each check reports the violation it looks for."""

from __future__ import annotations

import pytest

from guavajunction_fakes.deployment import HEADERS, OrderBody, Run
from guavajunction_fakes.soak import (
    Call,
    Change,
    Crash,
    History,
    LimitedRunner,
    find_violations,
)


def call(number, kind="book", *, status=200, **changes):
    request_id = f"r{number}"
    body = b"done by " + request_id.encode()
    if kind == "draft":
        body = events(request_id, 1, 2, 3)
    sent = Call(request_id, kind, f"/{kind}/x", "key", 10.0 + number, status, True)
    return sent._replace(**({"answered_id": request_id, "body": body} | changes))


def events(request_id, *numbers):
    return b"".join(
        f"id: {n}\ndata: token {n} of {request_id}\n\n".encode() for n in numbers
    )


def run(number, kind="book", **changes):
    return Run(f"r{number}", f"/{kind}/x", "atelier", ("host",), b"", 1, 11.0)._replace(
        **changes
    )


@pytest.fixture
def history():
    calls = (call(1), call(2, "draft"), call(3, status=503, sealed=False))
    return History(
        calls=calls,
        runs={"booking-1": (run(1),), "engine-1": (run(2, "draft"),)},
        changes=(),
        fault_periods=(),
        overloads={},
        unexpected_exits=(),
        failed_stops=(),
        recovery_deadline=10.0,
        stream_events=3,
        customer="atelier",
    )


def add(history, runner, *runs):
    return history._replace(runs=history.runs | {runner: runs})


class TestGuarantees:
    """A correct history has no violation; each faulty history has exactly one."""

    @pytest.fixture(autouse=True)
    def served(self, history):
        """Add served calls, so that the recovery check passes in all tests."""
        more = [call(number) for number in range(100, 150)]
        runs = tuple(run(number) for number in range(100, 150))
        self.history = add(
            history._replace(calls=(*history.calls, *more)), "booking-2", *runs
        )

    def test_requests_that_go_on_crashing_engines_are_reported(self):
        crashes = tuple(Crash(20.0 + n, "engine-1") for n in range(5))
        late = (28.0, 29.0, 30.0, 31.0)
        history = self.history._replace(crashes=crashes, crashing_arrivals=late)
        (line,) = find_violations(history)
        assert "4 requests with the crashing part" in line
        assert not find_violations(history._replace(crashing_arrivals=late[1:]))
        assert not find_violations(history._replace(crashes=crashes[1:]))

    def test_request_that_goes_on_crashing_runners_is_reported(self):
        crashes = tuple(Crash(20.0 + n, "booking-1") for n in range(3))
        late = (26.0, 27.0, 28.0, 29.0)
        history = self.history._replace(request_crashes=crashes, crashing_runs=late)
        (line,) = find_violations(history)
        assert "the crashing request reached runners 4 times" in line
        assert not find_violations(history._replace(crashing_runs=late[1:]))
        assert not find_violations(history._replace(request_crashes=crashes[1:]))

    def test_requests_beyond_a_named_limit_are_reported(self):
        times = tuple(20.0 + n * 0.25 for n in range(40))
        history = self.history._replace(limited=LimitedRunner(1.0, times))
        (line,) = find_violations(history)
        assert "a limit of 1.0 requests a second received 16 in 4 s" in line
        assert not find_violations(history._replace(limited=LimitedRunner(2.0, times)))

    def test_brittle_runners_that_fall_over_are_reported(self):
        falls = tuple(Crash(20.0 + n, "booking-1") for n in range(3))
        history = self.history._replace(falls=falls)
        assert "fell over 3 times" in self.only(history)
        assert not find_violations(history._replace(falls=falls[1:]))
        during = history._replace(fault_periods=((19.0, 21.0),))
        assert not find_violations(during)

    def test_stream_joined_from_two_versions_is_reported(self):
        broken = call(60, "long", status=None, body=events("r60", 1))
        rest = events("r61", 2, 3)
        resumed = call(61, "long", body=rest, resumes="r60", resume_after=1)
        same = self.history._replace(calls=(*self.history.calls, broken, resumed))
        same = add(same, "engine-1", run(60, "long"), run(61, "long"))
        assert not find_violations(same)
        other = add(same, "engine-1", run(60, "long"))
        other = add(other, "engine-2", run(61, "long", version="v1.1"))
        assert "versions ['v1', 'v1.1']" in self.only(other)

    def only(self, history):
        (line,) = find_violations(history)
        return line

    def test_correct_history(self):
        assert find_violations(self.history) == []

    def test_ran_twice(self):
        assert "more than once" in self.only(add(self.history, "booking-3", run(1)))

    def test_refused_request_that_ran(self):
        assert "got status 503" in self.only(add(self.history, "booking-3", run(3)))

    def test_success_without_a_seal(self):
        calls = (*self.history.calls, call(9, sealed=False))
        history = add(self.history._replace(calls=calls), "booking-3", run(9))
        assert "seal" in self.only(history)

    @pytest.mark.parametrize(
        "body", [b"", b"done by r8", b"id: 1\ndata: token 1\n\nid: 3\n"]
    )
    def test_wrong_or_truncated_answer(self, body):
        calls = (*self.history.calls, call(9, body=body))
        history = add(self.history._replace(calls=calls), "booking-3", run(9))
        assert "answered with" in self.only(history)

    def with_call(self, *args, **changes):
        calls = (*self.history.calls, call(9, *args, **changes))
        return add(self.history._replace(calls=calls), "booking-3", run(9, *args))

    @pytest.mark.parametrize("status", [200, 500, None])
    @pytest.mark.parametrize("answered_id", ["r8", None])
    def test_answer_that_names_another_request(self, status, answered_id):
        history = self.with_call(status=status, answered_id=answered_id)
        assert f"names request {answered_id}" in self.only(history)

    def test_error_of_an_instance_that_names_another_request(self):
        error = {"status": 504, "sealed": False, "body": b"timeout"}
        history = self.with_call(**error, answered_id="r8")
        assert "names request r8" in self.only(history)
        assert not find_violations(self.with_call(**error, answered_id=None))

    @pytest.mark.parametrize("status", [200, None])
    @pytest.mark.parametrize("before", [b"", events("r9", 1, 2, 3)])
    @pytest.mark.parametrize("other", [events("r8", 1), events("r9", 2)])
    def test_events_of_another_stream(self, status, before, other):
        body = before + other
        history = self.with_call("draft", status=status, body=body)
        assert "answer" in self.only(history)
        part = events("r9", 1, 2)[:-4]
        assert not find_violations(self.with_call("draft", status=None, body=part))

    def test_events_of_a_stream_that_did_not_run(self):
        stream = call(9, "long", body=events("r9", 1, 2, 3))
        history = self.history._replace(calls=(*self.history.calls, stream))
        assert "long r9 has events, but did not run" in self.only(history)

    def test_failure_with_a_seal_that_is_not_what_a_runner_wrote(self):
        assert not find_violations(self.with_call(status=500))
        assert "answered with" in self.only(self.with_call(status=500, body=b"done"))
        assert "seal on status 504" in self.only(self.with_call(status=504))
        assert "seal on status 500" in self.only(self.with_call("draft", status=500))

    def test_soak_that_checks_nothing_fails(self):
        assert not find_violations(self.history._replace(copies=1))
        assert "second time" in self.only(self.history._replace(copies=0))
        history = self.history._replace(calls=(call(9, status=504, sealed=False),))
        assert "no answer of a runner was checked" in find_violations(history)

    def test_run_without_a_call(self):
        assert "no caller sent" in self.only(add(self.history, "booking-3", run(77)))

    @pytest.mark.parametrize(
        ("changes", "word"),
        [
            ({"target": "/book/y"}, "path"),
            ({"customer": "other"}, "customer"),
            ({"headers": (HEADERS.key.lower(),)}, "API key"),
        ],
    )
    def test_changed_request(self, changes, word):
        history = add(self.history, "booking-1", run(1, **changes))
        assert word in self.only(history)

    def test_load_beyond_capacity(self):
        history = self.history._replace(overloads={"engine-1": ("m3",)})
        assert "beyond its capacity" in self.only(history)

    def test_fencing_number_of_two_holders(self):
        orders = tuple(
            OrderBody("load", "m1", "", holder, fence, None)
            for holder, fence in (("front-1", 4), ("front-1", 4), ("front-2", 5))
        )
        assert not find_violations(self.history._replace(orders=orders))
        orders += (orders[0]._replace(holder="front-2"),)
        assert "number 4" in self.only(self.history._replace(orders=orders))

    def test_request_to_a_draining_runner(self):
        change = Change(7.0, "drain", "booking-1", until=20.0)
        history = self.history._replace(changes=(change,))
        assert "after it began to drain" in self.only(history)

    def test_fault_postpones_a_change(self):
        change = Change(7.0, "drain", "booking-1", until=20.0)
        history = self.history._replace(changes=(change,), fault_periods=((6.0, 9.0),))
        assert find_violations(history) == []

    def test_accepted_withdrawn_key(self):
        calls = (*self.history.calls, call(9, key="old", sent_at=20.0))
        history = add(self.history._replace(calls=calls), "booking-3", run(9))
        history = history._replace(changes=(Change(12.0, "keys", "old"),))
        assert "withdrawn key was accepted" in self.only(history)

    def test_unexpected_exits_and_failed_stops(self):
        assert "exited unexpectedly" in self.only(
            self.history._replace(unexpected_exits=("front-1",))
        )
        assert "planned stop" in self.only(self.history._replace(failed_stops=("x",)))

    def test_missing_recovery(self):
        late = [call(n, status=503, sealed=False) for n in range(200, 220)]
        history = self.history._replace(calls=(*self.history.calls, *late))
        assert "after all faults" in self.only(
            history._replace(recovery_deadline=200.0)
        )

    def crashed_at(self, *times, **changes):
        """Return a history in which 4 of 14 requests fail, from 210 to 213 s."""
        failed = [call(n, status=504, sealed=False) for n in range(200, 204)]
        served = [call(n) for n in range(220, 230)]
        history = self.history._replace(
            calls=(*self.history.calls, *failed, *served),
            crashes=tuple(Crash(at, "engine-1") for at in times),
            recovery_deadline=210.0,
            **changes,
        )
        return add(history, "booking-3", *(run(n) for n in range(220, 230)))

    def test_failures_near_one_of_the_first_crashes_are_allowed(self):
        assert "after all faults" in self.only(self.crashed_at())
        assert "after all faults" in self.only(self.crashed_at(205.0))
        assert not find_violations(self.crashed_at(211.5))

    def test_failures_near_a_later_crash_are_not_allowed(self):
        five = (20.0, 21.0, 22.0, 23.0, 24.0)
        assert "after all faults" in self.only(self.crashed_at(*five, 211.5))
        lost = self.crashed_at(*five, 211.5, reports_lost_at=30.0)
        assert not find_violations(lost)

    def test_recovery_ignores_withdrawn_keys(self):
        late = [call(n, status=401, sealed=False, key="old") for n in range(200, 220)]
        history = self.history._replace(
            calls=(*self.history.calls, *late, call(220)),
            changes=(Change(12.0, "keys", "old"),),
            recovery_deadline=200.0,
        )
        assert find_violations(add(history, "booking-3", run(220))) == []
