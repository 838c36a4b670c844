"""The interface that a deployment implements for the gateway daemon."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from guavajunction.gateway import BackendCaller, BackendRecord, Catalogue, Gateway
from guavajunction.metrics import MetricsRegistry
from guavajunction.storage import Store
from guavajunction.swapping import OrderSender
from guavajunction.tunnels import TunnelConnector

from ._settings import GatewaySettings


class RowAddress(NamedTuple):
    """Address of a row in the store."""

    partition: str
    sort: str


class DirectoryQuery(NamedTuple):
    """What a caller of the directory says of itself; None or empty if it does not."""

    host: str = ""
    """Host of the routes that it will call."""
    region: str | None = None
    data_centre: str | None = None


class ListenerParts(NamedTuple):
    """Dependencies of the listeners for callers, directory and readiness checks."""

    gateway: Gateway
    addresses: Callable[[DirectoryQuery], list[str]]
    """Returns the `host:port` of instances for a caller of the directory."""
    ttl_seconds: Callable[[], float]
    """Returns how long callers may cache the addresses, in seconds."""
    ready: Callable[[], bool]
    """Returns whether the instance accepts callers."""
    closing: Callable[[], bool]
    """Returns whether connections are closed after their next answer."""
    metrics: MetricsRegistry


class CallerConnections(Protocol):
    """Open connections of callers."""

    @property
    def unread(self) -> int:
        """Return the number of connections whose callers still read an answer."""
        ...


class Deployment(Protocol):
    """Deployment-specific platform access, formats and listeners."""

    @property
    def store(self) -> Store:
        """Return the client of the store."""
        ...

    @property
    def caller(self) -> BackendCaller:
        """Return the client that sends requests to backend servers."""
        ...

    @property
    def backend_connections(self) -> TunnelConnector:
        """Return the connections of `caller`."""
        ...

    @property
    def orders(self) -> OrderSender:
        """Return the client that sends orders to backend servers."""
        ...

    @property
    def configuration_row(self) -> RowAddress:
        """Return the address of the configuration row, which the operator writes."""
        ...

    @property
    def backends_partition(self) -> str:
        """Return the name of the partition where backend servers write their rows."""
        ...

    def decode_configuration(self, body: bytes) -> Catalogue:
        """Decode the configuration row.

        Raises:
            DocumentInvalid: The row is malformed.
        """
        ...

    def decode_evacuation(self, sort: str) -> str | None:
        """Return the data centre that a row evacuates as long as it exists.

        Args:
            sort: Sort key of a row of the configuration's partition.

        Returns:
            The data centre; None if the row is of another kind.

        Raises:
            DocumentInvalid: The key names no data centre.
        """
        ...

    def decode_backend(self, name: str, body: bytes) -> BackendRecord:
        """Decode a backend server's row.

        Raises:
            DocumentInvalid: The row describes no usable backend server.
        """
        ...

    def read_settings(self) -> GatewaySettings:
        """Read the current settings of this instance.

        Raises:
            SettingsInvalid: The settings can't be read or are invalid.
        """
        ...

    def listen(
        self, parts: ListenerParts
    ) -> AbstractAsyncContextManager[CallerConnections]:
        """Return a context manager that runs the listeners while it is entered."""
        ...
