"""Interfaces that the backends aggregate requires."""

from __future__ import annotations

from typing import Protocol

from guavajunction.peers import PeerId

from ._model import CacheEvents, LoadReport, Order


class BackendClient(Protocol):
    """Calls the administrative interface of backend servers."""

    async def load(self, address: str) -> LoadReport:
        """Read the load report of an engine.

        Raises:
            BackendUnreachable: The engine gave no valid response.
        """
        ...

    async def service_load(self, address: str) -> LoadReport:
        """Check the health of a plain service and read its load report.

        The report is empty if the service has no load endpoint.

        Raises:
            BackendUnreachable: The service is not healthy.
        """
        ...

    async def cache_events(self, address: str, after: int) -> CacheEvents:
        """Read the cache events with sequence numbers above `after`.

        Raises:
            BackendUnreachable: The engine gave no valid response.
        """
        ...

    async def order(self, address: str, order: Order) -> None:
        """Send an order and return once the engine has accepted it.

        Raises:
            OrderUnanswered: No response; the order may still take effect.
            OrderNotSent: No connection was made; the order did not arrive.
            OrderStale: The engine has seen a higher fencing number.
            OrderLacksMemory: The free memory of the engine is too small.
            OrderRefused: The engine refused the order for another reason.
        """
        ...


class Members(Protocol):
    """Assigns each key to one live instance."""

    def owner_of(self, key: str) -> PeerId | None:
        """Return the instance that a key is assigned to, None if unknown."""
        ...
