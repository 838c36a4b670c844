"""Which instances are hubs, and which hub an instance follows.

Answers fleets in which links from each instance to every other cost more than serving:
their number grows with the square of the fleet. Above a size, one or a few instances
of each data centre are hubs. Everybody sends heartbeats to all hubs; a hub hears the
whole fleet and tells its followers the sum. So an instance sends to a handful of
others, and only hubs send to many.

Every instance computes the hubs alone, from the listed instances and those that it
takes to be unfit. Views may differ for a moment: whoever is followed acts as a hub.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash


class Candidate(NamedTuple):
    """A listed instance."""

    name: str
    data_centre: str
    strong: bool
    """Whether its processor and link carry a hub's traffic."""


class FleetShape(NamedTuple):
    """Bounds of the links."""

    full_mesh: int
    """Instances up to which each is linked to every other."""
    followers: int
    """Instances of a data centre for each of its hubs."""


def hubs(
    listed: Collection[Candidate], unfit: Collection[str], shape: FleetShape
) -> dict[str, list[str]]:
    """Return the names of the hubs of each data centre, the best first.

    Args:
        listed: All instances, of any state.
        unfit: Names of those that can't be hubs now.
        shape: Bounds of the links.

    Returns:
        All fit instances in a small fleet. A data centre without a fit instance has
        no hub.
    """
    ranked = _ranked(one for one in listed if one.name not in unfit)
    if len(listed) <= shape.full_mesh:
        return ranked
    sizes = defaultdict(int)
    for one in listed:
        sizes[one.data_centre] += 1
    return {
        place: names[: math.ceil(sizes[place] / shape.followers)]
        for place, names in ranked.items()
    }


def hub_of(me: Candidate, by_data_centre: dict[str, list[str]]) -> str | None:
    """Return the hub that an instance follows, None if it is a hub itself.

    An instance of a data centre without a hub is its own.

    >>> hub_of(Candidate("a2", "a", False), {"a": ["a1"], "b": ["b1"]})
    'a1'
    """
    near = by_data_centre.get(me.data_centre, [])
    if not near or me.name in near:
        return None
    return near[_weight(me.name) % len(near)]


def _ranked(candidates: Iterable[Candidate]) -> dict[str, list[str]]:
    by_data_centre: defaultdict[str, list[Candidate]] = defaultdict(list)
    for one in candidates:
        by_data_centre[one.data_centre].append(one)
    return {
        place: [
            one.name for one in sorted(ones, key=lambda o: (not o.strong, _order(o)))
        ]
        for place, ones in by_data_centre.items()
    }


def _order(one: Candidate) -> tuple[int, str]:
    return _weight(one.name), one.name


def _weight(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
