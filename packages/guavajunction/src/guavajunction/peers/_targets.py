"""Strategies that select the instances to link to."""

from __future__ import annotations

from typing import Protocol

from guavajunction.storage import InstanceRecord


class TargetStrategy(Protocol):
    """Selects the instances that an instance links to; must be symmetric.

    If `a` selects `b` from a set of records, `b` must select `a` from the same set,
    because two instances confirm each other's heartbeats only with a link in each
    direction.
    """

    def choose(self, me: str, records: list[InstanceRecord]) -> list[InstanceRecord]:
        """Return the instances to link to.

        Args:
            me: Name of the instance whose links are selected.
            records: All known instances, possibly including `me`.
        """
        ...


class FullMesh:
    """Links to every instance, also to another one of the same name."""

    def choose(self, me: str, records: list[InstanceRecord]) -> list[InstanceRecord]:
        """Return every record; the mesh itself skips its own address."""
        return list(records)


class RingSubset:
    """Links to the instances at distances 1, 2, 4, ... on a ring sorted by name.

    Any two of n instances are then at most about log2(n) / 2 links apart, and the
    number of links of an instance grows with log2(n).
    """

    def choose(self, me: str, records: list[InstanceRecord]) -> list[InstanceRecord]:
        """Return the instances at power-of-two distances in both directions.

        >>> from guavajunction.storage import InstanceRecord
        >>> fleet = [InstanceRecord(f"e{i}", "a", "", 0, 0, "live") for i in range(9)]
        >>> [record.name for record in RingSubset().choose("e0", fleet)]
        ['e1', 'e2', 'e4', 'e5', 'e7', 'e8']
        """
        ring = sorted({record.name for record in records} | {me})
        position, size = ring.index(me), len(ring)
        chosen: set[str] = set()
        distance = 1
        while distance <= size // 2:
            chosen |= {
                ring[(position + distance) % size],
                ring[(position - distance) % size],
            }
            distance *= 2
        return [record for record in records if record.name in chosen - {me}]
