"""Tests of the planner for models and adapters under typical demand."""

from __future__ import annotations

import pytest

from fakes_gateway import ENGINE, backend, model_spec
from guavajunction.gateway import Demand, Load
from guavajunction.swapping import (
    BackendLedger,
    EngineReport,
    Holding,
    LoadRateLimiter,
    PlannerInput,
    choose_placement,
    plan,
    replicas_needed,
)

NAMES = [f"m{n}" for n in range(1, 9)]
SLOTS = 32
SPEC = ENGINE._replace(
    slots=SLOTS,
    memory_mb=102.0,
    adapter_mb={"m1": 1.0},
    models={name: model_spec(name) for name in NAMES},
)
NOW = 100.0


def holding(name, *models, running=None, free_in=0.0, local_weights=(), version="v1"):
    return Holding(
        name=name,
        resident=dict.fromkeys(models, 0.0),
        weights_mb=40.0 * len(models),
        in_memory=frozenset(models) | frozenset(local_weights),
        on_disk=frozenset(models) | frozenset(local_weights),
        running=running or {},
        free_in=free_in,
        software_version=version,
    )


def planned(
    holdings, demand, *, store_loads=10, rare=0, requested_before=(), resumes=None
):
    return plan(
        PlannerInput(SPEC, holdings, demand, set(requested_before), NOW, resumes or {}),
        store_loads=store_loads,
        rare_store_loads=rare,
    )


class TestResumedStreams:
    """A resumed stream gets its model on a backend server of its own version."""

    def test_model_is_loaded_on_the_version_that_streams_wait_for(self):
        holdings = [holding("e1"), holding("e2", version="v2"), holding("e3")]
        move = planned(holdings, {}, resumes={"v2": {"m5": 1}})
        assert (move.backend, move.model) == ("e2", "m5")

    def test_replica_of_another_version_does_not_serve_them(self):
        holdings = [holding("e1", "m5"), holding("e2", version="v2")]
        move = planned(holdings, {}, resumes={"v2": {"m5": 1}})
        assert (move.backend, move.model) == ("e2", "m5")

    def test_no_move_is_planned_if_their_version_has_the_model(self):
        holdings = [holding("e1"), holding("e2", "m5", version="v2")]
        resumes = {"v2": {"m5": 1}}
        assert planned(holdings, {}, store_loads=1, resumes=resumes) is None

    def test_model_that_they_wait_for_is_not_evicted(self):
        holdings = [holding("e1", "m1", "m2", version="v2")]
        demand = {"m3": Demand(5.0, 9)}
        resumes = {"v2": {"m1": 1, "m2": 1}}
        assert planned(holdings, demand).model == "m3"
        assert planned(holdings, demand, resumes=resumes) is None


class TestRareModels:
    """A requested model without a replica is loaded."""

    def test_surplus_replica_is_evicted_first(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m1", "m3")]
        demand = {"m1": Demand(2.0, 0), "m2": Demand(0.3, 0), "m4": Demand(0.3, 1)}
        move = planned(holdings, demand, requested_before=["m1", "m2", "m4"])
        assert (move.model, move.evict) == ("m4", ("m3",)) or move.evict == ("m1",)

    def test_only_replica_of_a_busy_model_is_never_evicted(self):
        holdings = [holding("e1", "m1", "m2")]
        demand = {"m1": Demand(6.0, 0), "m2": Demand(5.0, 0), "m3": Demand(0.3, 1)}
        assert planned(holdings, demand) is None

    def test_model_with_queued_requests_is_never_evicted(self):
        holdings = [holding("e1", "m1", "m2")]
        demand = {"m1": Demand(0.0, 3), "m2": Demand(0.0, 3), "m3": Demand(0.3, 1)}
        assert planned(holdings, demand) is None

    def test_backend_server_with_local_weights_is_preferred(self):
        holdings = [holding("e1", "m1"), holding("e2", "m2", local_weights=["m3"])]
        move = planned(holdings, {"m3": Demand(0.3, 1)})
        assert (move.backend, move.from_store) == ("e2", False)

    def test_busy_backend_server_with_the_weights_is_waited_for(self):
        holdings = [
            holding("e1", "m1"),
            holding("e2", "m2", local_weights=["m3"], free_in=1),
        ]
        assert planned(holdings, {"m3": Demand(0.3, 1)}, store_loads=0) is None

    def test_new_replica_stays_for_a_minimum_time(self):
        fresh = holding("e1", "m1", "m2")._replace(
            resident={"m1": NOW - 0.5, "m2": NOW - 0.5}
        )
        assert planned([fresh], {"m3": Demand(0.3, 1)}) is None

    def test_loads_of_rare_models_from_the_store_are_limited(self):
        holdings = [holding(f"e{n}", "m1") for n in range(4)]
        rare, busy = {"m3": Demand(0.3, 1)}, {"m3": Demand(4.0, 1)}
        move = planned(holdings, rare, rare=1, store_loads=3)
        assert move is None
        assert planned(holdings, busy, rare=1, store_loads=3).model == "m3"

    def test_load_rate_limit_applies_only_to_loads_from_the_store(self):
        demand = {"m3": Demand(4.0, 1), "m4": Demand(0.3, 1)}
        holdings = [holding("e1", "m1", local_weights=["m4"])]
        assert planned(holdings, demand, store_loads=0).model == "m4"


class TestDemandShift:
    """The number of replicas follows demand."""

    @pytest.mark.parametrize(
        ("rate", "waiting", "replicas"),
        [(0.0, 0, 0), (0.01, 0, 0), (0.0, 1, 1), (8.0, 0, 1), (8.1, 0, 2), (30, 0, 4)],
    )
    def test_replicas_needed_for_a_rate(self, rate, waiting, replicas):
        assert replicas_needed(Demand(rate, waiting), SLOTS) == replicas

    def test_engines_with_few_slots_get_more_replicas(self):
        # Nine replicas of 16 slots serve 34 requests a second of two seconds each at
        # half of their capacity; five would be full.
        assert replicas_needed(Demand(34.0, 0), 16) == 9

    def test_model_with_growing_demand_replaces_one_without_requests(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m3", "m4")]
        demand = {"m1": Demand(16.0, 0), "m3": Demand(0.2, 0)}
        move = planned(holdings, demand, requested_before=["m1", "m3", "m4"])
        assert (move.backend, move.model, move.evict) == ("e2", "m1", ("m4",))

    def test_weights_are_prefetched_without_demand(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m1", "m3")]
        move = planned(holdings, {})
        assert move.evict == ("m1",)
        assert move.from_store

    def test_prefetch_never_evicts_a_requested_model(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m1", "m3")]
        demand = {name: Demand(5.0, 0) for name in ("m1", "m2", "m3")}
        assert planned(holdings, demand) is None

    def test_replayed_shift_settles(self):
        """Under constant demand the planner stops moving models."""
        holdings = {"e1": {"m1", "m2"}, "e2": {"m3", "m4"}, "e3": {"m1", "m5"}}
        local_weights = {name: set(NAMES) for name in holdings}
        demand = {"m6": Demand(9.0, 0), "m7": Demand(3.0, 0), "m1": Demand(2.0, 0)}
        moves = 0
        for _ in range(40):
            views = [
                holding(name, *sorted(models), local_weights=local_weights[name])
                for name, models in holdings.items()
            ]
            move = planned(views, demand, requested_before=NAMES)
            if move is None:
                break
            moves += 1
            holdings[move.backend] -= set(move.evict)
            holdings[move.backend].add(move.model)
        held = [model for models in holdings.values() for model in models]
        assert moves <= 6
        assert held.count("m6") == 2
        assert {"m1", "m7"} <= set(held)


class TestLoadRateLimiter:
    """The rate limit of the weight store holds in every window."""

    def test_no_window_has_more_than_the_rate(self):
        limiter, begun = LoadRateLimiter(5.0), []
        for step in range(400):
            now = step * 0.1
            while limiter.remaining(2.2, now):
                limiter.record(now)
                begun.append(now)
        for start in begun:
            assert len([t for t in begun if start <= t < start + 5.0]) <= 11

    def test_new_leader_continues_the_count_of_the_previous_one(self):
        before, after = LoadRateLimiter(5.0), LoadRateLimiter(5.0)
        for second in (1.0, 3.0, 4.0):
            before.record(second)
        after.restore(before.ages(4.5), now=104.5)
        assert after.remaining(1.0, 104.5) == before.remaining(1.0, 4.5) == 2
        assert after.remaining(1.0, 106.1) == 3


class TestAdapterDemand:
    """Adapters are loaded into free slots, or replace the least requested adapter."""

    def _ledger(self, name, adapters):
        ledger = BackendLedger(backend(name, models=["m1"]), ENGINE)
        ledger.resync(EngineReport(1, {"m1": frozenset(adapters)}, busy=False))
        return ledger

    def test_free_slot_on_the_least_loaded_backend_server_is_chosen(self):
        ledgers = [self._ledger("e1", []), self._ledger("e2", [])]
        loads = {"e1": Load(5, 0), "e2": Load(1, 0)}
        placement = choose_placement(ledgers, loads, "m1", {}, NOW)
        assert (placement.ledger.record.name, placement.evict) == ("e2", None)

    def test_least_requested_adapter_is_evicted(self):
        ledgers = [self._ledger("e1", ["a1", "a2"])]
        demand = {"m1/a1": Demand(2.0, 0), "m1/a2": Demand(0.1, 0)}
        placement = choose_placement(ledgers, {"e1": Load(0, 0)}, "m1", demand, NOW)
        assert placement.evict == ("m1", "a2")

    def test_adapter_in_use_is_not_evicted(self):
        ledgers = [self._ledger("e1", ["a1", "a2"])]
        loads = {"e1": Load(2, 0, {"m1/a1": 1, "m1/a2": 1})}
        assert choose_placement(ledgers, loads, "m1", {}, NOW) is None
