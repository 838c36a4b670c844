"""Customers: their keys and the limits of their rate and burst."""

from __future__ import annotations

from ._credentials import strip_credentials
from ._equal_split import EqualSplitLimits
from ._key_authenticator import KeyAuthenticator, bearer_token
from ._keys import IssuedKey, digest, issue
from ._members import Members
from ._rate_limit_policy import RateLimitPolicy, TokenReservation
from ._rate_limits import RateLimits
from ._reservation import Reservation

__all__ = [
    "EqualSplitLimits",
    "IssuedKey",
    "KeyAuthenticator",
    "RateLimitPolicy",
    "Members",
    "RateLimits",
    "Reservation",
    "TokenReservation",
    "bearer_token",
    "digest",
    "issue",
    "strip_credentials",
]
