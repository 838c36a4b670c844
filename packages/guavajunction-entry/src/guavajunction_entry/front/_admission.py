"""Checks that a request must pass before it may run."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from guavajunction.configuration import Customer
from guavajunction.errors import BadRequest, InstanceNotReady, NotPermitted

from ._parts import FrontParts

NOT_READY_RETRY_SECONDS = 1.0
"""Delay suggested to callers for a retry while this instance may not serve."""


class Admission:
    """Checks at arrival and before each send whether a request may run.

    This instance must be allowed to serve, and the API key must be valid.
    """

    def __init__(self, parts: FrontParts) -> None:
        self._parts = parts

    def customer_of(self, req: web.Request) -> Customer:
        """Return the customer whose API key a request carries.

        Raises:
            InstanceNotReady: This instance can't confirm that its list of keys is
                current.
            KeyMissing: The request carries no key.
            KeyRefused: The key is unknown or withdrawn.
        """
        self.check_may_serve()
        return self._parts.key_authenticator.authenticate(
            req.headers.get("Authorization")
        )

    def check_may_serve(self) -> None:
        """Raise `InstanceNotReady` unless this instance may run callers' requests."""
        if not self._parts.may_serve():
            raise InstanceNotReady(
                "this instance cannot confirm its configuration; use another one",
                retry_after=NOT_READY_RETRY_SECONDS,
            )

    def create_recheck(self, req: web.Request) -> Callable[[], None]:
        """Return a function that checks again whether a request may run.

        Handlers call the function after each wait. The function authenticates the key
        again only if the configuration has changed.
        """
        checked_version = self._parts.configuration().version

        def check() -> None:
            self.check_may_serve()
            if self._parts.configuration().version != checked_version:
                self.customer_of(req)

        return check

    def check_model(self, customer: Customer, name: str) -> None:
        """Raise `NotPermitted` unless the customer may use the model."""
        if customer.models and name not in customer.models:
            raise NotPermitted(f"{customer.name!r} may not use {name!r}")


def bearer_token_of(req: web.Request) -> str:
    """Return the token of the `Authorization` header, or an empty string."""
    return req.headers.get("Authorization", "").partition(" ")[2].strip()


def refuse_embedded_key(content: bytes, req: web.Request) -> None:
    """Raise `BadRequest` if content for a backend server contains the caller's key."""
    key = bearer_token_of(req).encode()
    if key and key in content:
        raise BadRequest("the key belongs in the Authorization header alone")
