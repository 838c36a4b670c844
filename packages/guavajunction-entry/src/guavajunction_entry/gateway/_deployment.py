"""What a deployment supplies to the gateway daemon."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from guavajunction.gateway import BackendCaller, BackendRecord, Catalogue, Gateway
from guavajunction.metrics import MetricsRegistry
from guavajunction.storage import ChangeFeed, TableService
from guavajunction.swapping import OrderSender

from ._settings import GatewaySettings


class RowAddress(NamedTuple):
    """Where a row lies in the store."""

    partition: str
    sort: str


class FrontParts(NamedTuple):
    """What the listeners answer from."""

    gateway: Gateway
    addresses: Callable[[str | None], list[str]]
    """Fronts for callers of a data centre, `host:port`."""
    ttl_seconds: Callable[[], float]
    """How long callers may keep them."""
    ready: Callable[[], bool]
    closing: Callable[[], bool]
    """Whether connections end with their next answer."""
    metrics: MetricsRegistry


class Deployment(Protocol):
    """Everything that differs from one deployment to the next."""

    @property
    def table(self) -> TableService:
        """Return the store's conditional reads and writes."""
        ...

    @property
    def feed(self) -> ChangeFeed:
        """Return the store's changes."""
        ...

    @property
    def caller(self) -> BackendCaller:
        """Return what sends requests to backend servers."""
        ...

    @property
    def orders(self) -> OrderSender:
        """Return what sends orders to backend servers."""
        ...

    @property
    def configuration_row(self) -> RowAddress:
        """Return the row that the operator writes."""
        ...

    @property
    def backends_partition(self) -> str:
        """Return the partition in which backend servers enter themselves."""
        ...

    def decode_configuration(self, body: bytes) -> Catalogue:
        """Decode the operator's row.

        Raises:
            DocumentInvalid: It is malformed.
        """
        ...

    def decode_backend(self, name: str, body: bytes) -> BackendRecord:
        """Decode a backend server's row.

        Raises:
            DocumentInvalid: It names no backend server to use.
        """
        ...

    def read_settings(self) -> GatewaySettings:
        """Read this instance's settings as they are now.

        Raises:
            SettingsInvalid: They can't be read.
        """
        ...

    def listen(self, parts: FrontParts) -> AbstractAsyncContextManager[None]:
        """Answer callers, directory and readiness checks while entered."""
        ...
