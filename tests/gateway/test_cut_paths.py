"""Tests of requests while an instance may be cut from all backend servers."""

from __future__ import annotations

import pytest

from fakes_gateway import BOOKINGS, FakeGateway, backend
from guavajunction.errors import NotSent


@pytest.fixture
def fleet():
    one = FakeGateway(*(backend(f"b{n}", BOOKINGS) for n in range(6)))
    one.watch.on_change = lambda _: one.registry.forget_unreachable()
    return one


class TestCutPaths:
    """A request waits until it is known whether its instance is cut."""

    async def test_request_is_sent_once_more_when_the_cut_is_known(self, fleet):
        fleet.reachable_addresses = set()
        fleet.caller.script = [NotSent("refused")] * 2
        sink = await fleet.serve("/book/1")
        assert sink.finished
        assert fleet.watch.is_cut
        assert len(fleet.caller.sent) == 3

    async def test_servers_that_ended_are_no_cut(self, fleet):
        fleet.reachable_addresses = {"b5:1"}
        fleet.caller.script = [NotSent("refused")] * 3
        await fleet.serve("/book/1")
        assert not fleet.watch.is_cut

    async def test_waiting_requests_are_counted_until_their_answer_ends(self, fleet):
        await fleet.serve("/book/1")
        fleet.caller.script = [NotSent("refused")]
        await fleet.serve("/book/2")
        assert fleet.paths._waiting == 0
