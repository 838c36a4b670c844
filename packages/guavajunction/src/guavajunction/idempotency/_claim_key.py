"""Maps idempotency keys to partitions and rows of the table."""

from __future__ import annotations

import hashlib

from ._model import ClaimKey

PARTITIONS = 256
"""Number of partitions of the claims, so that one query can read a partition."""


def claim_key(customer: str, idempotency_key: str) -> ClaimKey:
    """Return the row key of the claim for a customer's idempotency key.

    The idempotency key is hashed, since it may contain personal data.

    >>> claim_key("a", "1").partition == claim_key("a", "1").partition
    True
    """
    key_hash = hashlib.sha256(idempotency_key.encode()).hexdigest()
    sort_hash = hashlib.sha256(f"{customer}/{key_hash}".encode()).digest()
    return ClaimKey(partition(sort_hash[0]), f"{customer}/{key_hash}")


def partition(number: int) -> str:
    """Return the name of the partition with a number, from 0.

    >>> partition(10)
    'once/0a'
    """
    return f"once/{number:02x}"
