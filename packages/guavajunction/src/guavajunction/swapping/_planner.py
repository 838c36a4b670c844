"""Plans which backend server loads which model.

The planner serves two kinds of demand: a few busy models that get most requests and
change within seconds, and a long tail of rare models that can't all be resident. A
requested model without a replica comes first: its requests queue while it loads and
are then served together. A busy model gets more replicas as its request rate grows.
Models are evicted where it costs least: unrequested models, then surplus replicas, then
rare models whose queued requests have been served.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping, Sequence
from typing import NamedTuple

from guavajunction.gateway import NO_DEMAND, Demand, EngineSpec

REQUESTS_PER_SLOT = 0.25
"""Requests a second for one replica, for each slot of its backend server. A request
occupies a slot for about two seconds, and half of the slots stay free for bursts and
for the other models of the backend server."""

MAX_REQUESTS_PER_REPLICA = 8.0
"""Largest number of requests a second for one replica. A backend server prefills about
17 prompts of mean size a second, and should stay half idle for bursts."""

MIN_REQUESTED_RATE = 0.05
"""Requests a second from which a model without queued requests counts as requested."""

MIN_RESIDENT_SECONDS = 1.5
"""Minimum time that a model stays resident, so that its queued requests can be sent."""

ONLY_REPLICA_WEIGHT = 2.0
"""Cost of evicting the only replica, for each request a second for its model: about the
seconds to load it again from memory or disk."""

SURPLUS_REPLICA_WEIGHT = 0.2
"""Cost of evicting one of several replicas, for each request a second that it gets. The
other replicas then get these requests."""

RESERVED_STORE_LOADS = 3
"""Loads from the weight store that prefetching leaves for requested models."""

RARE_RATE = 1.0
"""Requests a second below which a model counts as rare."""

IDLE_REPLICA_COST = 0.08
"""Cost of evicting the only replica of a model that is no longer requested."""

UNREQUESTED_REPLICA_COST = 0.3
"""Cost of evicting the only replica of a model that was resident at the start and has
not been requested yet. It was placed there because it is popular at times."""

GAIN_FACTOR = 1.5
"""Minimum ratio of a move's gain to its eviction cost, to avoid thrashing."""

LOAD_DELAY_WEIGHT = 0.3
"""Cost of each second until the model is loaded, for each request a second for the
model. Lower rates count as one request a second."""

RUNNING_REQUEST_WEIGHT = 0.2
"""Cost of each running request that must end before its model can be unloaded."""

UNLOAD_SECONDS = 0.15
"""Time to unload an idle model."""

UNLOAD_RUNNING_SECONDS = 3.0
"""Time to unload a model with running requests: about the remainder of a stream."""

CORESIDENT_REQUEST_WEIGHT = 0.02
"""Cost of each request that already runs on the backend server."""

PREFETCH_GAIN = 0.1
"""Gain of prefetching weights that no backend server has in memory or on disk. It only
outweighs the cost of evicting unrequested surplus replicas."""


class Holding(NamedTuple):
    """Models and requests of one backend server, as input of the planner."""

    name: str
    resident: Mapping[str, float]
    """When each model was first seen as resident, on the monotonic clock."""
    weights_mb: float
    """Memory used by the resident models, without adapters."""
    in_memory: frozenset[str]
    """Models whose weights are in main memory."""
    on_disk: frozenset[str]
    """Models whose weights are on disk."""
    running: Mapping[str, int]
    """Running requests, by model."""
    free_in: float
    """Seconds until the backend server accepts an order for a model; 0 if it already
    does."""
    software_version: str = ""
    """Version of the backend server's software."""


class Move(NamedTuple):
    """A model to load and the models to unload first."""

    backend: str
    model: str
    evict: tuple[str, ...]
    from_store: bool
    """Whether the weights come from the weight store, which is rate-limited."""
    load_seconds: float


class _MoveOption(NamedTuple):
    total_cost: float
    eviction_cost: float
    must_wait: bool
    """Whether another order on the backend server has to end first."""
    move: Move


class PlannerInput(NamedTuple):
    """Input of the planner."""

    spec: EngineSpec
    """Models of the service."""
    holdings: Sequence[Holding]
    """Backend servers of the service, as they will be after their current moves."""
    demand: Mapping[str, Demand]
    """Fleet-wide demand for each model and adapter."""
    requested_before: Container[str]
    """Models that have been requested so far."""
    now: float
    """Monotonic time in seconds."""
    resumes: Mapping[str, Mapping[str, int]] = {}
    """Resumed streams that wait for a load, by software version and model. Only backend
    servers of that version may continue them."""


def plan(
    planner_input: PlannerInput, *, store_loads: int, rare_store_loads: int
) -> Move | None:
    """Return the most urgent move that is worth its cost, or None if there is none.

    Args:
        planner_input: Resident models and demand.
        store_loads: Number of loads from the weight store that may start now.
        rare_store_loads: Number of loads from the weight store in progress for rare
            models.
    """
    planner = _Planner(planner_input)
    for need in planner.by_urgency():
        move = planner.best_move(need.model, need.gain, need.software_version)
        if move is None:
            continue
        rare = planner_input.demand.get(need.model, NO_DEMAND).rate < RARE_RATE
        limit = max_rare_store_loads(len(planner_input.holdings))
        rare_limit_reached = rare and rare_store_loads >= limit
        if not move.from_store or (store_loads and not rare_limit_reached):
            return move
    if store_loads <= RESERVED_STORE_LOADS:
        return None
    return planner.prefetch()


def max_rare_store_loads(backends: int) -> int:
    """Return how many backend servers may load rare models from the weight store.

    Such a load takes many seconds. Meanwhile its backend server can't load a model
    that demand shifts to.

    >>> [max_rare_store_loads(backends) for backends in (2, 9, 56)]
    [1, 2, 14]
    """
    return max(1, backends // 4)


def requests_per_replica(slots: int) -> float:
    """Return the requests a second that justify one replica of a model.

    Args:
        slots: Requests that a backend server runs in one batch.

    >>> [requests_per_replica(slots) for slots in (12, 16, 32, 96)]
    [3.0, 4.0, 8.0, 8.0]
    """
    return min(MAX_REQUESTS_PER_REPLICA, REQUESTS_PER_SLOT * max(1, slots))


def replicas_needed(demand: Demand | None, slots: int) -> int:
    """Return how many replicas of a model its demand justifies.

    Args:
        demand: Demand for the model, None if there is none.
        slots: Requests that a backend server runs in one batch.

    >>> [replicas_needed(Demand(rate, 0), 32) for rate in (0.0, 0.2, 8.0, 8.1)]
    [0, 1, 1, 2]
    """
    if demand is None or (demand.rate < MIN_REQUESTED_RATE and not demand.waiting):
        return 0
    return max(1, math.ceil(demand.rate / requests_per_replica(slots)))


class _Need(NamedTuple):
    """A model that needs another replica."""

    model: str
    gain: float
    software_version: str | None
    """Version of the backend servers that may hold the replica; None for any."""


class _Planner:
    """Computes the costs and gains of moves for one input."""

    def __init__(self, planner_input: PlannerInput) -> None:
        self._input = planner_input
        self._spec = planner_input.spec
        self._replicas: Counter[str] = Counter()
        for holding in planner_input.holdings:
            self._replicas.update(holding.resident.keys())

    def by_urgency(self) -> list[_Need]:
        """Return the models that need another replica, by descending gain."""
        demand = self._input.demand
        needs = [
            _Need(model, self.gain(model), None)
            for model in demand
            if model in self._spec.models
            and self._replicas[model] < replicas_needed(demand[model], self._spec.slots)
        ]
        needs += [
            _Need(model, float(waiting), version)
            for version, models in self._input.resumes.items()
            for model, waiting in models.items()
            if model in self._spec.models and not self._holders(model, version)
        ]
        return sorted(needs, key=lambda need: -need.gain)

    def _holders(self, model: str, version: str) -> list[Holding]:
        return [
            holding
            for holding in self._input.holdings
            if holding.software_version == version and model in holding.resident
        ]

    def gain(self, model: str) -> float:
        """Return the gain of one more replica of a model."""
        model_demand, replicas = self._input.demand[model], self._replicas[model]
        if replicas == 0:
            return model_demand.waiting + model_demand.rate * ONLY_REPLICA_WEIGHT
        # A new replica takes its share of the requests from the others.
        return model_demand.rate / (replicas * (replicas + 1)) * SURPLUS_REPLICA_WEIGHT

    def best_move(
        self, model: str, gain: float, software_version: str | None = None
    ) -> Move | None:
        """Return a model's cheapest move if it can start and is worth its cost."""
        options = [
            option
            for holding in self._input.holdings
            if software_version in (None, holding.software_version)
            and model not in holding.resident
            and (option := self._option(holding, model)) is not None
        ]
        best = min(options, key=lambda option: option.total_cost, default=None)
        if best is None or gain <= best.eviction_cost * GAIN_FACTOR or best.must_wait:
            return None
        return best.move

    def prefetch(self) -> Move | None:
        """Return a load of a model whose weights no backend server has, or None.

        Only surplus replicas are evicted for it.
        """
        local_weights = {
            model
            for holding in self._input.holdings
            for model in holding.in_memory | holding.on_disk
        }
        for model in self._spec.models:
            if self._replicas[model] or model in local_weights:
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
        seconds, from_store = self._load_time(holding, model)
        model_demand = self._input.demand.get(model, NO_DEMAND)
        delay = seconds + unload + holding.free_in
        total_cost = cost + delay * LOAD_DELAY_WEIGHT * max(1.0, model_demand.rate)
        total_cost += sum(holding.running.values()) * CORESIDENT_REQUEST_WEIGHT
        move = Move(holding.name, model, tuple(evicted), from_store, seconds)
        return _MoveOption(total_cost, cost, holding.free_in > 0, move)

    def _victims(self, holding: Holding) -> list[tuple[float, str]]:
        """Return cost and name of each model that may be evicted, cheapest first."""
        return sorted(
            (
                self._eviction_cost(name)
                + holding.running.get(name, 0) * RUNNING_REQUEST_WEIGHT,
                name,
            )
            for name, since in holding.resident.items()
            if self._input.now - since >= MIN_RESIDENT_SECONDS
            and not self._input.demand.get(name, NO_DEMAND).waiting
            and not self._resumes_need(holding, name)
        )

    def _resumes_need(self, holding: Holding, model: str) -> bool:
        """Return whether resumed streams wait for a model on this backend server."""
        waiting = self._input.resumes.get(holding.software_version, {}).get(model)
        return bool(waiting)

    def _eviction_cost(self, model: str) -> float:
        model_demand, replicas = (
            self._input.demand.get(model),
            self._replicas[model],
        )
        if model_demand is None:
            if replicas > 1:
                return 0.0
            before = model in self._input.requested_before
            return IDLE_REPLICA_COST if before else UNREQUESTED_REPLICA_COST
        if replicas <= 1:
            return model_demand.rate * ONLY_REPLICA_WEIGHT
        surplus = replicas > replicas_needed(model_demand, self._spec.slots)
        weight = SURPLUS_REPLICA_WEIGHT if surplus else ONLY_REPLICA_WEIGHT
        return model_demand.rate / replicas * weight

    def _load_time(self, holding: Holding, model: str) -> tuple[float, bool]:
        """Return the seconds of a load and whether it is from the weight store."""
        spec = self._spec.models[model]
        if model in holding.in_memory:
            return spec.memory_load_seconds, False
        if model in holding.on_disk:
            return spec.disk_load_seconds, False
        return spec.store_load_seconds, True

    def _size_mb(self, model: str) -> float:
        spec = self._spec.models.get(model)
        return spec.memory_mb if spec else 0.0
