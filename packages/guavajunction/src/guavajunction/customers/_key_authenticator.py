"""Finds the customer that a request's key belongs to."""

from __future__ import annotations

import hmac
from collections.abc import Callable

from guavajunction.configuration import Configuration, Customer
from guavajunction.errors import KeyMissing, KeyRefused

from ._keys import KEY_PATTERN, digest

BEARER = "bearer"


class KeyRing:
    """Authenticates each request against the configuration in force.

    Nothing is remembered between requests, so a withdrawn key is refused on a
    connection that it was accepted on before.
    """

    def __init__(
        self, configuration: Callable[[], Configuration], pepper: bytes
    ) -> None:
        self._configuration = configuration
        self._pepper = pepper

    def authenticate(self, authorization: str | None) -> Customer:
        """Return the customer whose key the request carries.

        Args:
            authorization: Value of the `Authorization` header, None if there is none.

        Raises:
            KeyMissing: The header is missing or holds no bearer token.
            KeyRefused: The key is malformed, unknown or withdrawn.
        """
        key = bearer_token(authorization)
        if KEY_PATTERN.fullmatch(key) is None:
            raise KeyRefused("the key is not valid")
        cfg = self._configuration()
        hashed = digest(key, self._pepper)
        record = cfg.keys.get(hashed)
        if record is None or not hmac.compare_digest(record.digest, hashed):
            raise KeyRefused("the key is not valid")
        customer = cfg.customers.get(record.customer)
        if customer is None:
            raise KeyRefused("the key is not valid")
        return customer


def bearer_token(authorization: str | None) -> str:
    """Return the token of an `Authorization` header.

    >>> bearer_token("Bearer  abc ")
    'abc'

    Raises:
        KeyMissing: The header is missing or holds no bearer token.
    """
    scheme, _, token = (authorization or "").strip().partition(" ")
    if scheme.lower() != BEARER or not token.strip():
        raise KeyMissing("send the key as 'Authorization: Bearer <key>'")
    return token.strip()
