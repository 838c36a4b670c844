"""Customers: their keys and the limits of their rate and burst."""

from __future__ import annotations

from ._credentials import strip_credentials
from ._equal_split import EqualSplit
from ._key_authenticator import KeyRing, bearer_token
from ._keys import IssuedKey, digest, issue
from ._members import Members
from ._rate_limit_policy import Limits, Settleable
from ._rate_limits import RateLimits
from ._reservation import Reservation

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
