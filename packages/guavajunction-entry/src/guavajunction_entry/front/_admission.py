"""The checks that every request passes before it may run."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from guavajunction.configuration import Customer
from guavajunction.errors import BadRequest, InstanceNotReady, NotPermitted

from ._parts import FrontParts

NOT_READY_RETRY_SECONDS = 1.0


class Admission:
    """Checks standing and keys, once at arrival and again before a send."""

    def __init__(self, parts: FrontParts) -> None:
        self._parts = parts

    def customer_of(self, req: web.Request) -> Customer:
        """Return the customer whose key a request carries.

        Raises:
            InstanceNotReady: This instance may not trust its keys now.
            KeyMissing: The request carries no key.
            KeyRefused: The key is unknown or withdrawn.
        """
        self.check_standing()
        return self._parts.key_ring.authenticate(req.headers.get("Authorization"))

    def check_standing(self) -> None:
        """Raise `InstanceNotReady` unless this instance may serve."""
        if not self._parts.standing():
            raise InstanceNotReady(
                "this instance cannot confirm its configuration; use another one",
                retry_after=NOT_READY_RETRY_SECONDS,
            )

    def recheck(self, req: web.Request) -> Callable[[], None]:
        """Return a check that a request's key is still valid, for use after waits.

        The key itself is looked up again only if the configuration has changed.
        """
        checked_version = self._parts.configuration().version

        def check() -> None:
            self.check_standing()
            if self._parts.configuration().version != checked_version:
                self.customer_of(req)

        return check

    def check_model(self, customer: Customer, name: str) -> None:
        """Raise `NotPermitted` unless the customer may use a model."""
        if customer.models and name not in customer.models:
            raise NotPermitted(f"{customer.name!r} may not use {name!r}")


def bearer_token_of(req: web.Request) -> str:
    """Return the token of a request's `Authorization` header, or an empty text."""
    return req.headers.get("Authorization", "").partition(" ")[2].strip()


def refuse_embedded_key(content: bytes, req: web.Request) -> None:
    """Raise `BadRequest` if what goes to a backend server holds the caller's key."""
    key = bearer_token_of(req).encode()
    if key and key in content:
        raise BadRequest("the key belongs in the Authorization header alone")
