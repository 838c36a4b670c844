"""Format, generation and hashing of customer keys.

A key is `gj_<key id>_<secret>`. The key id is public. The secret is not stored: the
configuration contains only a keyed hash of the whole key.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import NamedTuple

from guavajunction.configuration import KeyRecord

KEY_ID_BYTES = 6
SECRET_BYTES = 24

KEY_PATTERN = re.compile(r"gj_[0-9a-f]{12}_[0-9a-f]{48}")
"""Matches a key anywhere in a text."""


class IssuedKey(NamedTuple):
    """A new key, shown to the operator only once, and its record to store."""

    key: str
    record: KeyRecord


def issue(customer: str, pepper: bytes) -> IssuedKey:
    """Generate a random key for a customer.

    Args:
        customer: Name of the customer.
        pepper: The fleet's secret key of the hash.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    key = f"gj_{key_id}_{secrets.token_hex(SECRET_BYTES)}"
    return IssuedKey(key, KeyRecord(key_id, customer, digest(key, pepper)))


def digest(key: str, pepper: bytes) -> str:
    """Return the keyed SHA-256 hash of a key in hexadecimal.

    >>> digest("gj_0_0", b"pepper") == digest("gj_0_0", b"other")
    False
    """
    return hmac.new(pepper, key.encode(), hashlib.sha256).hexdigest()
