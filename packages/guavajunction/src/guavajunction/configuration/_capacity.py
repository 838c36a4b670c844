"""Checks that the minimum of resident models fits the engines of each pool.

The minimum is `min_replicas` of each model and one copy of each adapter. A document
is refused if the sums of memory prove that no placement exists. It is also refused if
first-fit-decreasing finds no placement, because the planner would not find one either.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from typing import NamedTuple

from ._fault import Fault
from ._tables import Section, Sections


class _MemoryDemand(NamedTuple):
    """Memory that one model and its adapters need in their pool."""

    model: str
    memory_mib: int
    replicas: int
    adapters: dict[str, int]
    """MiB of each adapter; one copy is resident on an engine with the model."""

    @property
    def total_mib(self) -> int:
        return self.memory_mib * self.replicas + sum(self.adapters.values())


def capacity_faults(sections: Sections) -> Iterator[Fault]:
    """Yield the faults of pools whose engines cannot hold the minimum.

    Engines that are marked as leaving get no new work and are left out.
    """
    for pool, demands in _demands_by_pool(sections["models"]).items():
        engines = _engines(sections["backends"], pool)
        yield from _pool_faults(pool, demands, engines)


def _demands_by_pool(models: Section) -> dict[str, list[_MemoryDemand]]:
    pools: dict[str, list[_MemoryDemand]] = {}
    for name, model in models.items():
        pools.setdefault(model["pool"], []).append(_demand_of(name, model))
    return pools


def _demand_of(name: str, model: Section) -> _MemoryDemand:
    adapters = model.get("adapters", {})
    sizes = {adapter: table["memory_mib"] for adapter, table in adapters.items()}
    return _MemoryDemand(name, model["memory_mib"], model.get("min_replicas", 1), sizes)


def _engines(backends: Section, pool: str) -> dict[str, int]:
    """Return the MiB for weights of each engine of a pool that is not leaving."""
    return {
        name: backend["memory_mib"] - backend.get("kv_reserve_mib", 0)
        for name, backend in backends.items()
        if backend["kind"] == "engine"
        and backend["pool"] == pool
        and not backend.get("leaving", False)
    }


def _pool_faults(
    pool: str, demands: list[_MemoryDemand], engines: dict[str, int]
) -> Iterator[Fault]:
    if not engines:
        path = f"models.{demands[0].model}.pool"
        yield Fault(path, f"`{pool}`", "a pool with an engine that is not leaving")
        return
    faults = [fault for demand in demands for fault in _model_faults(demand, engines)]
    faults = faults or list(_pool_size_faults(pool, demands, engines))
    yield from faults or _packing_faults(pool, demands, engines)


def _model_faults(demand: _MemoryDemand, engines: dict[str, int]) -> list[Fault]:
    single = list(_single_faults(demand, engines))
    return single or list(_combined_faults(demand, engines))


def _single_faults(demand: _MemoryDemand, engines: dict[str, int]) -> Iterator[Fault]:
    """Yield a fault for each value of a model that no placement can satisfy."""
    path = f"models.{demand.model}"
    largest = max(engines.values())
    if demand.replicas > len(engines):
        expected = f"at most {len(engines)}, the engines of the pool"
        yield Fault(f"{path}.min_replicas", str(demand.replicas), expected)
    if demand.memory_mib > largest:
        expected = f"at most {largest}, the MiB for weights of the largest engine"
        yield Fault(f"{path}.memory_mib", str(demand.memory_mib), expected)
    for adapter, mib in demand.adapters.items():
        if demand.memory_mib <= largest < demand.memory_mib + mib:
            found = f"{demand.memory_mib} + {mib} = {demand.memory_mib + mib}"
            expected = f"at most {largest}, the MiB for weights of the largest engine"
            yield Fault(f"{path}.adapters.{adapter}.memory_mib", found, expected)


def _combined_faults(demand: _MemoryDemand, engines: dict[str, int]) -> Iterator[Fault]:
    """Yield a fault if the replicas and adapters of a model exceed the largest engines.

    A model with N replicas uses at most N engines.
    """
    available = sum(sorted(engines.values())[-demand.replicas :])
    if demand.total_mib > available:
        expected = f"at most {available}, on the {demand.replicas} largest engines"
        found = f"{_format_demand(demand)} = {demand.total_mib} MiB"
        yield Fault(f"models.{demand.model}", found, expected)


def _pool_size_faults(
    pool: str, demands: list[_MemoryDemand], engines: dict[str, int]
) -> Iterator[Fault]:
    needed = sum(demand.total_mib for demand in demands)
    available = sum(engines.values())
    path = f"models, pool `{pool}`"
    if needed > available:
        found = (
            f"{' + '.join(_format_demand(demand) for demand in demands)} = {needed} MiB"
        )
        expected = f"at most {' + '.join(map(str, engines.values()))} = {available} MiB"
        yield Fault(path, found, expected)
        return
    # Two replicas that are larger than half of the largest engine fit on no engine.
    half = max(engines.values()) / 2
    large = [demand for demand in demands if demand.memory_mib > half]
    count = sum(demand.replicas for demand in large)
    large_engines = [mib for mib in engines.values() if mib > half]
    if count > len(large_engines):
        found = f"{count} replicas of more than {half:g} MiB, of which no engine"
        found += " holds two"
        expected = f"at most {len(large_engines)}, the engines that hold one"
        yield Fault(path, found, expected)


def _format_demand(demand: _MemoryDemand) -> str:
    adapters = sum(demand.adapters.values())
    term = f"{demand.model} {demand.replicas} x {demand.memory_mib}"
    return f"{term} + adapters {adapters}" if adapters else term


def _packing_faults(
    pool: str, demands: list[_MemoryDemand], engines: dict[str, int]
) -> Iterator[Fault]:
    variants = product((True, False), repeat=2)
    if any(_has_placement(demands, engines, *variant) for variant in variants):
        return
    needed = sum(demand.total_mib for demand in demands)
    found = f"no placement of {needed} MiB by first-fit-decreasing"
    expected = f"one within {len(engines)} engines of {sum(engines.values())} MiB"
    yield Fault(f"models, pool `{pool}`", found, expected)


class _PlacementItem(NamedTuple):
    """Memory to place on one engine: a replica, with or without adapters."""

    memory_mib: int
    demand: _MemoryDemand


def _has_placement(
    demands: list[_MemoryDemand],
    engines: dict[str, int],
    bundled: bool,
    most_free_first: bool,
) -> bool:
    """Return whether first-fit-decreasing places every replica and adapter.

    Args:
        demands: Models and adapters that must be resident.
        engines: MiB for weights of each engine.
        bundled: Whether all adapters of a model share an engine with one replica.
        most_free_first: Whether to try the engine with most free memory first.
    """
    free = dict(engines)
    engines_by_model: dict[str, list[str]] = {demand.model: [] for demand in demands}
    items = [item for demand in demands for item in _placement_items(demand, bundled)]
    for item in sorted(items, key=lambda item: item.memory_mib, reverse=True):
        used_engines = engines_by_model[item.demand.model]
        candidates = [name for name in free if name not in used_engines]
        engine = _allocate(free, candidates, item.memory_mib, most_free_first)
        if engine is None:
            return False
        used_engines.append(engine)
    if bundled:
        return True
    adapters = [
        (mib, demand.model) for demand in demands for mib in demand.adapters.values()
    ]
    return all(
        _allocate(free, engines_by_model[model], mib, most_free_first) is not None
        for mib, model in sorted(adapters, reverse=True)
    )


def _placement_items(demand: _MemoryDemand, bundled: bool) -> list[_PlacementItem]:
    items = [_PlacementItem(demand.memory_mib, demand)] * demand.replicas
    if bundled:
        first = demand.memory_mib + sum(demand.adapters.values())
        items[0] = _PlacementItem(first, demand)
    return items


def _allocate(
    free: dict[str, int], names: list[str], mib: int, most_free_first: bool
) -> str | None:
    """Reserve memory on the first engine with enough free memory; return its name."""
    if most_free_first:
        names = sorted(names, key=lambda name: -free[name])
    for name in names:
        if free[name] >= mib:
            free[name] -= mib
            return name
    return None
