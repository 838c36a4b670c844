"""Keys of limited size for the parts of prompts, whose ids callers choose."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from itertools import islice

MAX_RAW_ID = 16
"""Number of characters up to which an id is its own key."""
DIGEST_BYTES = 12
HASH_MARK = "#"
"""Begins the key of a longer id. An id that begins with it is hashed as well, so that
no id equals the key of another one."""
MAX_PARTS = 128
"""Number of parts of one prompt that are considered."""


def part_key(part_id: str) -> str:
    """Return the key of a part's id.

    >>> part_key("5c1e07a2")
    '5c1e07a2'
    >>> len(part_key("5c1e07a2" * 1000))
    25
    """
    if len(part_id) <= MAX_RAW_ID and not part_id.startswith(HASH_MARK):
        return part_id
    # A caller must not be able to choose an id with the key of another part.
    digest = hashlib.blake2b(
        part_id.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES
    )
    return HASH_MARK + digest.hexdigest()


def part_keys(part_ids: Iterable[str]) -> Iterator[str]:
    """Yield the keys of the first parts of a prompt."""
    return map(part_key, islice(part_ids, MAX_PARTS))
