"""Replays of the demand that placement answers."""

from __future__ import annotations

import pytest

from fakes_gateway import ENGINE, backend, model_spec
from guavajunction.gateway import Demand, Load
from guavajunction.swapping import (
    BackendLedger,
    EngineReport,
    Holding,
    LoadRateLimiter,
    Situation,
    choose_placement,
    plan,
    replicas_needed,
)

NAMES = [f"m{n}" for n in range(1, 9)]
SPEC = ENGINE._replace(
    memory_mb=102.0,
    adapter_mb={"m1": 1.0},
    models={name: model_spec(name) for name in NAMES},
)
NOW = 100.0


def holding(name, *models, running=None, free_in=0.0, at_hand=()):
    return Holding(
        name=name,
        resident=dict.fromkeys(models, 0.0),
        weights_mb=40.0 * len(models),
        in_memory=frozenset(models) | frozenset(at_hand),
        on_disk=frozenset(models) | frozenset(at_hand),
        running=running or {},
        free_in=free_in,
    )


def planned(holdings, demand, *, store_loads=10, rare=0, asked=()):
    return plan(
        Situation(SPEC, holdings, demand, set(asked), NOW),
        store_loads=store_loads,
        rare_store_loads=rare,
    )


class TestRareModels:
    """A model that nobody holds is loaded when it is asked for."""

    def test_surplus_copy_makes_room_first(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m1", "m3")]
        demand = {"m1": Demand(2.0, 0), "m2": Demand(0.3, 0), "m4": Demand(0.3, 1)}
        move = planned(holdings, demand, asked=["m1", "m2", "m4"])
        assert (move.model, move.evict) == ("m4", ("m3",)) or move.evict == ("m1",)

    def test_only_copy_of_a_busy_model_is_never_evicted(self):
        holdings = [holding("e1", "m1", "m2")]
        demand = {"m1": Demand(6.0, 0), "m2": Demand(5.0, 0), "m3": Demand(0.3, 1)}
        assert planned(holdings, demand) is None

    def test_model_that_requests_wait_for_is_never_evicted(self):
        holdings = [holding("e1", "m1", "m2")]
        demand = {"m1": Demand(0.0, 3), "m2": Demand(0.0, 3), "m3": Demand(0.3, 1)}
        assert planned(holdings, demand) is None

    def test_weights_at_hand_are_preferred(self):
        holdings = [holding("e1", "m1"), holding("e2", "m2", at_hand=["m3"])]
        move = planned(holdings, {"m3": Demand(0.3, 1)})
        assert (move.backend, move.from_store) == ("e2", False)

    def test_busy_backend_server_with_the_weights_is_waited_for(self):
        holdings = [holding("e1", "m1"), holding("e2", "m2", at_hand=["m3"], free_in=1)]
        assert planned(holdings, {"m3": Demand(0.3, 1)}, store_loads=0) is None

    def test_new_copy_stays_until_its_group_is_served(self):
        fresh = holding("e1", "m1", "m2")._replace(
            resident={"m1": NOW - 0.5, "m2": NOW - 0.5}
        )
        assert planned([fresh], {"m3": Demand(0.3, 1)}) is None

    def test_rare_models_leave_most_backend_servers_to_busy_ones(self):
        holdings = [holding(f"e{n}", "m1") for n in range(4)]
        rare, busy = {"m3": Demand(0.3, 1)}, {"m3": Demand(4.0, 1)}
        move = planned(holdings, rare, rare=1, store_loads=3)
        assert move is None
        assert planned(holdings, busy, rare=1, store_loads=3).model == "m3"

    def test_spent_ceiling_stops_only_loads_from_the_store(self):
        demand = {"m3": Demand(4.0, 1), "m4": Demand(0.3, 1)}
        holdings = [holding("e1", "m1", at_hand=["m4"])]
        assert planned(holdings, demand, store_loads=0).model == "m4"


class TestDemandShift:
    """Copies follow demand."""

    @pytest.mark.parametrize(
        ("rate", "waiting", "copies"),
        [(0.0, 0, 0), (0.01, 0, 0), (0.0, 1, 1), (8.0, 0, 1), (8.1, 0, 2), (30, 0, 4)],
    )
    def test_copies_that_a_rate_is_worth(self, rate, waiting, copies):
        assert replicas_needed(Demand(rate, waiting)) == copies

    def test_grown_model_replaces_one_that_fell_silent(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m3", "m4")]
        demand = {"m1": Demand(16.0, 0), "m3": Demand(0.2, 0)}
        move = planned(holdings, demand, asked=["m1", "m3", "m4"])
        assert (move.backend, move.model, move.evict) == ("e2", "m1", ("m4",))

    def test_weights_are_fetched_while_nobody_asks(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m1", "m3")]
        move = planned(holdings, {})
        assert move.evict == ("m1",)
        assert move.from_store

    def test_weights_are_not_fetched_in_place_of_what_is_asked_for(self):
        holdings = [holding("e1", "m1", "m2"), holding("e2", "m1", "m3")]
        demand = {name: Demand(5.0, 0) for name in ("m1", "m2", "m3")}
        assert planned(holdings, demand) is None

    def test_replayed_shift_settles(self):
        """Demand that stands still must bring moves to an end."""
        holdings = {"e1": {"m1", "m2"}, "e2": {"m3", "m4"}, "e3": {"m1", "m5"}}
        at_hand = {name: set(NAMES) for name in holdings}
        demand = {"m6": Demand(9.0, 0), "m7": Demand(3.0, 0), "m1": Demand(2.0, 0)}
        moves = 0
        for _ in range(40):
            views = [
                holding(name, *sorted(models), at_hand=at_hand[name])
                for name, models in holdings.items()
            ]
            move = planned(views, demand, asked=NAMES)
            if move is None:
                break
            moves += 1
            holdings[move.backend] -= set(move.evict)
            holdings[move.backend].add(move.model)
        held = [model for models in holdings.values() for model in models]
        assert moves <= 6
        assert held.count("m6") == 2
        assert {"m1", "m7"} <= set(held)


class TestLoadCeiling:
    """The weight store's rate holds in every window."""

    def test_no_window_has_more_than_the_rate(self):
        ceiling, begun = LoadRateLimiter(5.0), []
        for step in range(400):
            now = step * 0.1
            while ceiling.remaining(2.2, now):
                ceiling.record(now)
                begun.append(now)
        for start in begun:
            assert len([t for t in begun if start <= t < start + 5.0]) <= 11

    def test_successor_goes_on_with_the_count_of_the_author_before(self):
        before, after = LoadRateLimiter(5.0), LoadRateLimiter(5.0)
        for second in (1.0, 3.0, 4.0):
            before.record(second)
        after.restore(before.ages(4.5), now=104.5)
        assert after.remaining(1.0, 104.5) == before.remaining(1.0, 4.5) == 2
        assert after.remaining(1.0, 106.1) == 3


class TestAdapterDemand:
    """Adapters are placed where there is room, and make room where nobody asks."""

    def _ledger(self, name, adapters):
        ledger = BackendLedger(backend(name, models=["m1"]), ENGINE)
        ledger.resync(EngineReport(1, {"m1": frozenset(adapters)}, busy=False))
        return ledger

    def test_free_place_on_the_least_loaded_backend_server(self):
        ledgers = [self._ledger("e1", []), self._ledger("e2", [])]
        loads = {"e1": Load(5, 0), "e2": Load(1, 0)}
        place = choose_placement(ledgers, loads, "m1", {}, NOW)
        assert (place.ledger.record.name, place.evict) == ("e2", None)

    def test_adapter_asked_for_least_makes_room(self):
        ledgers = [self._ledger("e1", ["a1", "a2"])]
        demand = {"m1/a1": Demand(2.0, 0), "m1/a2": Demand(0.1, 0)}
        place = choose_placement(ledgers, {"e1": Load(0, 0)}, "m1", demand, NOW)
        assert place.evict == ("m1", "a2")

    def test_adapter_in_use_is_left_alone(self):
        ledgers = [self._ledger("e1", ["a1", "a2"])]
        loads = {"e1": Load(2, 0, {"m1/a1": 1, "m1/a2": 1})}
        assert choose_placement(ledgers, loads, "m1", {}, NOW) is None
