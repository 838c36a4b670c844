"""Tests of orders that are lost, late or refused."""

from __future__ import annotations

import random

import pytest

from fakes_clock import QuickClock
from fakes_gateway import ENGINE, backend
from fakes_orders import FakeEngine
from guavajunction.errors import LeaseLost, OrderRefused
from guavajunction.swapping import (
    BackendLedger,
    EngineReport,
    Order,
    OrderKind,
    OrderManager,
)

LOAD, UNLOAD = OrderKind.LOAD, OrderKind.UNLOAD


def manager_for(engine, *, fence=lambda: 1, models=("m1",)):
    clock = QuickClock()
    manager = OrderManager(engine, "front-1", fence, clock)
    record = backend("e1", models=models)
    manager.sync({"e1": (record, ENGINE)})
    return manager, manager.ledgers()[0]


def show(manager, engine):
    """Update the ledger with a record that shows the engine's models."""
    record = backend("e1", models=sorted(engine.models), report_number=9)
    manager.sync({"e1": (record, ENGINE)})


class TestOrders:
    """Each order is applied only to the state that it was planned for."""

    async def test_accepted_load_counts_before_the_record_shows_it(self):
        engine = FakeEngine()
        manager, ledger = manager_for(engine)
        await manager.order(ledger, LOAD, "m2")
        assert ledger.busy
        assert ledger.used_mb() == 80.0
        engine.end_order()
        show(manager, engine)
        assert not ledger.busy
        assert ledger.models == {"m1", "m2"}

    async def test_load_without_free_memory_is_never_sent(self):
        engine = FakeEngine(("m1", "m2"))
        manager, ledger = manager_for(engine, models=("m1", "m2"))
        with pytest.raises(OrderRefused, match="no free capacity"):
            await manager.order(ledger, LOAD, "m3")
        assert engine.orders == 0

    async def test_late_record_frees_no_memory(self):
        engine = FakeEngine(("m1", "m2"))
        manager, ledger = manager_for(engine, models=("m1", "m2"))
        await manager.refresh(ledger)
        # The record is outdated, from before m2 was loaded: the store was unavailable.
        manager.sync({"e1": (backend("e1", models=["m1"], report_number=2), ENGINE)})
        assert ledger.used_mb() == 80.0

    async def test_order_of_the_previous_leader_is_waited_for(self):
        engine = FakeEngine()
        engine.busy = (LOAD, "m2")
        manager, ledger = manager_for(engine)
        await manager.refresh_unknown()
        assert ledger.busy
        engine.end_order()
        await manager.refresh_unknown()
        assert not ledger.busy
        assert ledger.models == {"m1", "m2"}

    async def test_stale_fence_ends_the_term(self):
        engine = FakeEngine()
        engine.fence = 5
        manager, ledger = manager_for(engine)
        with pytest.raises(LeaseLost):
            await manager.order(ledger, LOAD, "m2")

    async def test_unreachable_backend_server_gets_no_orders_for_a_while(self):
        engine = FakeEngine()
        manager, ledger = manager_for(engine)
        await manager.refresh(ledger)
        engine.reachable = False
        with pytest.raises(OrderRefused):
            await manager.order(ledger, LOAD, "m2")
        assert ledger.unreachable_until > 0

    async def test_lost_lease_sends_nothing(self):
        def fence():
            raise LeaseLost("expired")

        engine = FakeEngine()
        manager, ledger = manager_for(engine, fence=fence)
        with pytest.raises(LeaseLost):
            await manager.order(ledger, LOAD, "m2")
        assert engine.orders == 0


class TestRestart:
    """An order that was planned before a restart is not sent after it."""

    async def test_adapter_is_not_loaded_without_its_model(self):
        engine = FakeEngine(())
        manager, ledger = manager_for(engine)
        with pytest.raises(OrderRefused, match="no longer has"):
            await manager.order(ledger, LOAD, "m1", "a1")
        assert (engine.orders, engine.models) == (0, {})

    async def test_adapter_of_a_missing_model_is_unloaded_already(self):
        engine = FakeEngine(())
        manager, ledger = manager_for(engine)
        await manager.order(ledger, UNLOAD, "m1", "a1")
        assert (engine.orders, engine.models) == (0, {})

    async def test_ledger_of_an_earlier_incarnation_gets_no_orders(self):
        engine = FakeEngine(())
        manager, ledger = manager_for(engine)
        manager.sync({"e1": (backend("e1", incarnation=2), ENGINE)})
        with pytest.raises(OrderRefused, match="restarted"):
            await manager.order(ledger, LOAD, "m2")
        assert engine.orders == 0


class TestLateOrders:
    """Unanswered orders that are applied at any later time."""

    STEPS = 300

    @pytest.mark.parametrize("seed", range(40))
    async def test_memory_and_adapter_slots_are_never_exceeded(self, seed):
        rng = random.Random(seed)
        engine = FakeEngine(("m1",), seed=seed, unanswered=0.4)
        manager, ledger = manager_for(engine)
        for _ in range(self.STEPS):
            await self._step(rng, engine, manager, ledger)
        assert not engine.overloaded
        assert engine.orders > 10

    @pytest.mark.parametrize("seed", range(40))
    async def test_accepted_unloads_of_adapters_in_use_free_no_slot(self, seed):
        rng = random.Random(seed)
        engine = FakeEngine(("m1",), seed=seed, unanswered=0.4)
        manager, ledger = manager_for(engine)
        for _ in range(self.STEPS):
            await self._step(rng, engine, manager, ledger)
            held = [(m, a) for m, names in engine.models.items() for a in names]
            if held and rng.random() < 0.4:
                engine.in_use.add(rng.choice(sorted(held)))
            if engine.in_use and rng.random() < 0.3:
                engine.end_use(*rng.choice(sorted(engine.in_use)))
                await manager.settle_unloads(ledger)
        assert not engine.overloaded
        assert engine.orders > 10

    @pytest.mark.parametrize("seed", range(40))
    async def test_ledger_made_anew_from_an_old_record_exceeds_nothing(self, seed):
        """Guards against orders of a ledger that was dropped in an evacuation."""
        rng = random.Random(seed)
        engine = FakeEngine(("m1",), seed=seed, unanswered=0.4)
        manager, ledger = manager_for(engine)
        record = ledger.record
        for number in range(self.STEPS):
            await self._step(rng, engine, manager, ledger)
            if number % 20 == 0:
                record = backend("e1", models=tuple(engine.models))
            if rng.random() < 0.1:
                dropped = ledger
                manager.sync({})
                manager.sync({"e1": (record, ENGINE)})
                ledger = manager.ledgers()[0]
                with pytest.raises(OrderRefused):
                    await manager.order(dropped, LOAD, "m3")
        assert not engine.overloaded
        assert engine.orders > 10

    async def _step(self, rng, engine, manager, ledger):
        model = rng.choice(["m1", "m2", "m3"])
        step = rng.randrange(6)
        try:
            if step == 0:
                engine.apply_late_orders()
            elif step == 1:
                engine.end_order()
                show(manager, engine)
            elif step == 2 and not ledger.busy:
                kind = UNLOAD if model in ledger.models else LOAD
                await manager.order(ledger, kind, model)
            elif step == 3 and model in ledger.models and not ledger.busy:
                await self._adapter(rng, manager, ledger, model)
            elif step == 4:
                await manager.refresh_unknown()
        except OrderRefused:
            pass

    async def _adapter(self, rng, manager, ledger, model):
        adapter = f"a{rng.randrange(4)}"
        if adapter in ledger.adapters.get(model, ()):
            await manager.order(ledger, UNLOAD, model, adapter)
        elif ledger.fits_adapter(model):
            ledger.reserve(model, adapter)
            try:
                await manager.order(ledger, LOAD, model, adapter)
            finally:
                ledger.unreserve(model, adapter)

    async def test_memory_is_exceeded_without_the_expected_order_number(self):
        """Shows that the test above detects a missing check of the order number."""
        overloaded = 0
        for seed in range(40):
            engine = FakeEngine(("m1",), seed=seed, unanswered=0.4)
            engine._apply = lambda order, engine=engine, apply=engine._apply: apply(
                order._replace(expected_orders=engine.orders)
            )
            manager, ledger = manager_for(engine)
            rng = random.Random(seed)
            for _ in range(self.STEPS):
                await self._step(rng, engine, manager, ledger)
            overloaded += bool(engine.overloaded)
        assert overloaded


class TestAdapterSlots:
    """Adapter slots while several adapters are requested at once."""

    def test_reserved_slot_is_not_free(self):
        ledger = BackendLedger(backend("e1", models=["m1"]), ENGINE)
        ledger.reserve("m1", "a1")
        ledger.reserve("m1", "a2")
        assert not ledger.fits_adapter("m1")
        ledger.unreserve("m1", "a2")
        assert ledger.fits_adapter("m1")

    def test_reservation_is_void_after_a_report_that_fills_the_slots(self):
        ledger = BackendLedger(backend("e1", models=["m1"]), ENGINE)
        ledger.reserve("m1", "a1")
        ledger.resync(EngineReport(7, {"m1": frozenset({"a3", "a4"})}, busy=False))
        order = Order(LOAD, "m1", "a1", 7, "front-1", 1)
        assert not ledger.has_capacity(order)

    def test_adapter_that_is_being_loaded_is_not_evicted(self):
        ledger = BackendLedger(backend("e1", models=["m1"]), ENGINE)
        ledger.accepted(Order(LOAD, "m1", "a1", 0, "front-1", 1), now=10.0)
        assert not ledger.evictable(10.1)
        assert ledger.evictable(11.0) == [("m1", "a1")]

    def test_unload_of_a_model_removes_its_adapters(self):
        ledger = BackendLedger(backend("e1", models=["m1"]), ENGINE)
        ledger.accepted(Order(LOAD, "m1", "a1", 0, "front-1", 1), now=10.0)
        ledger.accepted(Order(UNLOAD, "m1", "", 1, "front-1", 1), now=11.0)
        ledger.sync(backend("e1", models=[], report_number=2))
        assert ledger.adapter_count == 0
