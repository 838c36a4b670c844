"""Selects the instances that the directory returns to a caller.

Callers are assumed to be spread evenly over the data centres. A caller that uses the
instances of its own data centre causes no traffic between data centres. The list
also has a few instances of other data centres: callers cache the list, and need an
alternative if their own data centre fails before they refresh it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ._roster import Member

MAX_ADDRESSES = 64
"""Maximum number of addresses that callers read from a response."""
NEAR_PER_FAR_ADDRESS = 4
"""Number of addresses in the caller's data centre for each one in another."""


def choose_fronts(
    members: Sequence[Member],
    data_centre: str | None,
    *,
    near_enough: int,
    rng: random.Random,
) -> list[str]:
    """Return the addresses of the instances that a caller should use, `host:port`.

    Args:
        members: Live instances; instances that are not ready are skipped.
        data_centre: The caller's data centre, or None if it is unknown.
        near_enough: Minimum number of ready instances in the caller's data centre for
            a list with only a few of other data centres. Fewer instances than that
            would be overloaded.
        rng: Selects the instances of other data centres at random, so that each
            receives an equal share of callers.
    """
    ready = [member for member in members if member.ready]
    near = [member for member in ready if member.data_centre == data_centre]
    far = [member for member in ready if member.data_centre != data_centre]
    if len(near) >= near_enough:
        near = rng.sample(
            near,
            min(
                len(near),
                MAX_ADDRESSES * NEAR_PER_FAR_ADDRESS // (NEAR_PER_FAR_ADDRESS + 1),
            ),
        )
        far = rng.sample(far, min(len(far), len(near) // NEAR_PER_FAR_ADDRESS))
    fronts = sorted(member.front for member in [*near, *far])
    return (
        fronts
        if len(fronts) <= MAX_ADDRESSES
        else sorted(rng.sample(fronts, MAX_ADDRESSES))
    )
