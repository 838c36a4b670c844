"""Settings of a gateway instance that the deployment provides."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from guavajunction.gateway import RateLimitBounds, RetryBounds
from guavajunction.intake import ColdBounds


class ListenAddress(NamedTuple):
    """Address of a listening socket."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StoreSettings(NamedTuple):
    """Settings of the platform's store."""

    address: str
    """`host:port`."""


class OrderBounds(NamedTuple):
    """Limits on orders to backend servers."""

    lease_seconds: float
    """Minimum time between the orders of two successive leaders."""
    load_window_seconds: float
    """Length of the window over which loads from the weight store are rate limited."""


class Capacity(NamedTuple):
    """Resources of the machine that runs an instance."""

    cores: float
    """Number of ordinary cores that the process may use."""
    link_mbps: float
    """Network bandwidth in megabits per second."""
    memory_mb: float | None = None
    """Memory of the machine; None if it is not known, which sets no limit."""
    max_descriptors: int | None = None
    """Descriptors that the machine allows; None if not known, which sets no limit."""

    @property
    def strong(self) -> bool:
        """Return whether the instance has enough capacity to be a hub.

        A hub with 32 followers in a fleet of 80 instances sends and receives about
        2 Mbit/s and uses about a tenth of a core. Most of the machine's capacity must
        stay free.
        """
        return self.cores >= 1.0 and self.link_mbps >= 20.0


class GatewaySettings(NamedTuple):
    """Settings of a gateway instance."""

    instance: str
    """Name of the instance, unique in the fleet."""
    address: str
    """IP address of the instance."""
    data_centre: str
    front: ListenAddress
    """Listener for callers."""
    readiness: ListenAddress
    """Listener for readiness checks."""
    directory: ListenAddress | None
    """Listener for directory requests; None if the instance serves no directory."""
    peer_port: int
    """Port for links between instances."""
    store: StoreSettings
    grace_seconds: float
    """Time from the stop signal until the platform kills the process."""
    directory_ttl_seconds: float
    """Maximum time for which callers may cache the directory's answer."""
    retries: RetryBounds
    allowances: RateLimitBounds
    orders: OrderBounds
    tunnel_port: int = 0
    """Port for tunnels of other instances to backend servers, the same on all
    instances; 0 for none."""
    regions: Mapping[str, str] = MappingProxyType({})
    """Region of each data centre, as far as it is known."""
    capacity: Capacity = Capacity(1.0, 100.0)
    cold: ColdBounds = ColdBounds()
    """Bound on the requests to cold backend servers."""
