"""What a gateway instance has to know before it starts."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.gateway import RateLimitBounds, RetryBounds


class ListenAddress(NamedTuple):
    """Where to listen."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StoreSettings(NamedTuple):
    """The platform's store."""

    address: str
    """`host:port`."""


class OrderBounds(NamedTuple):
    """What orders to backend servers keep to."""

    lease_seconds: float
    """Least time between the orders of two authors."""
    ceiling_window_seconds: float
    """Window in which loads from the weight store are counted."""


class Capacity(NamedTuple):
    """What an instance's machine gives it."""

    cores: float
    link_mbps: float
    """Megabits a second."""

    @property
    def strong(self) -> bool:
        """Return whether a hub's traffic leaves most of it free.

        A hub of 32 followers in a fleet of 80 sends and gets about 2 Mbit/s and needs
        about a tenth of a core.
        """
        return self.cores >= 1.0 and self.link_mbps >= 20.0


class GatewaySettings(NamedTuple):
    """Settings of one instance."""

    instance: str
    """Its name, unique in the fleet."""
    address: str
    """Its IP number."""
    data_centre: str
    front: ListenAddress
    """For callers."""
    readiness: ListenAddress
    directory: ListenAddress | None
    """Where callers ask which instances to use; None if this one does not say."""
    peer_port: int
    """For links between instances."""
    store: StoreSettings
    grace_seconds: float
    """From the stop signal to the forced end."""
    directory_ttl_seconds: float
    """Longest time that callers keep the directory's answer."""
    retries: RetryBounds
    allowances: RateLimitBounds
    orders: OrderBounds
    capacity: Capacity = Capacity(1.0, 100.0)
