"""Plans which backend server is to hold which model.

Answers two loads at once: a few busy models that take most requests and change within
seconds, and a long tail of rare models that can't all be resident. A model that is
asked for and resident nowhere comes first: its requests are gathered while it loads,
and served together. A busy model gets more copies as its rate grows. Room is made
where it costs least: models that nobody asks for, then surplus copies, then the rare
model whose group has been served.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping, Sequence
from typing import NamedTuple

from guavajunction.gateway import NO_DEMAND, Demand, EngineSpec

REQUESTS_PER_REPLICA = 8.0
"""Requests a second that one copy is to take: a backend server reads about 17 prompts
of the mean size a second and should stay half idle for bursts."""

MIN_REQUESTED_RATE = 0.05
"""Requests a second from which a model without waiting requests counts as asked for."""

MIN_RESIDENT_SECONDS = 1.5
"""Least time that a model stays: its gathered requests have to be sent first."""

ONLY_REPLICA_WEIGHT = 2.0
"""Price of evicting the only copy, in seconds of its request rate: about what loading
it again from memory or disk takes."""

SURPLUS_REPLICA_WEIGHT = 0.2
"""The same for one of several copies, whose requests go to the others."""

RESERVED_STORE_LOADS = 3
"""Loads from the weight store that are kept for models that are asked for."""

RARE_RATE = 1.0
"""Requests a second below which a model counts as rare."""

IDLE_REPLICA_COST = 0.08
"""Price of evicting the only copy of a model that demand has moved away from."""

UNREQUESTED_REPLICA_COST = 0.3
"""The same for one that was resident from the start and not asked for yet: it was
placed because it is popular at times."""

GAIN_FACTOR = 1.5
"""A move must gain this much more than it costs, so that models don't swap to and
fro."""

LOAD_DELAY_WEIGHT = 0.3
"""Price of a second until the model is there, for each request a second that asks
for it, and at least for one."""

RUNNING_REQUEST_WEIGHT = 0.2
"""Price of a request that has to end before its model can be unloaded."""

UNLOAD_SECONDS = 0.15
"""Time of an unload of an idle model."""

UNLOAD_RUNNING_SECONDS = 3.0
"""The same while requests run on it: about what is left of a stream."""

CORESIDENT_REQUEST_WEIGHT = 0.02
"""Price of each request that the new model would run beside."""

PREFETCH_GAIN = 0.1
"""Gain of bringing weights that no backend server has at hand from the weight store:
enough to replace surplus copies that nobody asks for, nothing else."""


class Holding(NamedTuple):
    """One backend server as the planner sees it."""

    name: str
    resident: Mapping[str, float]
    """When each resident model was first seen there, monotonic seconds."""
    weights_mb: float
    """Memory that the resident models take, without adapters."""
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    running: Mapping[str, int]
    """Requests that it works on, by model."""
    free_in: float
    """Seconds until it takes an order for a model; 0 if it does now."""


class Move(NamedTuple):
    """A model to load, and what has to be unloaded before."""

    backend: str
    model: str
    evict: tuple[str, ...]
    from_store: bool
    """Whether the weights come from the weight store, which is rate-limited."""
    load_seconds: float


class _MoveOption(NamedTuple):
    price: float
    eviction_cost: float
    waits: bool
    """Whether the backend server has to end something else first."""
    move: Move


class Situation(NamedTuple):
    """What a plan is made from."""

    spec: EngineSpec
    """Models of the service."""
    holdings: Sequence[Holding]
    """Backend servers, those that are busy with a model as they will be."""
    demand: Mapping[str, Demand]
    """What is asked of each model, fleet-wide."""
    requested_before: Container[str]
    """Models that somebody has asked for so far."""
    now: float
    """Monotonic time in seconds."""


def plan(
    situation: Situation, *, store_loads: int, rare_store_loads: int
) -> Move | None:
    """Return the move that is worth most now, or None if none is worth it.

    Args:
        situation: What is held where, and what is asked for.
        store_loads: Loads from the weight store that may begin now.
        rare_store_loads: Those that are under way for rare models.
    """
    planner = _Planner(situation)
    for model in planner.by_urgency():
        move = planner.best_move(model, planner.gain(model))
        if move is None:
            continue
        rare = situation.demand[model].rate < RARE_RATE
        limit = max_rare_store_loads(len(situation.holdings))
        crowded = rare and rare_store_loads >= limit
        if not move.from_store or (store_loads and not crowded):
            return move
    if store_loads <= RESERVED_STORE_LOADS:
        return None
    return planner.prefetch()


def max_rare_store_loads(backends: int) -> int:
    """Return how many backend servers may load rare models from the weight store.

    Such a load takes many seconds, in which its backend server can't swap a model
    that demand shifts to.

    >>> [max_rare_store_loads(backends) for backends in (2, 9, 56)]
    [1, 2, 14]
    """
    return max(1, backends // 4)


def replicas_needed(demand: Demand | None) -> int:
    """Return how many copies of a model its demand is worth.

    >>> [copies_needed(Demand(rate, 0)) for rate in (0.0, 0.2, 8.0, 8.1)]
    [0, 1, 1, 2]
    """
    if demand is None or (demand.rate < MIN_REQUESTED_RATE and not demand.waiting):
        return 0
    return max(1, math.ceil(demand.rate / REQUESTS_PER_REPLICA))


class _Planner:
    """Prices the moves of one situation."""

    def __init__(self, situation: Situation) -> None:
        self._situation = situation
        self._spec = situation.spec
        self._replicas: Counter[str] = Counter()
        for holding in situation.holdings:
            self._replicas.update(holding.resident.keys())

    def by_urgency(self) -> list[str]:
        """Return the models that need another copy, most gain first."""
        demand = self._situation.demand
        wanted = [
            model
            for model in demand
            if model in self._spec.models
            and self._replicas[model] < replicas_needed(demand[model])
        ]
        return sorted(wanted, key=lambda model: -self.gain(model))

    def gain(self, model: str) -> float:
        """Return what one more copy of a model is worth."""
        model_demand, replicas = self._situation.demand[model], self._replicas[model]
        if replicas == 0:
            return model_demand.waiting + model_demand.rate * ONLY_REPLICA_WEIGHT
        # Another copy takes over its part of the requests.
        return model_demand.rate / (replicas * (replicas + 1)) * SURPLUS_REPLICA_WEIGHT

    def best_move(self, model: str, gain: float) -> Move | None:
        """Return the cheapest move of a model if its gain is worth it now."""
        options = [
            option
            for holding in self._situation.holdings
            if model not in holding.resident
            and (option := self._option(holding, model)) is not None
        ]
        best = min(options, key=lambda option: option.price, default=None)
        if best is None or gain <= best.eviction_cost * GAIN_FACTOR or best.waits:
            return None
        return best.move

    def prefetch(self) -> Move | None:
        """Bring weights to a disk that has none yet, in place of a surplus copy."""
        at_hand = {
            model
            for holding in self._situation.holdings
            for model in holding.in_memory | holding.on_disk
        }
        for model in self._spec.models:
            if self._replicas[model] or model in at_hand:
                continue
            move = self.best_move(model, PREFETCH_GAIN)
            if move and all(self._replicas[name] > 1 for name in move.evict):
                return move
        return None

    def _option(self, holding: Holding, model: str) -> _MoveOption | None:
        needed = self._spec.models[model].memory_mb
        free = self._spec.memory_mb - self._spec.adapter_reserve_mb - holding.weights_mb
        evicted: list[str] = []
        cost = unload = 0.0
        for victim_cost, name in self._victims(holding):
            if free >= needed:
                break
            evicted.append(name)
            cost += victim_cost
            running = holding.running.get(name)
            unload = max(unload, UNLOAD_RUNNING_SECONDS if running else UNLOAD_SECONDS)
            free += self._size_mb(name)
        if free < needed:
            return None
        seconds, from_store = self._load(holding, model)
        model_demand = self._situation.demand.get(model, NO_DEMAND)
        delay = seconds + unload + holding.free_in
        price = cost + delay * LOAD_DELAY_WEIGHT * max(1.0, model_demand.rate)
        price += sum(holding.running.values()) * CORESIDENT_REQUEST_WEIGHT
        move = Move(holding.name, model, tuple(evicted), from_store, seconds)
        return _MoveOption(price, cost, holding.free_in > 0, move)

    def _victims(self, holding: Holding) -> list[tuple[float, str]]:
        """Return what may be evicted, cheapest first, each with its price."""
        return sorted(
            (
                self._eviction_cost(name)
                + holding.running.get(name, 0) * RUNNING_REQUEST_WEIGHT,
                name,
            )
            for name, since in holding.resident.items()
            if self._situation.now - since >= MIN_RESIDENT_SECONDS
            and not self._situation.demand.get(name, NO_DEMAND).waiting
        )

    def _eviction_cost(self, model: str) -> float:
        model_demand, replicas = (
            self._situation.demand.get(model),
            self._replicas[model],
        )
        if model_demand is None:
            if replicas > 1:
                return 0.0
            before = model in self._situation.requested_before
            return IDLE_REPLICA_COST if before else UNREQUESTED_REPLICA_COST
        if replicas <= 1:
            return model_demand.rate * ONLY_REPLICA_WEIGHT
        surplus = replicas > replicas_needed(model_demand)
        weight = SURPLUS_REPLICA_WEIGHT if surplus else ONLY_REPLICA_WEIGHT
        return model_demand.rate / replicas * weight

    def _load(self, holding: Holding, model: str) -> tuple[float, bool]:
        """Return how long a load takes, and whether it is from the weight store."""
        sizes = self._spec.models[model]
        if model in holding.in_memory:
            return sizes.memory_load_seconds, False
        if model in holding.on_disk:
            return sizes.disk_load_seconds, False
        return sizes.store_load_seconds, True

    def _size_mb(self, model: str) -> float:
        spec = self._spec.models.get(model)
        return spec.memory_mb if spec else 0.0
