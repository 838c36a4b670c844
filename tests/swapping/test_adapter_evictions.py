"""Tests of adapters whose unload waits for the requests that use them."""

from __future__ import annotations

import asyncio

import pytest

from fakes_clock import QuickClock
from fakes_gateway import ENGINE, ENGINES, backend, catalogue, size
from fakes_orders import FakeEngine
from guavajunction.errors import OutcomeUnknown
from guavajunction.gateway import BackendRegistry, LoadView
from guavajunction.swapping import (
    AdapterWanted,
    BackendLedger,
    LoadRateLimiter,
    Order,
    OrderKind,
    OrderManager,
    Term,
    TermParts,
)

LOAD, UNLOAD = OrderKind.LOAD, OrderKind.UNLOAD


async def _always(_):
    return True


class Leader:
    """A leader's term over one model server whose adapter slots are all taken."""

    def __init__(self, engine):
        self.engine = engine
        self.clock = QuickClock()
        self.loads = LoadView()
        self.notices = []
        registry = BackendRegistry(self.clock)
        registry.put(backend("e1", models=("m1",)))
        parts = TermParts(
            registry=registry,
            loads=self.loads,
            catalogue=catalogue,
            demand=dict,
            resumes=dict,
            broadcast=self._broadcast,
            schedule_dispatch=lambda: None,
            acquire_send=_always,
            load_rate_limiter=LoadRateLimiter(5.0),
            clock=self.clock,
        )
        self.manager = OrderManager(engine, "front-1", lambda: 1, self.clock)
        self.term = Term(parts, self.manager)

    def _broadcast(self, notice):
        self.notices.append((len(self.engine.sent), notice.models["m1"]))

    @property
    def ledger(self):
        return self.manager.ledgers()[0]

    async def load(self, adapter):
        """Request an adapter; return the backend server that holds it, or ""."""
        ready = await self.term.adapter(AdapterWanted(ENGINES, "m1", adapter))
        return ready.backend

    async def settle(self):
        """Let the term fetch the reports that it needs."""
        task = asyncio.create_task(self.term._refresh_backends())
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()


@pytest.fixture
async def leader():
    leader = Leader(FakeEngine(("m1",)))
    await leader.settle()
    for adapter in ("a1", "a2"):
        assert await leader.load(adapter) == "e1"
    leader.clock.advance(1.0)
    return leader


class TestAdapterInUse:
    """An adapter that requests still use keeps its slot after its unload is accepted.

    Guards against loads beyond the adapter slots, which crash the model server.
    """

    async def test_load_does_not_take_the_slot_of_an_accepted_unload(self, leader):
        engine = leader.engine
        engine.in_use |= {("m1", "a1"), ("m1", "a2")}
        assert await leader.load("a3") == ""
        assert not engine.overloaded
        assert engine.unloading == {("m1", "a1"), ("m1", "a2")}

    async def test_another_adapter_is_evicted_at_once(self, leader):
        leader.engine.in_use.add(("m1", "a1"))
        assert await leader.load("a3") == "e1"
        assert not leader.engine.overloaded
        assert leader.engine.models["m1"] == {"a1", "a3"}

    async def test_slot_is_free_once_no_request_uses_the_adapter(self, leader):
        engine = leader.engine
        engine.in_use |= {("m1", "a1"), ("m1", "a2")}
        await leader.load("a3")
        engine.end_use("m1", "a1")
        await leader.settle()
        assert await leader.load("a3") == "e1"
        assert not engine.overloaded
        assert engine.models["m1"] == {"a2", "a3"}

    async def test_no_report_is_fetched_while_requests_are_known_to_use_it(
        self, leader
    ):
        leader.engine.in_use |= {("m1", "a1"), ("m1", "a2")}
        await leader.load("a3")
        for adapter in ("a1", "a2"):
            leader.loads.begin("e1", size(adapter=adapter))
        leader.engine.report = None
        await leader.settle()

    async def test_adapter_being_unloaded_is_not_loaded_on_the_same_server(
        self, leader
    ):
        engine = leader.engine
        engine.in_use |= {("m1", "a1"), ("m1", "a2")}
        await leader.load("a3")
        sent = len(engine.sent)
        assert await leader.load("a1") == ""
        assert len(engine.sent) == sent

    async def test_requests_are_kept_away_before_the_unload_is_sent(self, leader):
        sent = len(leader.engine.sent)
        leader.notices.clear()
        await leader.load("a3")
        assert leader.notices[0] == (sent, ("a2",))

    async def test_failed_unload_announces_the_adapter_again(self, leader):
        leader.engine.reachable = False
        assert await leader.load("a3") == ""
        assert sorted(leader.notices[-1][1]) == ["a1", "a2"]


class TestUnknownUnloads:
    """An answer that the adapter is unloaded already doesn't free its slot."""

    async def test_unload_whose_first_answer_was_lost_keeps_the_slot(self, leader):
        engine = leader.engine
        engine.in_use |= {("m1", "a1"), ("m1", "a2")}
        send, lost = engine.send, []

        async def lose_first_answer(record, order):
            outcome = await send(record, order)
            if order.kind is UNLOAD and not lost:
                lost.append(order)
                raise OutcomeUnknown("no answer")
            return outcome

        engine.send = lose_first_answer
        assert await leader.load("a3") == ""
        assert lost
        assert leader.ledger.unloading_adapters == [("m1", "a1"), ("m1", "a2")]
        assert not engine.overloaded

    async def test_unload_that_an_earlier_leader_ordered_keeps_the_slot(self, leader):
        engine = leader.engine
        engine.in_use |= {("m1", "a1"), ("m1", "a2")}
        await leader.load("a3")
        successor = Leader(engine)
        await successor.settle()
        assert await successor.load("a4") == ""
        assert not engine.overloaded
        assert ("m1", "a1") in successor.ledger.unloading_adapters

    async def test_adapter_that_was_still_being_loaded_is_offered_again(self, leader):
        engine = leader.engine
        engine.in_use.add(("m1", "a1"))
        engine.unloading.add(("m1", "a1"))  # Answers 200 and counts no order.
        await leader.load("a3")
        engine.unloading.clear()
        await leader.settle()
        assert leader.ledger.unloading_adapters == []
        assert "a1" in leader.ledger.offered_adapters("m1")


class TestOutdatedRecord:
    """A record from before a model was loaded doesn't show the end of its unload.

    Guards against loads into memory that the model still uses.
    """

    def ledger(self):
        ledger = BackendLedger(backend("e1", models=("m1",)), ENGINE)
        ledger.accepted(Order(LOAD, "m2", "", 0, "front-1", 1), now=1.0)
        ledger.loading = None  # A report showed the end of the load.
        ledger.models.add("m2")
        ledger.accepted(Order(UNLOAD, "m2", "", 1, "front-1", 1), now=2.0)
        return ledger

    def test_unload_does_not_end_by_a_record_that_never_showed_the_model(self):
        ledger = self.ledger()
        ledger.sync(backend("e1", models=("m1",), report_number=2))
        assert ledger.unloading == "m2"
        assert not ledger.fits_model("m3")

    def test_unload_ends_by_a_record_after_one_that_showed_the_model(self):
        ledger = self.ledger()
        ledger.sync(backend("e1", models=("m1", "m2"), report_number=2))
        ledger.sync(backend("e1", models=("m1",), report_number=3))
        assert ledger.unloading is None
        assert ledger.fits_model("m3")

    def test_load_does_not_end_by_a_record_from_before_an_unload(self):
        ledger = BackendLedger(backend("e1", models=("m1", "m2")), ENGINE)
        ledger.models.discard("m2")  # A report showed the end of its unload.
        ledger.accepted(Order(LOAD, "m2", "", 1, "front-1", 1), now=2.0)
        ledger.sync(backend("e1", models=("m1", "m2"), report_number=2))
        assert ledger.loading == "m2"
