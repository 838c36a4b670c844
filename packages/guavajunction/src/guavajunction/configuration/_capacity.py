"""Whether the least that must be resident fits the engines of each pool.

A document is refused when the arithmetic proves that no placement exists, and
also when first-fit-decreasing finds none, since the planner could not either.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from typing import NamedTuple

from ._fault import Fault
from ._tables import Section, Sections


class _Need(NamedTuple):
    """Memory that one model with its adapters must have in its pool."""

    model: str
    memory_mib: int
    replicas: int
    adapters: dict[str, int]
    """MiB of each adapter, resident once beside a replica of the model."""

    @property
    def total_mib(self) -> int:
        return self.memory_mib * self.replicas + sum(self.adapters.values())


def capacity_faults(sections: Sections) -> Iterator[Fault]:
    """Yield a fault for each pool whose engines cannot hold the minimum.

    Engines that are leaving do not count, as they get no new work.
    """
    for pool, needs in _needs_by_pool(sections["models"]).items():
        engines = _engines(sections["backends"], pool)
        yield from _pool_faults(pool, needs, engines)


def _needs_by_pool(models: Section) -> dict[str, list[_Need]]:
    pools: dict[str, list[_Need]] = {}
    for name, model in models.items():
        pools.setdefault(model["pool"], []).append(_need(name, model))
    return pools


def _need(name: str, model: Section) -> _Need:
    adapters = model.get("adapters", {})
    sizes = {adapter: table["memory_mib"] for adapter, table in adapters.items()}
    return _Need(name, model["memory_mib"], model.get("min_replicas", 1), sizes)


def _engines(backends: Section, pool: str) -> dict[str, int]:
    """Return the MiB for weights of each engine of a pool that stays."""
    return {
        name: backend["memory_mib"] - backend.get("kv_reserve_mib", 0)
        for name, backend in backends.items()
        if backend["kind"] == "engine"
        and backend["pool"] == pool
        and not backend.get("leaving", False)
    }


def _pool_faults(
    pool: str, needs: list[_Need], engines: dict[str, int]
) -> Iterator[Fault]:
    if not engines:
        path = f"models.{needs[0].model}.pool"
        yield Fault(path, f"`{pool}`", "a pool with an engine that is not leaving")
        return
    faults = [fault for need in needs for fault in _need_faults(need, engines)]
    faults = faults or list(_total_faults(pool, needs, engines))
    yield from faults or _packing_faults(pool, needs, engines)


def _need_faults(need: _Need, engines: dict[str, int]) -> list[Fault]:
    single = list(_single_faults(need, engines))
    return single or list(_together_faults(need, engines))


def _single_faults(need: _Need, engines: dict[str, int]) -> Iterator[Fault]:
    path = f"models.{need.model}"
    largest = max(engines.values())
    if need.replicas > len(engines):
        expected = f"at most {len(engines)}, the engines of the pool"
        yield Fault(f"{path}.min_replicas", str(need.replicas), expected)
    if need.memory_mib > largest:
        expected = f"at most {largest}, the MiB for weights of the largest engine"
        yield Fault(f"{path}.memory_mib", str(need.memory_mib), expected)
    for adapter, mib in need.adapters.items():
        if need.memory_mib <= largest < need.memory_mib + mib:
            found = f"{need.memory_mib} + {mib} = {need.memory_mib + mib}"
            expected = f"at most {largest}, the MiB for weights of the largest engine"
            yield Fault(f"{path}.adapters.{adapter}.memory_mib", found, expected)


def _together_faults(need: _Need, engines: dict[str, int]) -> Iterator[Fault]:
    """Yield a fault if a model and its adapters exceed its largest engines."""
    room = sum(sorted(engines.values())[-need.replicas :])
    if need.total_mib > room:
        expected = f"at most {room}, on the {need.replicas} largest engines"
        found = f"{_term(need)} = {need.total_mib} MiB"
        yield Fault(f"models.{need.model}", found, expected)


def _total_faults(
    pool: str, needs: list[_Need], engines: dict[str, int]
) -> Iterator[Fault]:
    needed = sum(need.total_mib for need in needs)
    room = sum(engines.values())
    path = f"models, pool `{pool}`"
    if needed > room:
        found = f"{' + '.join(_term(need) for need in needs)} = {needed} MiB"
        expected = f"at most {' + '.join(map(str, engines.values()))} = {room} MiB"
        yield Fault(path, found, expected)
        return
    half = max(engines.values()) / 2
    large = [need for need in needs if need.memory_mib > half]
    count = sum(need.replicas for need in large)
    able = [mib for mib in engines.values() if mib > half]
    if count > len(able):
        found = f"{count} replicas of more than {half:g} MiB, of which no engine"
        found += " holds two"
        expected = f"at most {len(able)}, the engines that hold one"
        yield Fault(path, found, expected)


def _term(need: _Need) -> str:
    adapters = sum(need.adapters.values())
    term = f"{need.model} {need.replicas} x {need.memory_mib}"
    return f"{term} + adapters {adapters}" if adapters else term


def _packing_faults(
    pool: str, needs: list[_Need], engines: dict[str, int]
) -> Iterator[Fault]:
    ways = product((True, False), repeat=2)
    if any(_packs(needs, engines, *way) for way in ways):
        return
    needed = sum(need.total_mib for need in needs)
    found = f"no placement of {needed} MiB by first-fit-decreasing"
    expected = f"one within {len(engines)} engines of {sum(engines.values())} MiB"
    yield Fault(f"models, pool `{pool}`", found, expected)


class _Item(NamedTuple):
    """Memory to be placed at once: a replica, with or without adapters."""

    memory_mib: int
    need: _Need


def _packs(
    needs: list[_Need], engines: dict[str, int], bundled: bool, roomiest: bool
) -> bool:
    """Tell whether first-fit-decreasing places every replica and adapter.

    Args:
        needs: What must be resident.
        engines: MiB for weights of each engine.
        bundled: Whether the adapters of a model stay with one replica.
        roomiest: Whether to try the engine with most room first.
    """
    free = dict(engines)
    hosts: dict[str, list[str]] = {need.model: [] for need in needs}
    items = [item for need in needs for item in _items(need, bundled)]
    for item in sorted(items, key=lambda item: item.memory_mib, reverse=True):
        taken = hosts[item.need.model]
        rest = [name for name in free if name not in taken]
        host = _fit(free, rest, item.memory_mib, roomiest)
        if host is None:
            return False
        taken.append(host)
    if bundled:
        return True
    adapters = [(mib, n.model) for n in needs for mib in n.adapters.values()]
    return all(
        _fit(free, hosts[model], mib, roomiest) is not None
        for mib, model in sorted(adapters, reverse=True)
    )


def _items(need: _Need, bundled: bool) -> list[_Item]:
    items = [_Item(need.memory_mib, need)] * need.replicas
    if bundled:
        first = need.memory_mib + sum(need.adapters.values())
        items[0] = _Item(first, need)
    return items


def _fit(
    free: dict[str, int], names: list[str], mib: int, roomiest: bool
) -> str | None:
    """Take memory on the first engine that has it and return its name."""
    if roomiest:
        names = sorted(names, key=lambda name: -free[name])
    for name in names:
        if free[name] >= mib:
            free[name] -= mib
            return name
    return None
