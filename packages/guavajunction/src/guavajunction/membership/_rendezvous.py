"""Rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from guavajunction.peers import PeerId


def owner(key: str, members: Iterable[PeerId]) -> PeerId:
    """Return the member that a key falls to.

    Every instance with the same members finds the same one, and a member that comes
    or goes moves only the keys that fall to it.

    Args:
        key: Any text.
        members: At least one member.

    >>> from guavajunction.peers import PeerId
    >>> members = [PeerId("a", "1"), PeerId("b", "2"), PeerId("c", "3")]
    >>> owner("customer/x", members) == owner("customer/x", members[::-1])
    True
    """
    return max(members, key=lambda member: (_weight(key, member), member))


def _weight(key: str, member: PeerId) -> int:
    text = f"{member.name}/{member.incarnation}/{key}"
    return xxhash.xxh3_64_intdigest(text.encode())
