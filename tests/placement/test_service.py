"""Tests of planners while instances and engines fail and orders are lost."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from typing import NamedTuple

from fakes_backends import FakeBackends, FakeEngine, FakeMembers, fleet
from fakes_links import FakeNetwork
from fakes_platform import FakeTable
from guavajunction.backends import Inventory, Retirement
from guavajunction.clock import ManualClock
from guavajunction.configuration import Adapter, Model
from guavajunction.membership import Lease
from guavajunction.placement import PlacementService, _events, name_of
from guavajunction.settings import PlacementSettings


class Rate(NamedTuple):
    """Demand for one artifact."""

    requests_per_s: float
    tokens_per_s: float
    waiting: int = 0


class Node:
    """One instance with its inventory, placement service and demand."""

    def __init__(self, world: World, name: str) -> None:
        self.links = world.network.join(name)
        self.in_flight: Counter[tuple[str, str]] = Counter()
        self.rates: dict[str, Rate] = {}
        self.table = world.table.client()
        self.retirement = Retirement(
            self.links, lambda *key: self.in_flight[key], world.clock
        )
        self.inventory = Inventory(
            world.client,
            self.links,
            world.members,
            lambda: world.cfg,
            self.retirement,
            world.clock,
        )
        self.placement = PlacementService(
            self.inventory,
            self.retirement,
            world.client,
            self.table,
            self.links,
            world.members,
            lambda lease: Lease(
                self.table,
                lease,
                self.links.me,
                world.clock,
                duration=6.0,
                drift_margin=1.0,
            ),
            lambda: world.cfg,
            self,
            world.settings,
            world.clock,
        )
        self.tasks: list[asyncio.Task[None]] = []

    def demand(self) -> dict[str, Rate]:
        return self.rates

    def start(self) -> None:
        runs = (self.inventory.run(), self.placement.run())
        self.tasks = [asyncio.ensure_future(run) for run in runs]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class World:
    """Two instances and three engines of 100 MiB that ignore fencing numbers."""

    def __init__(self, models: list[Model], adapters: list[Adapter] | None = None):
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.table = FakeTable()
        self.engines = {f"e{i}": FakeEngine(100) for i in (1, 2, 3)}
        self.client = FakeBackends(self.engines)
        self.cfg = fleet(self.engines, models, adapters)
        self.settings = PlacementSettings(loads_per_second=100.0)
        self.members = FakeMembers(None)
        self.nodes = [Node(self, name) for name in ("i1", "i2")]
        self.members.chosen = self.nodes[0].links.me
        self.unreachable: Counter[str] = Counter()
        """Number of steps, by name, without a ready replica of a name that had one."""
        self._reachable: set[str] = set()

    async def __aenter__(self) -> World:
        self._stack = AsyncExitStack()
        for node in self.nodes:
            node.start()
            self._stack.push_async_callback(node.stop)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def run(self, seconds: float) -> None:
        """Advance the clock in steps of 0.25 s; engines finish their moves at each."""
        for _ in range(int(seconds / 0.25)):
            self.clock.advance(0.25)
            for _ in range(30):
                await asyncio.sleep(0)
            self.network.send_heartbeats()
            self.client.step()
            self._watch()

    def _watch(self) -> None:
        now = {
            name_of(r.artifact)
            for engine in self.engines.values()
            for r in engine.memory.values()
            if r.state == "ready"
        }
        self.unreachable.update(self._reachable - now)
        self._reachable |= now

    def held(self) -> dict[str, set[str]]:
        return {name: set(engine.memory) for name, engine in self.engines.items()}

    def copies(self, artifact: str) -> int:
        return sum(artifact in engine.memory for engine in self.engines.values())

    def assert_memory_kept(self) -> None:
        assert all(engine.peak <= engine.capacity for engine in self.engines.values())

    def change(self, **fields: object) -> None:
        self.cfg = self.cfg._replace(version=self.cfg.version + 1, **fields)


def models(*artifacts: str, mib: int = 40) -> list[Model]:
    return [Model(*artifact.split("@"), "pool", mib) for artifact in artifacts]


class TestPlanning:
    """Plans and orders of one planner."""

    async def test_places_models_then_adapters(self):
        async with World(models("a@1", "b@1"), [Adapter("x", "1", "a", 5)]) as world:
            await world.run(6)
            assert [world.copies(f"{n}@1") for n in "abx"] == [1, 1, 1]
            assert any({"a@1", "x@1"} <= held for held in world.held().values())

    async def test_nothing_is_planned_twice_while_reports_lag(self):
        async with World(models("a@1", "b@1")) as world:
            await world.run(0.25)
            for node in world.nodes:
                node.inventory.start_reads = lambda: None
            await world.run(4)
            assert sum(world.copies(f"{n}@1") for n in "ab") == 2
            plan = await world.nodes[0].placement._terms["pool"].run_round()
            assert plan is not None
            assert plan.loads == ()

    async def test_persistent_shortage_is_logged_once(self, monkeypatch):
        logged: list[str] = []
        monkeypatch.setattr(
            _events.NO_MEMORY, "log", lambda **fields: logged.append(fields["artifact"])
        )
        async with World(models("big@1", mib=10_000)) as world:
            await world.run(20)
        assert logged == ["big@1"]

    async def test_lost_orders_are_repeated_within_the_memory(self):
        async with World(models("a@1", "b@1", "c@1", "d@1", mib=60)[:3]) as world:
            world.client.order_outcomes = [
                "late",
                "lose",
                "late_ack",
                "double",
                "lose_answer",
            ]
            await world.run(30)
            while world.client.undelivered:
                world.client.deliver_order()
            await world.run(5)
            assert all(world.copies(f"{n}@1") >= 1 for n in "abc")
            world.assert_memory_kept()

    async def test_version_change_drains_the_old_one(self):
        async with World(models("a@1")) as world:
            await world.run(5)
            [old] = [name for name, held in world.held().items() if "a@1" in held]
            world.nodes[1].in_flight[old, "a@1"] = 1
            world.change(models={"a": models("a@2")[0]})
            await world.run(10)
            assert world.copies("a@2") == 1
            assert "a@1" in world.engines[old].memory
            assert world.nodes[1].inventory.ready("a@1") == []
            world.nodes[1].in_flight.clear()
            await world.run(5)
            assert world.copies("a@1") == 0
            assert not world.unreachable

    async def test_demand_of_peers_adds_replicas(self):
        async with World(models("a@1")) as world:
            world.nodes[1].rates = {"a@1": Rate(10.0, 700.0)}
            await world.run(8)
            assert world.copies("a@1") == 3

    async def test_budget_limits_the_loads(self):
        world = World(models(*(f"m{i}@1" for i in range(12)), mib=20))
        world.settings = PlacementSettings(loads_per_second=0.5)
        async with world:
            for node in world.nodes:
                node.placement._settings = world.settings
            await world.run(10)
            assert 3 <= len(world.client.orders) <= 6

    async def test_requested_artifact_is_loaded_before_the_others(self):
        names = [f"m{i}@1" for i in range(9)]
        world = World(models(*names, mib=20))
        for node in world.nodes:
            node.placement._settings = PlacementSettings(loads_per_second=0.5)
        async with world:
            await world.run(2)
            world.nodes[1].placement.request_artifact("m8@1")
            sent = len(world.client.orders)
            await world.run(3)
            assert world.client.orders[sent][1].artifact == "m8@1"


class TestFailures:
    """Engines and planners that fail."""

    async def test_models_of_a_failed_engine_are_loaded_elsewhere(self):
        async with World(models("a@1", "b@1")) as world:
            await world.run(5)
            [lost] = [name for name, held in world.held().items() if "a@1" in held]
            world.client.down.add(lost)
            world.engines[lost].restart()
            await world.run(6)
            assert world.copies("a@1") == 1

    async def test_models_of_a_leaving_engine_are_loaded_elsewhere_first(self):
        async with World(models("a@1")) as world:
            await world.run(5)
            [old] = [name for name, held in world.held().items() if "a@1" in held]
            world.engines[old].leaving = True
            await world.run(5)
            others = [n for n, h in world.held().items() if n != old and "a@1" in h]
            assert len(others) == 1
            assert "a@1" in world.engines[old].memory

    async def test_second_planner_inherits_the_orders_of_a_stopped_one(self):
        async with World(models("a@1", "b@1", mib=60)) as world:
            world.client.order_outcomes = ["late", "late"]
            await world.run(1.5)
            assert len(world.client.undelivered) == 2
            await world.nodes[0].stop()
            world.network.leave(world.nodes[0].links.me)
            world.members.chosen = world.nodes[1].links.me
            await world.run(12)
            while world.client.undelivered:
                world.client.deliver_order()
            await world.run(5)
            assert min(world.copies("a@1"), world.copies("b@1")) >= 1
            world.assert_memory_kept()

    async def test_second_planner_finishes_the_removal_of_a_stopped_one(self):
        async with World(models("a@1")) as world:
            await world.run(5)
            world.client.order_outcomes = ["ok", *["lose"] * 50]
            world.change(models={"a": models("a@2")[0]})
            await world.run(3)
            assert world.copies("a@1") == 1
            assert world.client.orders[-1][1].action == "unload"
            world.client.order_outcomes = []
            await world.nodes[0].stop()
            world.network.leave(world.nodes[0].links.me)
            world.members.chosen = world.nodes[1].links.me
            await world.run(14)
            assert world.copies("a@1") == 0
            assert not world.unreachable

    async def test_planner_without_the_store_stops_sending_orders(self):
        async with World(models("a@1")) as world:
            await world.run(5)
            world.nodes[0].table.down = True
            await world.run(7)
            sent = len(world.client.orders)
            world.change(models={m.name: m for m in models("a@1", "b@1")})
            await world.run(8)
            assert len(world.client.orders) == sent
            world.members.chosen = world.nodes[1].links.me
            await world.run(12)
            assert world.copies("b@1") == 1

    async def test_draining_replica_is_kept_if_the_other_engines_fail(self):
        async with World(models("a@1", "big@1")[:1]) as world:
            for name in ("e1", "e2", "e3"):
                world.engines[name].add_ready("a@1", 40)
            await world.run(3)
            for node in world.nodes:
                node.in_flight.update({(n, "a@1"): 1 for n in world.engines})
            big = models("big@1", mib=90)[0]
            world.change(models=world.cfg.models | {"big": big})
            await world.run(2)
            [draining] = world.nodes[0].retirement.marks()
            world.client.down |= world.engines.keys() - {draining[0]}
            await world.run(4)
            for node in world.nodes:
                node.in_flight.clear()
            await world.run(4)
            assert "a@1" in world.engines[draining[0]].memory
            assert all(order.action == "load" for _, order in world.client.orders)
