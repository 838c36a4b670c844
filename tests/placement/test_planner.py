"""Planning rounds on a pool that finishes all moves between two rounds."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes_pool import FakePool
from guavajunction.backends import BackendState
from guavajunction.placement import Budget, Deployment, name_of
from guavajunction.placement._fleet_demand import NameDemand
from guavajunction.placement._need_estimate import NeedEstimate


def model(artifact: str, mib: int = 40, min_replicas: int = 1) -> Deployment:
    return Deployment(artifact, mib, min_replicas)


def adapter(artifact: str, base: str, mib: int = 1) -> Deployment:
    return Deployment(artifact, mib, base=base)


class TestReachability:
    """Every deployed model keeps its minimum of replicas."""

    def test_models_without_replica_come_first(self):
        pool = FakePool([model("a@1", 10, 2), model("b@1", 10)], Budget(1, 0))
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100)
        pool.need = {"a": 50.0}
        assert [load.artifact for load in pool.begin().loads] == ["b@1"]

    def test_urgent_model_is_loaded_before_others(self):
        pool = FakePool([model(f"{x}@1", 10) for x in "abc"], Budget(1, 0))
        pool.add("e1", 100)
        pool.urgent = frozenset({"c@1"})
        assert [load.artifact for load in pool.begin().loads] == ["c@1"]

    def test_models_of_a_failed_engine_are_loaded_elsewhere(self):
        pool = FakePool([model("a@1"), model("b@1")])
        pool.add("e1", 100, "a@1", "b@1")
        pool.add("e2", 100)
        pool.unusable = {"e1"}
        plan = pool.begin()
        assert {(m.artifact, m.server) for m in plan.loads} == {
            ("a@1", "e2"),
            ("b@1", "e2"),
        }
        assert plan.unloads == ()

    def test_single_replicas_are_relocated_before_a_large_model_loads(self):
        pool = FakePool([model("a@1"), model("b@1"), model("big@1", 90)])
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100, "b@1")
        first = pool.begin()
        assert [load.reason for load in first.loads] == ["relocation"]
        assert first.unloads == ()
        pool.end()
        pool.rounds(3)
        assert pool.ready("big@1")
        assert pool.ready("a@1")
        assert pool.ready("b@1")

    def test_missing_memory_is_reported(self):
        pool = FakePool([model("a@1"), model("big@1", 200)])
        pool.add("e1", 100, "a@1")
        plan = pool.begin()
        assert [(s.artifact, s.reason) for s in plan.shortages] == [
            ("big@1", "no_room")
        ]

    def test_memory_being_freed_is_not_freed_twice(self):
        pool = FakePool([model("a@1", 60), model("b@1", 60)])
        for name in ("e1", "e2", "e3"):
            pool.add(name, 100, "a@1")
        assert len(pool.begin().unloads) == 1
        assert pool.begin().unloads == ()

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32))
    def test_last_replica_is_never_removed(self, seed: int):
        rng = random.Random(seed)
        pool = _random_pool(rng)
        names = {d.name for d in pool.deployments.values()}
        for _ in range(12):
            before = {name: _most_ready_replicas(pool, name) for name in names}
            pool.begin()
            for name in names:
                least = max(d.min_replicas for d in _deployments_of(pool, name))
                assert _most_ready_replicas(pool, name) >= min(before[name], least)
            if rng.random() < 0.7:
                pool.end()
            _change_at_random(pool, rng)


def _random_pool(rng: random.Random) -> FakePool:
    bases = [
        model(f"m{i}@1", rng.choice([20, 40, 60]), rng.choice([1, 1, 2]))
        for i in range(rng.randint(2, 6))
    ]
    adapters = [adapter(f"x{i}@1", rng.choice(bases).artifact, 5) for i in range(3)]
    pool = FakePool(bases + adapters, Budget(rng.randint(1, 4), 10))
    for i in range(rng.randint(2, 5)):
        pool.add(f"e{i}", rng.choice([100, 150]))
        for deployment in rng.sample(bases, rng.randint(0, len(bases))):
            if pool.free(f"e{i}") >= deployment.mib:
                holding = pool._holding(deployment.artifact)
                pool.servers[f"e{i}"].holdings[deployment.artifact] = holding
    return pool


def _change_at_random(pool: FakePool, rng: random.Random) -> None:
    pool.need = {d.name: rng.choice([0, 0, 3, 20]) for d in pool.deployments.values()}
    if rng.random() < 0.2:
        base = rng.choice([a for a, d in pool.deployments.items() if d.base is None])
        name, _, version = base.partition("@")
        pool.deploy(base, f"{name}@{int(version) + 1}")


def _deployments_of(pool: FakePool, name: str) -> list[Deployment]:
    return [d for d in pool.deployments.values() if d.name == name]


def _most_ready_replicas(pool: FakePool, name: str) -> int:
    """Return the largest number of ready replicas of one version of a name."""
    held = {a for s in pool.servers.values() for a in s.holdings if name_of(a) == name}
    deployed = {d.artifact for d in _deployments_of(pool, name)}
    return max((len(pool.ready(a)) for a in held | deployed), default=0)


class TestSettling:
    """Pools filled to three fifths, with two version changes, reach a stable state."""

    @pytest.mark.parametrize("seed", range(10))
    def test_everything_is_loaded_and_then_nothing_moves(self, seed: int):
        rng = random.Random(seed)
        pool = _filled_pool(rng, servers=rng.randint(3, 6), fill=0.6)
        pool.rounds(15)
        changed = rng.sample([a for a, d in pool.deployments.items() if not d.base], 2)
        for artifact in changed:
            pool.deploy(artifact, artifact.replace("@1", "@2"))
        pool.rounds(15)
        assert all(pool.ready(artifact) for artifact in pool.deployments)
        moves = pool.moves
        pool.rounds(5)
        assert pool.moves == moves


def _filled_pool(rng: random.Random, servers: int, fill: float) -> FakePool:
    bases: list[Deployment] = []
    while sum(d.mib for d in bases) < servers * 100 * fill:
        bases.append(model(f"m{len(bases)}@1", rng.choice([15, 20, 25, 35, 45])))
    adapters = [adapter(f"x{i}@1", rng.choice(bases).artifact) for i in range(6)]
    pool = FakePool(bases + adapters, Budget(3, 10))
    for i in range(servers):
        pool.add(f"e{i}", 100)
    mean = servers * pool.servers["e0"].slots * 0.6 / len(bases)
    pool.need = {d.name: rng.random() * 2 * mean for d in bases}
    return pool


class TestVersionChange:
    """A new version takes over before the old one is removed."""

    def test_old_version_stays_until_the_new_one_is_ready(self):
        pool = FakePool([model("a@1", 40, 2)])
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100, "a@1")
        pool.deploy("a@1", "a@2")
        first = pool.begin()
        assert [load.artifact for load in first.loads] == ["a@2", "a@2"]
        assert first.unloads == ()
        pool.end()
        assert {u.artifact for u in pool.begin().unloads} == {"a@1"}

    def test_all_replicas_of_the_old_version_stay_until_the_switch(self):
        pool = FakePool([model("a@1")], Budget(0, 0))
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100, "a@1")
        pool.deploy("a@1", "a@2")
        assert pool.begin().unloads == ()

    def test_other_model_is_relocated_when_both_versions_do_not_fit(self):
        pool = FakePool([model("a@1", 60), model("b@1", 30)])
        pool.add("e1", 100, "a@1", "b@1")
        pool.add("e2", 50)
        pool.deploy("a@1", "a@2")
        pool.servers["e1"].holdings["b@1"] = pool._holding("b@1")
        pool.servers["e1"] = pool.servers["e1"]._replace(capacity=125)
        pool.rounds(4)
        assert pool.ready("a@2") == {"e1"}
        assert pool.ready("b@1") == {"e2"}
        assert not pool.ready("a@1")

    def test_removed_model_is_unloaded(self):
        pool = FakePool([model("a@1"), model("b@1")])
        pool.add("e1", 100, "a@1", "b@1")
        del pool.deployments["b@1"]
        assert [u.artifact for u in pool.begin().unloads] == ["b@1"]


class TestAdapters:
    """Adapters are loaded where their base model is ready."""

    def test_loaded_only_where_the_base_is_ready(self):
        pool = FakePool([model("a@1"), adapter("x@1", "a@1")])
        pool.add("e1", 100)
        pool.add("e2", 100, "a@1")
        loads = pool.begin().loads
        assert [(m.artifact, m.server, m.base) for m in loads] == [("x@1", "e2", "a@1")]

    def test_adapter_that_waits_for_its_base_does_not_lack_memory(self):
        pool = FakePool([model("a@1"), adapter("x@1", "a@1")])
        pool.add("e1", 100)
        shortages = pool.begin().shortages
        assert [(s.artifact, s.reason) for s in shortages] == [
            ("x@1", "base_not_ready")
        ]

    def test_base_is_removed_only_after_its_adapters_are_loaded_elsewhere(self):
        pool = FakePool([model("a@1", 60), adapter("x@1", "a@1"), model("b@1", 60)])
        pool.add("e1", 100, "a@1", "x@1")
        pool.add("e2", 100, "a@1")
        was_unserved = False
        for plan in pool.rounds(6):
            was_unserved = was_unserved or not pool.ready("x@1")
            for unload in plan.unloads:
                assert unload.artifact != "a@1" or len(pool.ready("x@1")) > 0
        assert not was_unserved
        assert pool.ready("b@1")

    def test_adapters_follow_a_new_version_of_the_base(self):
        pool = FakePool([model("a@1"), adapter("x@1", "a@1")])
        pool.add("e1", 50, "a@1", "x@1")
        pool.add("e2", 50)
        pool.deploy("a@1", "a@2")
        for _ in range(5):
            pool.begin()
            assert pool.ready("x@1")
            pool.end()
        assert pool.ready("a@2") == pool.ready("x@1") == {"e2"}

    def test_base_versions_sharing_an_engine_need_another_replica(self):
        pool = FakePool([model("a@1"), adapter("x@1", "a@1")])
        pool.add("e1", 100, "a@1", "x@1")
        pool.add("e2", 100)
        pool.deploy("a@1", "a@2")
        pool.servers["e1"].holdings["a@2"] = pool._holding("a@2")
        for _ in range(6):
            pool.begin()
            assert pool.ready("x@1")
            pool.end()
        assert not pool.ready("a@1")
        assert pool.ready("x@1") == {"e2"}

    def test_new_version_is_loaded_on_an_engine_without_the_old_one(self):
        pool = FakePool([model("a@1"), model("b@1")])
        pool.add("e1", 200, "a@1")
        pool.add("e2", 100, "b@1")
        pool.deploy("a@1", "a@2")
        assert [load.server for load in pool.begin().loads] == ["e2"]

    def test_budget_limits_adapter_loads(self):
        adapters = [adapter(f"x{i}@1", "a@1") for i in range(9)]
        pool = FakePool([model("a@1"), *adapters], Budget(5, 4))
        pool.add("e1", 100, "a@1")
        assert len(pool.begin().loads) == 4


class TestDemand:
    """Replicas are added where they meet most demand, and are not moved needlessly."""

    def test_replicas_are_added_in_free_memory(self):
        pool = FakePool([model("a@1"), model("b@1")])
        for name in ("e1", "e2", "e3"):
            pool.add(name, 100)
        pool.rounds(1)
        pool.need = {"a": 18.0}
        plan = pool.begin()
        assert {load.reason for load in plan.loads} == {"demand"}
        assert plan.loads[0].candidates

    def test_displaces_an_idle_surplus_replica(self):
        pool = FakePool([model("a@1", 60), model("b@1", 60)])
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100, "b@1")
        pool.add("e3", 100, "b@1")
        pool.need = {"a": 12.0}
        pool.rounds(2)
        assert len(pool.ready("a@1")) == 2
        assert len(pool.ready("b@1")) == 1

    def test_equal_demand_moves_nothing(self):
        pool = FakePool([model("a@1", 60), model("b@1", 60)])
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100, "b@1")
        pool.add("e3", 100, "b@1")
        pool.need = {"a": 7.5, "b": 12.5}
        pool.rounds(5)
        assert pool.moves == 0

    def test_new_replica_is_not_displaced(self):
        pool = FakePool([model("a@1", 60), model("b@1", 60)])
        pool.add("e1", 100, "a@1")
        for name in ("e2", "e3"):
            pool.add(name, 100, "b@1")
            holding = pool.servers[name].holdings["b@1"]
            pool.servers[name].holdings["b@1"] = holding._replace(age=5.0)
        pool.need = {"a": 12.0}
        assert pool.begin().unloads == ()

    def test_busy_replica_is_not_displaced_for_a_small_gain(self):
        pool = FakePool([model("a@1", 60), model("b@1", 60)])
        pool.add("e1", 100, "a@1")
        pool.add("e2", 100, "b@1")
        pool.add("e3", 100, "b@1")
        pool.need = {"a": 9.2, "b": 9.0}
        pool.rounds(3)
        assert pool.moves == 0
        pool.need = {"a": 12.5, "b": 6.0}
        pool.rounds(3)
        assert len(pool.ready("a@1")) == 2


class TestNeedEstimate:
    """The estimated busy slots for a demand."""

    def test_rises_at_once_and_falls_slowly(self):
        estimate = NeedEstimate()
        rate = estimate.slot_tokens_per_s
        assert estimate.update({"a": NameDemand(10 * rate, 0)}, 0.0) == {"a": 10.0}
        later = estimate.update({"a": NameDemand(rate, 0)}, estimate.HALF_LIFE_SECONDS)
        assert later["a"] == 5.0
        assert estimate.update({}, 1e5) == {}

    def test_slot_rate_is_learned_only_while_no_request_waits(self):
        estimate = NeedEstimate()
        state = BackendState("e", 0.0, 10, 0, 8, (), 0, False, True, 1)
        estimate.learn({"a": NameDemand(200.0, 5)}, [state])
        assert estimate.slot_tokens_per_s == estimate.INITIAL_SLOT_TOKENS_PER_S
        for _ in range(200):
            estimate.learn({"a": NameDemand(200.0, 0)}, [state])
        assert round(estimate.slot_tokens_per_s) == 20
