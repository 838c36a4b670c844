"""Versions of a store that can come back from an older copy of itself.

Such a store counts how often it came back: its era. Within an era its versions only
rise; after a return they fall and are given out again for other rows. A position
combines both numbers into one integer, so that positions of a later era are greater
than all positions of an earlier one. The store of an installation without eras has
era 0, where positions and versions are equal.
"""

from __future__ import annotations

ERA_SHIFT = 40
"""Number of low bits that hold the store's version."""
MAX_ERA = 2**13 - 1
"""Highest era. Positions fit into 53 bits, so that every JSON decoder keeps them."""
MAX_VERSION = 2**ERA_SHIFT - 1
"""Highest version of the store within an era."""


def position(era: int, version: int) -> int:
    """Return the position of a store's version in an era.

    >>> position(0, 7)
    7
    >>> position(2, 7) > position(1, 900)
    True
    """
    return era << ERA_SHIFT | version


def era_of(position: int) -> int:
    """Return the era of a position, 0 or more."""
    return max(position, 0) >> ERA_SHIFT


def version_of(position: int) -> int:
    """Return the store's version at a position."""
    return position & MAX_VERSION
