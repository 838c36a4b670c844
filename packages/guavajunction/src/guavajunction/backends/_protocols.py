"""What the backends aggregate needs from its collaborators."""

from __future__ import annotations

from typing import Protocol

from guavajunction.peers import PeerId

from ._model import CacheEvents, LoadReport, Order


class BackendClient(Protocol):
    """Calls the administrative interface of backend servers."""

    async def load(self, address: str) -> LoadReport:
        """Read the load of an engine.

        Raises:
            BackendUnreachable: It gave no usable answer.
        """
        ...

    async def service_load(self, address: str) -> LoadReport:
        """Read the health of a plain service, and its load if it reports any.

        Raises:
            BackendUnreachable: It is not healthy.
        """
        ...

    async def cache_events(self, address: str, after: int) -> CacheEvents:
        """Read the cache events after a sequence number.

        Raises:
            BackendUnreachable: It gave no usable answer.
        """
        ...

    async def order(self, address: str, order: Order) -> None:
        """Send an order and return once the engine has accepted it.

        Raises:
            OrderUnanswered: The order may or may not have arrived.
            OrderNotSent: The order has certainly not arrived.
            OrderStale: The engine has seen a higher fencing number.
            OrderLacksMemory: The engine has no memory for it.
            OrderRefused: The engine refused it for another reason.
        """
        ...


class Members(Protocol):
    """Chooses one live instance for each key."""

    def author(self, key: str) -> PeerId | None:
        """Return the instance that is responsible for a key, None if unknown."""
        ...
