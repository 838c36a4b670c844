"""Selects the hubs of a fleet, and the hub that each instance follows.

The number of links between all instances grows with the square of the fleet's size. In
a large fleet the links cost more than serving requests. Above a configured size, one or
a few instances of each data centre are hubs. Every instance sends heartbeats to all
hubs. A hub aggregates the state of the whole fleet and sends it to its followers. Most
instances thus send to a handful of others, and only hubs send to many.

Every instance computes the hubs independently, from the listed instances and the
instances that it considers unfit. The results may differ for a short time, so every
instance that has a follower acts as a hub.

Only one hub, the reader, needs to read the store; it relays the rows to the others.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash


class Candidate(NamedTuple):
    """A listed instance that may become a hub."""

    name: str
    data_centre: str
    strong: bool
    """Whether its processor and network can carry a hub's traffic."""


class FleetShape(NamedTuple):
    """Sizes that determine which links a fleet has."""

    full_mesh: int
    """Largest number of instances for which each is linked to every other."""
    followers: int
    """Number of instances of a data centre for each of its hubs."""
    one_reader: bool = True
    """Whether one hub reads the store for the others."""


def hubs(
    listed: Collection[Candidate], unfit: Collection[str], shape: FleetShape
) -> dict[str, list[str]]:
    """Return the names of the hubs of each data centre, the best first.

    Args:
        listed: All instances, of any state.
        unfit: Names of instances that cannot be hubs now.
        shape: Sizes that determine the number of hubs.

    Returns:
        All fit instances if the fleet has at most `shape.full_mesh` instances. A data
        centre without a fit instance is missing.
    """
    ranked = _ranked(candidate for candidate in listed if candidate.name not in unfit)
    if len(listed) <= shape.full_mesh:
        return ranked
    sizes = defaultdict(int)
    for candidate in listed:
        sizes[candidate.data_centre] += 1
    return {
        data_centre: names[: math.ceil(sizes[data_centre] / shape.followers)]
        for data_centre, names in ranked.items()
    }


def hub_of(me: Candidate, by_data_centre: dict[str, list[str]]) -> str | None:
    """Return the name of the hub that an instance follows, or None if it is a hub.

    An instance in a data centre without a hub acts as a hub itself.

    >>> hub_of(Candidate("a2", "a", False), {"a": ["a1"], "b": ["b1"]})
    'a1'
    """
    own_hubs = by_data_centre.get(me.data_centre, [])
    if not own_hubs or me.name in own_hubs:
        return None
    return own_hubs[_weight(me.name) % len(own_hubs)]


def reader_of(
    listed: Collection[Candidate], by_data_centre: dict[str, list[str]]
) -> str | None:
    """Return the name of the best of all hubs, or None without any.

    >>> reader_of([Candidate("a1", "a", False), Candidate("b1", "b", True)],
    ...           {"a": ["a1"], "b": ["b1"]})
    'b1'
    """
    names = {name for group in by_data_centre.values() for name in group}
    found = [candidate for candidate in listed if candidate.name in names]
    best = min(found, key=_order, default=None)
    return best.name if best is not None else None


def _ranked(candidates: Iterable[Candidate]) -> dict[str, list[str]]:
    by_data_centre: defaultdict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        by_data_centre[candidate.data_centre].append(candidate)
    return {
        data_centre: [candidate.name for candidate in sorted(group, key=_order)]
        for data_centre, group in by_data_centre.items()
    }


def _order(candidate: Candidate) -> tuple[bool, int, str]:
    """Return the sort key of candidates, the best first."""
    return not candidate.strong, _weight(candidate.name), candidate.name


def _weight(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
