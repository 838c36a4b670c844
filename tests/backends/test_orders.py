"""Orders to engines that lose, delay and double them."""

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
    """One engine of 100 MiB, a table, and the desks of authors in succession."""

    def __init__(self, **engine: bool) -> None:
        self.engine = FakeEngine(100, **engine)
        self.client = FakeBackends({"e": self.engine})
        self.table = FakeTable()
        self.clock = ManualClock()
        self.lapsed: set[OrderManager] = set()
        self.cfg = fleet(self.client.engines, [])

    async def author(self) -> OrderManager:
        desk: OrderManager

        def check() -> None:
            if desk in self.lapsed:
                raise LeaseLost("lapsed")

        desk = OrderManager(
            self.client, self.table, lambda: self.cfg, check, self.clock
        )
        await desk.take_over(["e"])
        return desk

    async def load(self, desk: OrderManager, artifact: str, mib: int = 60) -> None:
        await desk.load("e", artifact, mib)

    async def settled(self, desk: OrderManager) -> Ledger:
        self.client.step()
        await desk.settle()
        await desk.settle()
        ledger = desk.ledger("e")
        assert ledger is not None
        return ledger


class TestLostOrders:
    """Loads whose answer, or themselves, are lost."""

    async def test_unanswered_load_is_counted_until_seen(self):
        world = World()
        desk = await world.author()
        world.client.order_outcomes = ["late", "lose"]
        await world.load(desk, "a@1")
        with pytest.raises(MemoryCommitted):
            await world.load(desk, "b@1")
        world.client.deliver_order()
        ledger = await world.settled(desk)
        assert [r.artifact for r in ledger.residents] == ["a@1"]
        assert ledger.intents == []
        assert ledger.committed_mib() == 60

    async def test_unanswered_load_frees_once_it_cannot_arrive(self):
        world = World()
        desk = await world.author()
        world.client.order_outcomes = ["lose"]
        await world.load(desk, "a@1")
        world.clock.advance(Ledger.ARRIVAL_BOUND_SECONDS - 0.1)
        with pytest.raises(MemoryCommitted):
            await world.load(desk, "b@1")
        world.clock.advance(0.1)
        await world.load(desk, "b@1")
        assert list(world.engine.memory) == ["b@1"]

    async def test_acknowledged_but_lost_load_is_sent_again(self):
        world = World()
        desk = await world.author()
        world.client.order_outcomes = ["late_ack"]
        await world.load(desk, "a@1")
        world.client.undelivered.clear()
        world.clock.advance(Ledger.REPEAT_SECONDS)
        ledger = await world.settled(desk)
        assert ledger.resident("a@1") is not None
        assert len({order.order_id for _, order in world.client.orders}) == 1

    async def test_refused_copy_leaves_late_copy_counted(self):
        world = World(checks_memory=True)
        world.engine.hold("x@1", 70)
        desk = await world.author()
        world.client.frozen["e"] = FakeEngine(100).report()
        world.client.order_outcomes = ["late"]
        await world.load(desk, "a@1")
        await desk.settle()
        with pytest.raises(MemoryCommitted):
            await world.load(desk, "b@1")

    async def test_memory_refusal_closes_the_only_copy(self):
        world = World(checks_memory=True)
        desk = await world.author()
        world.client.frozen["e"] = world.engine.report()
        world.engine.hold("x@1", 70)
        with pytest.raises(OrderLacksMemory):
            await world.load(desk, "a@1")
        ledger = desk.ledger("e")
        assert ledger is not None
        assert ledger.intents == []

    async def test_unreachable_engine_gets_no_intent(self):
        world = World()
        desk = await world.author()
        world.client.down.add("e")
        with pytest.raises(BackendUnreachable):
            await world.load(desk, "a@1")
        assert world.table.rows == {}


class TestUnload:
    """Memory after an unload was ordered."""

    async def test_frees_only_on_a_report_without_the_artifact(self):
        world = World()
        desk = await world.author()
        world.engine.hold("a@1", 60)
        await desk.unload("e", "a@1")
        with pytest.raises(MemoryCommitted):
            await world.load(desk, "b@1")
        world.engine.step()
        await world.load(desk, "b@1")
        assert world.engine.peak <= 100

    async def test_late_unload_blocks_a_reload(self):
        world = World()
        desk = await world.author()
        world.engine.hold("a@1", 60)
        world.client.order_outcomes = ["late"]
        await desk.unload("e", "a@1")
        world.engine.restart()
        world.engine.seq = 10
        with pytest.raises(OrderPending):
            await world.load(desk, "a@1")

    async def test_not_sent_when_replica_is_needed_after_all(self):
        world = World()
        desk = await world.author()
        world.engine.hold("a@1", 60)
        assert not await desk.unload("e", "a@1", lambda: False)
        assert world.client.orders == []
        assert await desk.unload("e", "a@1", lambda: True)


class TestTakeover:
    """Authors in succession."""

    async def test_inherits_open_intents(self):
        world = World()
        first = await world.author()
        world.client.order_outcomes = ["late"]
        await world.load(first, "a@1")
        second = await world.author()
        with pytest.raises(MemoryCommitted):
            await world.load(second, "b@1")
        world.client.deliver_order()
        assert world.engine.peak <= 100

    async def test_earlier_author_fails_on_its_next_write(self):
        world = World()
        first = await world.author()
        second = await world.author()
        await world.load(second, "a@1", 10)
        with pytest.raises(StaleFence):
            await world.load(first, "b@1", 10)
        assert [order.artifact for _, order in world.client.orders] == ["a@1"]

    async def test_lease_lost_during_the_write_sends_nothing(self):
        world = World()
        desk = await world.author()
        put = world.table.put

        async def lapse(*args: object, **kwargs: object) -> object:
            world.lapsed.add(desk)
            return await put(*args, **kwargs)  # type: ignore[arg-type]

        world.table.put = lapse  # type: ignore[method-assign]
        with pytest.raises(LeaseLost):
            await world.load(desk, "a@1")
        assert world.client.orders == []

    async def test_fence_rises_and_shuts_out_the_earlier_author(self):
        world = World(checks_fence=True)
        first = await world.author()
        world.client.order_outcomes = ["late"]
        await world.load(first, "a@1", 40)
        second = await world.author()
        await world.load(second, "b@1", 40)
        ledger = await world.settled(second)
        assert ledger.intents == []
        world.client.deliver_order()
        assert list(world.engine.memory) == ["b@1"]

    async def test_stale_fence_is_raised_above_the_engine_s(self):
        world = World(checks_fence=True)
        desk = await world.author()
        world.client.frozen["e"] = world.engine.report()
        world.engine.last_fence = 9
        with pytest.raises(OrderStale):
            await world.load(desk, "a@1")
        world.client.frozen.clear()
        await world.load(desk, "a@1")
        assert list(world.engine.memory) == ["a@1"]
        assert world.engine.last_fence > 9


class TestLedgerRow:
    """Faults of the table service and of the reports."""

    async def test_lost_answer_is_recognised(self):
        world = World()
        desk = await world.author()
        world.table.lose_answers = 1
        await world.load(desk, "a@1")
        assert list(world.engine.memory) == ["a@1"]

    async def test_lost_request_sends_nothing(self):
        world = World()
        desk = await world.author()
        world.table.lose_requests = 1
        with pytest.raises(LedgerUnsettled):
            await world.load(desk, "a@1")
        assert world.client.orders == []
        await desk.take_over(["e"])
        await world.load(desk, "a@1")
        assert list(world.engine.memory) == ["a@1"]

    async def test_intent_that_was_never_sent_is_dropped_after_an_outage(self):
        world = World()
        desk = await world.author()
        world.table.lose_answers = 1
        get = world.table.get

        async def fail(*args: str) -> None:
            raise StoreUnavailable("down")

        world.table.get = fail  # type: ignore[method-assign]
        with pytest.raises(LedgerUnsettled):
            await world.load(desk, "a@1")
        world.table.get = get  # type: ignore[method-assign]
        await desk.take_over(["e"])
        await world.load(desk, "b@1")
        assert list(world.engine.memory) == ["b@1"]

    async def test_unreadable_row_gets_no_orders(self):
        world = World()
        await world.table.put("ledger", "e", b"?", expected=0)
        desk = await world.author()
        with pytest.raises(LedgerUnsettled):
            await world.load(desk, "a@1")

    async def test_crossed_report_frees_nothing(self):
        world = World()
        desk = await world.author()
        before = world.engine.report()
        await world.load(desk, "a@1")
        await world.settled(desk)
        world.client.frozen["e"] = before
        with pytest.raises(LedgerRefused):
            await world.load(desk, "b@1")

    async def test_engine_restart_is_noticed(self):
        world = World()
        desk = await world.author()
        await world.load(desk, "a@1")
        await world.settled(desk)
        world.engine.restart()
        with pytest.raises(LedgerRefused):
            await world.load(desk, "a@1")
        world.clock.advance(Ledger.RESTART_SECONDS)
        await world.load(desk, "a@1")
        assert list(world.engine.memory) == ["a@1"]

    async def test_role_order_carries_a_written_fence(self):
        world = World()
        desk = await world.author()
        await desk.change_role("e", "prefill")
        assert world.engine.role == "prefill"
        assert world.engine.last_fence == 1
        assert ("ledger", "e") in world.table.rows


class TestRandomFaults:
    """Two authors, an engine that ignores fencing, and all faults at once."""

    FATES = ("ok", "lose", "lose_answer", "late", "late_ack", "double")

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32))
    async def test_memory_is_never_overcommitted(self, seed: int):
        rng = random.Random(seed)
        world = World()
        desks = [await world.author()]
        for _ in range(80):
            await self._act(world, desks, rng)
            assert world.engine.peak <= world.engine.capacity

    async def _act(
        self, world: World, desks: list[OrderManager], rng: random.Random
    ) -> None:
        world.client.order_outcomes = [rng.choice(self.FATES) for _ in range(3)]
        action = rng.randrange(8)
        desk = rng.choice(desks[-2:])
        artifact = rng.choice(["a@1", "b@1", "c@1"])
        try:
            if action <= 1:
                await desk.load("e", artifact, rng.choice([30, 45, 60]))
            elif action == 2:
                await desk.unload("e", artifact)
            elif action == 3:
                await desk.settle()
            elif action == 4 and world.client.undelivered:
                world.client.deliver_order(rng.randrange(len(world.client.undelivered)))
            elif action == 5:
                world.engine.step()
            elif action == 6:
                desks.append(await world.author())
            else:
                world.clock.advance(rng.choice([0.5, 4.0]))
        except (LedgerRefused, LedgerUnsettled, OrderRefused, StaleFence):
            await desk.take_over(["e"])
