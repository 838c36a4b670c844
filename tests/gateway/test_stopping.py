"""Requests at an instance that stops as planned.

Guards against requests that are sent so late that the process ends before the answers,
though a backend server is free.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from fakes_gateway import BOOKINGS, FakeGateway, FakeSink, backend, request
from guavajunction.errors import InstanceNotReady, OutcomeUnknown

SERVERS = (backend("b1", BOOKINGS), backend("b2", BOOKINGS))
SECONDS_LEFT = 3.0


class SilentCaller:
    """Sends requests to backend servers that never answer."""

    def __init__(self):
        self.sent = []

    @contextlib.asynccontextmanager
    async def send(self, backend, req, **_):
        self.sent.append(req.request_id)
        await asyncio.Event().wait()
        yield


@pytest.fixture
def fleet():
    fleet = FakeGateway(*SERVERS)
    fleet.queue.stops_at = fleet.clock.monotonic() + SECONDS_LEFT
    return fleet


class TestSends:
    """A plain request is sent only if its answer comes before the process ends."""

    @pytest.mark.parametrize("path", ["/book/1", "/look/1"])
    @pytest.mark.parametrize(
        ("runs", "is_sent"), [(0.1, True), (1.9, True), (2.1, False)]
    )
    async def test_longest_run_of_late_decides(self, fleet, path, runs, is_sent):
        for seconds in (runs, *[0.05] * 30):
            fleet.queue.run_times.note(BOOKINGS, seconds)
        if is_sent:
            await fleet.serve(path)
            return
        with pytest.raises(InstanceNotReady) as caught:
            await fleet.serve(path)
        assert caught.value.not_run == "true"
        assert caught.value.retry_after is not None
        assert not fleet.caller.sent

    async def test_request_with_a_short_deadline_is_sent(self, fleet):
        fleet.queue.run_times.note(BOOKINGS, 9.0)
        fleet.queue.run_times.longest = lambda _: 0.05
        await fleet.serve(seconds=SECONDS_LEFT - 0.1)

    async def test_service_whose_runs_are_unknown_gets_only_early_requests(self, fleet):
        await fleet.serve()
        fleet.clock.advance(fleet.queue.run_times.FORGET_SECONDS + 0.1)
        bound = fleet.queue.run_times.UNKNOWN_BOUND_SECONDS
        fleet.queue.stops_at = fleet.clock.monotonic() + bound - 0.1
        with pytest.raises(InstanceNotReady):
            await fleet.serve()

    async def test_long_run_is_remembered_for_a_period(self, fleet):
        times = fleet.queue.run_times
        times.note(BOOKINGS, 4.0)
        for _ in range(20):
            fleet.clock.advance(times.MAXIMUM_SECONDS / 10)
            times.note(BOOKINGS, 0.05)
            assert times.upper_bound(BOOKINGS) >= 0.05 * times.BOUND_RATIO
        fleet.clock.advance(times.MAXIMUM_SECONDS / 2)
        times.note(BOOKINGS, 0.05)
        assert times.upper_bound(BOOKINGS) < 4.0


class TestEndOfRequests:
    """Requests that are left at the end get an error instead of a closed connection."""

    async def serve_until_ended(self, fleet):
        task = asyncio.ensure_future(
            fleet.gateway.serve(
                request("/book/1", at=fleet.clock.monotonic()), FakeSink()
            )
        )
        await asyncio.sleep(0)
        assert fleet.gateway.in_flight == 1
        fleet.gateway.end_requests()
        await task

    async def test_outcome_of_a_sent_request_is_unknown(self):
        fleet = FakeGateway(*SERVERS, caller=SilentCaller())
        with pytest.raises(OutcomeUnknown) as caught:
            await self.serve_until_ended(fleet)
        assert caught.value.not_run == "unknown"
        assert fleet.gateway.in_flight == 0

    async def test_waiting_request_was_not_run(self):
        fleet = FakeGateway(backend("b1", BOOKINGS, slots=0))
        with pytest.raises(InstanceNotReady) as caught:
            await self.serve_until_ended(fleet)
        assert caught.value.not_run == "true"

    async def test_later_request_was_not_run(self):
        fleet = FakeGateway(*SERVERS)
        fleet.gateway.end_requests()
        with pytest.raises(InstanceNotReady):
            await fleet.serve()
        assert not fleet.caller.sent

    async def test_disconnected_caller_still_cancels(self):
        fleet = FakeGateway(*SERVERS, caller=SilentCaller())
        task = asyncio.ensure_future(
            fleet.gateway.serve(
                request("/book/1", at=fleet.clock.monotonic()), FakeSink()
            )
        )
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
