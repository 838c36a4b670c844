"""Maps idempotency keys to partitions and rows of the table."""

from __future__ import annotations

import hashlib

from ._model import ClaimKey

PARTITIONS = 256
"""Number of partitions for claims, so that each can be read with one query."""


def claim_key(customer: str, idempotency_key: str) -> ClaimKey:
    """Return the row key of the claim for a customer's idempotency key.

    The idempotency key is hashed, since it may contain personal data.

    >>> claim_key("a", "1").partition == claim_key("a", "1").partition
    True
    """
    hashed = hashlib.sha256(idempotency_key.encode()).hexdigest()
    whole = hashlib.sha256(f"{customer}/{hashed}".encode()).digest()
    return ClaimKey(partition(whole[0]), f"{customer}/{hashed}")


def partition(number: int) -> str:
    """Return the name of a partition by its number, from 0.

    >>> partition(10)
    'once/0a'
    """
    return f"once/{number:02x}"
