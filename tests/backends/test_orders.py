"""Tests of orders that are lost, delayed or duplicated on the way to an engine."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes_backends import FakeBackends, FakeEngine, fleet
from fakes_platform import FakeTable
from guavajunction.backends import (
    BackendUnreachable,
    Ledger,
    LedgerRefused,
    LedgerUnsettled,
    MemoryCommitted,
    OrderLacksMemory,
    OrderManager,
    OrderPending,
    OrderStale,
)
from guavajunction.clock import ManualClock
from guavajunction.errors import (
    LeaseLost,
    OrderRefused,
    StaleFence,
    StoreUnavailable,
)


class World:
    """One engine of 100 MiB, a table, and order managers of successive leaders."""

    def __init__(self, **engine: bool) -> None:
        self.engine = FakeEngine(100, **engine)
        self.client = FakeBackends({"e": self.engine})
        self.table = FakeTable()
        self.clock = ManualClock()
        self.without_lease: set[OrderManager] = set()
        self.cfg = fleet(self.client.engines, [])

    async def new_leader(self) -> OrderManager:
        manager: OrderManager

        def check() -> None:
            if manager in self.without_lease:
                raise LeaseLost("lapsed")

        manager = OrderManager(
            self.client, self.table, lambda: self.cfg, check, self.clock
        )
        await manager.take_over(["e"])
        return manager

    async def load(self, manager: OrderManager, artifact: str, mib: int = 60) -> None:
        await manager.load("e", artifact, mib)

    async def settled_ledger(self, manager: OrderManager) -> Ledger:
        self.client.step()
        await manager.settle()
        await manager.settle()
        ledger = manager.ledger("e")
        assert ledger is not None
        return ledger


class TestLostOrders:
    """Load orders that are lost or whose response is lost."""

    async def test_unanswered_load_is_counted_until_a_report_shows_it(self):
        world = World()
        manager = await world.new_leader()
        world.client.order_outcomes = ["late", "lose"]
        await world.load(manager, "a@1")
        with pytest.raises(MemoryCommitted):
            await world.load(manager, "b@1")
        world.client.deliver_order()
        ledger = await world.settled_ledger(manager)
        assert [r.artifact for r in ledger.residents] == ["a@1"]
        assert ledger.intents == []
        assert ledger.committed_mib() == 60

    async def test_unanswered_load_is_not_counted_once_it_cannot_arrive(self):
        world = World()
        manager = await world.new_leader()
        world.client.order_outcomes = ["lose"]
        await world.load(manager, "a@1")
        world.clock.advance(Ledger.ARRIVAL_BOUND_SECONDS - 0.1)
        with pytest.raises(MemoryCommitted):
            await world.load(manager, "b@1")
        world.clock.advance(0.1)
        await world.load(manager, "b@1")
        assert list(world.engine.memory) == ["b@1"]

    async def test_acknowledged_but_lost_load_is_sent_again(self):
        world = World()
        manager = await world.new_leader()
        world.client.order_outcomes = ["late_ack"]
        await world.load(manager, "a@1")
        world.client.undelivered.clear()
        world.clock.advance(Ledger.REPEAT_SECONDS)
        ledger = await world.settled_ledger(manager)
        assert ledger.resident("a@1") is not None
        assert len({order.order_id for _, order in world.client.orders}) == 1

    async def test_refused_copy_leaves_late_copy_counted(self):
        world = World(checks_memory=True)
        world.engine.add_ready("x@1", 70)
        manager = await world.new_leader()
        world.client.frozen["e"] = FakeEngine(100).report()
        world.client.order_outcomes = ["late"]
        await world.load(manager, "a@1")
        await manager.settle()
        with pytest.raises(MemoryCommitted):
            await world.load(manager, "b@1")

    async def test_memory_refusal_closes_the_only_copy(self):
        world = World(checks_memory=True)
        manager = await world.new_leader()
        world.client.frozen["e"] = world.engine.report()
        world.engine.add_ready("x@1", 70)
        with pytest.raises(OrderLacksMemory):
            await world.load(manager, "a@1")
        ledger = manager.ledger("e")
        assert ledger is not None
        assert ledger.intents == []

    async def test_unreachable_engine_gets_no_intent(self):
        world = World()
        manager = await world.new_leader()
        world.client.down.add("e")
        with pytest.raises(BackendUnreachable):
            await world.load(manager, "a@1")
        assert world.table.rows == {}


class TestUnload:
    """Memory after the order to unload an artifact."""

    async def test_memory_is_freed_only_by_a_report_without_the_artifact(self):
        world = World()
        manager = await world.new_leader()
        world.engine.add_ready("a@1", 60)
        await manager.unload("e", "a@1")
        with pytest.raises(MemoryCommitted):
            await world.load(manager, "b@1")
        world.engine.step()
        await world.load(manager, "b@1")
        assert world.engine.peak <= 100

    async def test_late_unload_blocks_a_reload(self):
        world = World()
        manager = await world.new_leader()
        world.engine.add_ready("a@1", 60)
        world.client.order_outcomes = ["late"]
        await manager.unload("e", "a@1")
        world.engine.restart()
        world.engine.seq = 10
        with pytest.raises(OrderPending):
            await world.load(manager, "a@1")

    async def test_unload_is_not_sent_when_the_replica_is_needed(self):
        world = World()
        manager = await world.new_leader()
        world.engine.add_ready("a@1", 60)
        assert not await manager.unload("e", "a@1", lambda: False)
        assert world.client.orders == []
        assert await manager.unload("e", "a@1", lambda: True)


class TestTakeover:
    """Successive leaders."""

    async def test_later_leader_inherits_open_intents(self):
        world = World()
        first = await world.new_leader()
        world.client.order_outcomes = ["late"]
        await world.load(first, "a@1")
        second = await world.new_leader()
        with pytest.raises(MemoryCommitted):
            await world.load(second, "b@1")
        world.client.deliver_order()
        assert world.engine.peak <= 100

    async def test_earlier_leader_fails_on_its_next_write(self):
        world = World()
        first = await world.new_leader()
        second = await world.new_leader()
        await world.load(second, "a@1", 10)
        with pytest.raises(StaleFence):
            await world.load(first, "b@1", 10)
        assert [order.artifact for _, order in world.client.orders] == ["a@1"]

    async def test_no_order_is_sent_if_the_lease_is_lost_during_the_write(self):
        world = World()
        manager = await world.new_leader()
        put = world.table.put

        async def lose_lease(*args: object, **kwargs: object) -> object:
            world.without_lease.add(manager)
            return await put(*args, **kwargs)  # type: ignore[arg-type]

        world.table.put = lose_lease  # type: ignore[method-assign]
        with pytest.raises(LeaseLost):
            await world.load(manager, "a@1")
        assert world.client.orders == []

    async def test_higher_fence_blocks_orders_of_the_earlier_leader(self):
        world = World(checks_fence=True)
        first = await world.new_leader()
        world.client.order_outcomes = ["late"]
        await world.load(first, "a@1", 40)
        second = await world.new_leader()
        await world.load(second, "b@1", 40)
        ledger = await world.settled_ledger(second)
        assert ledger.intents == []
        world.client.deliver_order()
        assert list(world.engine.memory) == ["b@1"]

    async def test_stale_fence_is_raised_above_the_fence_of_the_engine(self):
        world = World(checks_fence=True)
        manager = await world.new_leader()
        world.client.frozen["e"] = world.engine.report()
        world.engine.last_fence = 9
        with pytest.raises(OrderStale):
            await world.load(manager, "a@1")
        world.client.frozen.clear()
        await world.load(manager, "a@1")
        assert list(world.engine.memory) == ["a@1"]
        assert world.engine.last_fence > 9


class TestLedgerRow:
    """Failures of the table service and reports in the wrong order."""

    async def test_write_with_a_lost_response_is_recognised(self):
        world = World()
        manager = await world.new_leader()
        world.table.lose_answers = 1
        await world.load(manager, "a@1")
        assert list(world.engine.memory) == ["a@1"]

    async def test_no_order_is_sent_if_the_write_was_lost(self):
        world = World()
        manager = await world.new_leader()
        world.table.lose_requests = 1
        with pytest.raises(LedgerUnsettled):
            await world.load(manager, "a@1")
        assert world.client.orders == []
        await manager.take_over(["e"])
        await world.load(manager, "a@1")
        assert list(world.engine.memory) == ["a@1"]

    async def test_intent_that_was_never_sent_is_dropped_after_an_outage(self):
        world = World()
        manager = await world.new_leader()
        world.table.lose_answers = 1
        get = world.table.get

        async def fail(*args: str) -> None:
            raise StoreUnavailable("down")

        world.table.get = fail  # type: ignore[method-assign]
        with pytest.raises(LedgerUnsettled):
            await world.load(manager, "a@1")
        world.table.get = get  # type: ignore[method-assign]
        await manager.take_over(["e"])
        await world.load(manager, "b@1")
        assert list(world.engine.memory) == ["b@1"]

    async def test_engine_with_an_unreadable_row_gets_no_orders(self):
        world = World()
        await world.table.put("ledger", "e", b"?", expected=0)
        manager = await world.new_leader()
        with pytest.raises(LedgerUnsettled):
            await world.load(manager, "a@1")

    async def test_older_report_frees_no_memory(self):
        world = World()
        manager = await world.new_leader()
        before = world.engine.report()
        await world.load(manager, "a@1")
        await world.settled_ledger(manager)
        world.client.frozen["e"] = before
        with pytest.raises(LedgerRefused):
            await world.load(manager, "b@1")

    async def test_engine_restart_is_detected(self):
        world = World()
        manager = await world.new_leader()
        await world.load(manager, "a@1")
        await world.settled_ledger(manager)
        world.engine.restart()
        with pytest.raises(LedgerRefused):
            await world.load(manager, "a@1")
        world.clock.advance(Ledger.RESTART_SECONDS)
        await world.load(manager, "a@1")
        assert list(world.engine.memory) == ["a@1"]

    async def test_role_order_has_the_fence_of_the_ledger_row(self):
        world = World()
        manager = await world.new_leader()
        await manager.change_role("e", "prefill")
        assert world.engine.role == "prefill"
        assert world.engine.last_fence == 1
        assert ("ledger", "e") in world.table.rows


class TestRandomFaults:
    """Random faults, several leaders and an engine that ignores fencing numbers."""

    OUTCOMES = ("ok", "lose", "lose_answer", "late", "late_ack", "double")

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32))
    async def test_memory_is_never_overcommitted(self, seed: int):
        rng = random.Random(seed)
        world = World()
        managers = [await world.new_leader()]
        for _ in range(80):
            await self._act(world, managers, rng)
            assert world.engine.peak <= world.engine.capacity

    async def _act(
        self, world: World, managers: list[OrderManager], rng: random.Random
    ) -> None:
        world.client.order_outcomes = [rng.choice(self.OUTCOMES) for _ in range(3)]
        action = rng.randrange(8)
        manager = rng.choice(managers[-2:])
        artifact = rng.choice(["a@1", "b@1", "c@1"])
        try:
            if action <= 1:
                await manager.load("e", artifact, rng.choice([30, 45, 60]))
            elif action == 2:
                await manager.unload("e", artifact)
            elif action == 3:
                await manager.settle()
            elif action == 4 and world.client.undelivered:
                world.client.deliver_order(rng.randrange(len(world.client.undelivered)))
            elif action == 5:
                world.engine.step()
            elif action == 6:
                managers.append(await world.new_leader())
            else:
                world.clock.advance(rng.choice([0.5, 4.0]))
        except (LedgerRefused, LedgerUnsettled, OrderRefused, StaleFence):
            await manager.take_over(["e"])
