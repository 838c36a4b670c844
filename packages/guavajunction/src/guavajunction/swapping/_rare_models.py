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

REQUESTS_PER_COPY = 8.0
"""Requests a second that one copy is to take: a backend server reads about 17 prompts
of the mean size a second and should stay half idle for bursts."""

ASKED_FOR_RATE = 0.05
"""Requests a second from which a model without waiting requests counts as asked for."""

MIN_STAY_SECONDS = 1.5
"""Least time that a model stays: its gathered requests have to be sent first."""

SINGLE_COPY_WEIGHT = 2.0
"""Price of evicting the only copy, in seconds of its request rate: about what loading
it again from memory or disk takes."""

SURPLUS_COPY_WEIGHT = 0.2
"""The same for one of several copies, whose requests go to the others."""

STORE_LOADS_KEPT = 3
"""Loads from the weight store that are kept for models that are asked for."""

RARE_RATE = 1.0
"""Requests a second below which a model counts as rare."""

SILENT_COPY = 0.08
"""Price of evicting the only copy of a model that demand has moved away from."""

UNASKED_COPY = 0.3
"""The same for one that was resident from the start and not asked for yet: it was
placed because it is popular at times."""

GAIN_FACTOR = 1.5
"""A move must gain this much more than it costs, so that models don't swap to and
fro."""

SECONDS_WEIGHT = 0.3
"""Price of a second until the model is there, for each request a second that asks
for it, and at least for one."""

RUNNING_WEIGHT = 0.2
"""Price of a request that has to end before its model can be unloaded."""

UNLOAD_SECONDS = 0.15
"""Time of an unload of an idle model."""

UNLOAD_RUNNING_SECONDS = 3.0
"""The same while requests run on it: about what is left of a stream."""

CROWDED_WEIGHT = 0.02
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


class _Option(NamedTuple):
    price: float
    eviction_cost: float
    waits: bool
    """Whether the backend server has to end something else first."""
    move: Move


def plan(
    spec: EngineSpec,
    holdings: Sequence[Holding],
    demand: Mapping[str, Demand],
    now: float,
    *,
    store_loads: int,
    rare_store_loads: int,
    asked_before: Container[str],
) -> Move | None:
    """Return the move that is worth most now, or None if none is worth it.

    Args:
        spec: Models of the service.
        holdings: Backend servers, those that are busy with a model as they will be.
        demand: What is asked of each model, fleet-wide.
        now: Monotonic time in seconds.
        store_loads: Loads from the weight store that may begin now.
        rare_store_loads: Those that are under way for rare models.
        asked_before: Models that somebody has asked for so far.
    """
    copies: Counter[str] = Counter()
    for holding in holdings:
        copies.update(holding.resident.keys())
    for model in _by_urgency(spec, copies, demand):
        gain = _gain(model, copies, demand)
        move = _best_move(
            spec, holdings, model, copies, demand, now, gain, asked_before
        )
        if move is None:
            continue
        rare = demand[model].rate < RARE_RATE
        crowded = rare and rare_store_loads >= max_rare_store_loads(len(holdings))
        if not move.from_store or (store_loads and not crowded):
            return move
    if store_loads <= STORE_LOADS_KEPT:
        return None
    return _prefetch(spec, holdings, copies, demand, now, asked_before)


def _best_move(
    spec: EngineSpec,
    holdings: Sequence[Holding],
    model: str,
    copies: Counter[str],
    demand: Mapping[str, Demand],
    now: float,
    gain: float,
    asked_before: Container[str],
) -> Move | None:
    options = [
        option
        for holding in holdings
        if model not in holding.resident
        and (option := _option(spec, holding, model, copies, demand, now, asked_before))
    ]
    best = min(options, key=lambda option: option.price, default=None)
    if best is None or gain <= best.eviction_cost * GAIN_FACTOR or best.waits:
        return None
    return best.move


def _prefetch(
    spec: EngineSpec,
    holdings: Sequence[Holding],
    copies: Counter[str],
    demand: Mapping[str, Demand],
    now: float,
    asked_before: Container[str],
) -> Move | None:
    """Bring weights to a disk that has none yet, in place of a surplus copy."""
    at_hand = {
        model for holding in holdings for model in holding.in_memory | holding.on_disk
    }
    for model in spec.models:
        if copies[model] or model in at_hand:
            continue
        move = _best_move(
            spec, holdings, model, copies, demand, now, PREFETCH_GAIN, asked_before
        )
        if move is not None and all(copies[name] > 1 for name in move.evict):
            return move
    return None


def max_rare_store_loads(backends: int) -> int:
    """Return how many backend servers may load rare models from the weight store.

    Such a load takes many seconds, in which its backend server can't swap a model
    that demand shifts to.

    >>> [max_rare_store_loads(backends) for backends in (2, 9, 56)]
    [1, 2, 14]
    """
    return max(1, backends // 4)


def copies_needed(demand: Demand | None) -> int:
    """Return how many copies of a model its demand is worth.

    >>> [copies_needed(Demand(rate, 0)) for rate in (0.0, 0.2, 8.0, 8.1)]
    [0, 1, 1, 2]
    """
    if demand is None or (demand.rate < ASKED_FOR_RATE and not demand.waiting):
        return 0
    return max(1, math.ceil(demand.rate / REQUESTS_PER_COPY))


def _by_urgency(
    spec: EngineSpec, copies: Counter[str], demand: Mapping[str, Demand]
) -> list[str]:
    wanted = [
        model
        for model in demand
        if model in spec.models and copies[model] < copies_needed(demand[model])
    ]
    return sorted(wanted, key=lambda model: -_gain(model, copies, demand))


def _gain(model: str, copies: Counter[str], demand: Mapping[str, Demand]) -> float:
    asked = demand[model]
    if copies[model] == 0:
        return asked.waiting + asked.rate * SINGLE_COPY_WEIGHT
    # Another copy takes over its part of the requests.
    return asked.rate / (copies[model] * (copies[model] + 1)) * SURPLUS_COPY_WEIGHT


def _option(
    spec: EngineSpec,
    holding: Holding,
    model: str,
    copies: Counter[str],
    demand: Mapping[str, Demand],
    now: float,
    asked_before: Container[str],
) -> _Option | None:
    evicted: list[str] = []
    cost = 0.0
    free = spec.memory_mb - spec.adapter_room_mb - holding.weights_mb
    victims = sorted(
        (
            (
                _eviction_cost(name, copies, demand, asked_before)
                + holding.running.get(name, 0) * RUNNING_WEIGHT,
                name,
            )
            for name, since in holding.resident.items()
            if now - since >= MIN_STAY_SECONDS and not _waited_for(name, demand)
        ),
    )
    unload = 0.0
    for victim_cost, name in victims:
        if free >= spec.models[model].memory_mb:
            break
        evicted.append(name)
        cost += victim_cost
        running = holding.running.get(name)
        unload = max(unload, UNLOAD_RUNNING_SECONDS if running else UNLOAD_SECONDS)
        free += spec.models[name].memory_mb if name in spec.models else 0.0
    if free < spec.models[model].memory_mb:
        return None
    seconds, from_store = _load(spec, holding, model)
    urgency = SECONDS_WEIGHT * max(1.0, demand.get(model, NO_DEMAND).rate)
    delay = seconds + unload + holding.free_in
    crowding = sum(holding.running.values()) * CROWDED_WEIGHT
    price = cost + delay * urgency + crowding
    move = Move(holding.name, model, tuple(evicted), from_store, seconds)
    return _Option(price, cost, holding.free_in > 0, move)


def _waited_for(model: str, demand: Mapping[str, Demand]) -> bool:
    asked = demand.get(model)
    return asked is not None and asked.waiting > 0


def _eviction_cost(
    model: str,
    copies: Counter[str],
    demand: Mapping[str, Demand],
    asked_before: Container[str],
) -> float:
    asked = demand.get(model)
    if asked is None:
        if copies[model] > 1:
            return 0.0
        return SILENT_COPY if model in asked_before else UNASKED_COPY
    if copies[model] <= 1:
        return asked.rate * SINGLE_COPY_WEIGHT
    if copies[model] <= copies_needed(asked):
        return asked.rate / copies[model] * SINGLE_COPY_WEIGHT
    return asked.rate / copies[model] * SURPLUS_COPY_WEIGHT


def _load(spec: EngineSpec, holding: Holding, model: str) -> tuple[float, bool]:
    sizes = spec.models[model]
    if model in holding.in_memory:
        return sizes.memory_load_seconds, False
    if model in holding.on_disk:
        return sizes.disk_load_seconds, False
    return sizes.store_load_seconds, True
