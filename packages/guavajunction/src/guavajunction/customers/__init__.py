"""Customers: their keys and the limits of their rate and burst."""

from __future__ import annotations

from guavajunction.customers._credentials import strip_credentials
from guavajunction.customers._equal_split import EqualSplit
from guavajunction.customers._key_ring import KeyRing, bearer_token
from guavajunction.customers._keys import IssuedKey, digest, issue
from guavajunction.customers._limits import Limits, Settleable
from guavajunction.customers._members import Members
from guavajunction.customers._rate_limits import RateLimits
from guavajunction.customers._reservation import Reservation

__all__ = [
    "EqualSplit",
    "IssuedKey",
    "KeyRing",
    "Limits",
    "Members",
    "RateLimits",
    "Reservation",
    "Settleable",
    "bearer_token",
    "digest",
    "issue",
    "strip_credentials",
]
