"""Places claims in partitions of the table."""

from __future__ import annotations

import hashlib

from ._model import ClaimKey

PARTITIONS = 256
"""Partitions that claims spread over, so that each can be read whole."""


def claim_key(customer: str, idempotency_key: str) -> ClaimKey:
    """Return where the claim of a customer's idempotency key is.

    The idempotency key is hashed, since callers may put personal data into it.

    >>> claim_key("a", "1").partition == claim_key("a", "1").partition
    True
    """
    hashed = hashlib.sha256(idempotency_key.encode()).hexdigest()
    whole = hashlib.sha256(f"{customer}/{hashed}".encode()).digest()
    return ClaimKey(partition(whole[0]), f"{customer}/{hashed}")


def partition(number: int) -> str:
    """Return the name of a partition, by its number from 0.

    >>> partition(10)
    'once/0a'
    """
    return f"once/{number:02x}"
