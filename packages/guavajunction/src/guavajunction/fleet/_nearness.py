"""Which instances a caller is told to use.

Answers callers spread evenly over data centres: a caller that stays in its own costs no
traffic between them. A few instances elsewhere stay on the list, as callers keep it
for a while and must have somewhere to go if their data centre is lost meanwhile.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ._roster import Member

MAX_ADDRESSES = 64
"""Addresses that callers read of an answer."""
NEAR_PER_FAR_ADDRESS = 4
"""One address elsewhere for so many near ones."""


def choose_fronts(
    members: Sequence[Member],
    data_centre: str | None,
    *,
    near_enough: int,
    rng: random.Random,
) -> list[str]:
    """Return the addresses of instances to use, `host:port`.

    Args:
        members: Instances that are heard; those that aren't ready are left out.
        data_centre: Where the caller is; None if it did not say.
        near_enough: Ready instances of the caller's data centre from which on it is
            told of few others. With fewer, load would gather on them.
        rng: Draws the instances elsewhere, so that each gets its part.
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
