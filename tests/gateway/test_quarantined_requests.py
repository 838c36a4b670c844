"""Tests of requests that are refused because backend servers crash on them."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import BOOKINGS, HOST, FakeGateway, backend
from guavajunction.errors import OutcomeUnknown, RequestQuarantined
from guavajunction.quarantine import (
    BackendId,
    CrashReport,
    Evidence,
    PartQuarantine,
    RequestFingerprint,
)

SERVERS = 6
LOOK = "/look/slot/7"


@pytest.fixture
def fleet():
    return FakeGateway(*(backend(f"b{n}", BOOKINGS) for n in range(SERVERS)))


def crash_next(fleet, count):
    fleet.caller.script = [
        OutcomeUnknown("no answer", connection_lost=True) for _ in range(count)
    ]


def settle(fleet):
    fleet.clock.advance(PartQuarantine.CONFIRM_SECONDS)
    fleet.quarantine.settle()


def restart(fleet):
    """Start all backend servers again, as those that crashed do after some seconds."""
    for record in list(fleet.registry.records()):
        fleet.registry.put(record._replace(incarnation=record.incarnation + 1))


async def crash(fleet, attempts=2, **changes):
    """Send a request whose two attempts end backend servers, several times."""
    for _ in range(attempts):
        crash_next(fleet, 2)
        with pytest.raises(OutcomeUnknown):
            await fleet.serve(LOOK, **changes)
        settle(fleet)
        restart(fleet)
    fleet.caller.script = []


class TestQuarantinedRequest:
    """Repeats are refused at once and truthfully; other requests are served."""

    async def test_repeat_is_refused_as_not_run_before_it_is_charged(self, fleet):
        await crash(fleet)
        sent = len(fleet.caller.sent)
        with pytest.raises(RequestQuarantined) as caught:
            await fleet.serve(LOOK)
        assert caught.value.STATUS == 503
        assert caught.value.not_run == "true"
        assert caught.value.retry_after is None
        assert len(fleet.caller.sent) == sent

    async def test_waiting_request_is_refused_once_other_instances_blame_it(
        self, fleet
    ):
        for record in list(fleet.registry.records()):
            fleet.registry.put(record._replace(draining=True))
        waiting = asyncio.ensure_future(fleet.serve(LOOK))
        await asyncio.sleep(0)
        key = RequestFingerprint(
            caller="atelier", method="POST", host=HOST, target=LOOK, body=b""
        ).key
        crashes = tuple(
            CrashReport(BackendId(f"b{n}", 1), fleet.clock.monotonic(), (key,))
            for n in range(3)
        )
        fleet.quarantine.merge("other", Evidence(crashes))
        fleet.queue.schedule_dispatch()
        with pytest.raises(RequestQuarantined):
            await asyncio.wait_for(waiting, 1.0)
        assert not fleet.caller.sent

    async def test_other_path_caller_or_body_is_served(self, fleet):
        await crash(fleet)
        for changes in (
            {"path": "/look/slot/8"},
            {"path": LOOK, "body": b"other"},
            {"path": LOOK + "?day=2"},
        ):
            sink = await fleet.serve(changes.pop("path"), **changes)
            assert sink.finished

    async def test_request_that_is_answered_between_crashes_is_never_refused(
        self, fleet
    ):
        for _ in range(4):
            await crash(fleet, attempts=1)
            assert (await fleet.serve(LOOK)).finished

    async def test_the_one_attempt_of_a_quarantined_request_is_not_repeated(
        self, fleet
    ):
        claims = []

        async def claim(part):
            claims.append(part)
            return True

        fleet.quarantine.claim_trial = claim
        await crash(fleet)
        fleet.clock.advance(PartQuarantine.TRIAL_SECONDS + 1.0)
        sent = len(fleet.caller.sent)
        crash_next(fleet, 2)
        with pytest.raises(OutcomeUnknown):
            await fleet.serve(LOOK)
        assert len(fleet.caller.sent) == sent + 1
        assert len(claims) == 1

    async def test_bodies_are_not_hashed_in_calm(self, fleet, monkeypatch):
        def fail(_):
            raise AssertionError("hashed")

        monkeypatch.setattr("guavajunction.quarantine._fingerprint._request_key", fail)
        assert (await fleet.serve(LOOK, body=bytes(100_000))).finished
