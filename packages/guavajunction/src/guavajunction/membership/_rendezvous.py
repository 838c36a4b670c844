"""Rendezvous hashing of keys to members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from guavajunction.peers import PeerId


def owner(key: str, members: Iterable[PeerId]) -> PeerId:
    """Return the member that a key is assigned to.

    The result depends only on the key and the set of members. Adding or removing a
    member reassigns only the keys that this member gains or loses.

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
