"""Orders to backend servers and their answers."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from guavajunction.gateway import BackendRecord


class OrderKind(StrEnum):
    """Action of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """An order to load or unload a model or an adapter."""

    kind: OrderKind
    model: str
    adapter: str
    """Name of the adapter; empty if the order is for the model."""
    expected_orders: int
    """Number of orders that the backend server has accepted so far. If it has accepted
    another number, it refuses this order."""
    leader: str
    """Name of the instance that sends the order."""
    fence: int
    """Fencing number of the leader."""


class OrderOutcome(StrEnum):
    """Answer of a backend server to an order."""

    ACCEPTED = "accepted"
    """The order is being executed."""
    HOLDS = "holds"
    """The ordered state is already reached."""
    CONFLICT = "conflict"
    """Another order is in progress, or the number of accepted orders differs."""
    STALE = "stale"
    """The backend server has seen a higher fencing number."""
    REJECTED = "rejected"
    """The order was for another backend server, or cannot be executed."""


class EngineReport(NamedTuple):
    """A backend server's report of its state."""

    orders_accepted: int
    models: dict[str, frozenset[str]]
    """Adapters by resident model, including adapters that are being loaded."""
    busy: bool
    """Whether a model is being loaded or unloaded."""


class OrderSender(Protocol):
    """Sends orders and fetches reports, without retries."""

    on_limit: Callable[[BackendRecord, str], None]
    """Called with the limit that a backend server names in an answer."""

    async def send(self, backend: BackendRecord, order: Order) -> OrderOutcome:
        """Send an order.

        Raises:
            NotSent: Nothing was sent.
            OutcomeUnknown: The order may have been accepted or may be executed later.
        """
        ...

    async def report(self, backend: BackendRecord) -> EngineReport:
        """Fetch a report, which is expensive for the backend server.

        Raises:
            NotSent: The backend server was unreachable or its answer was invalid.
        """
        ...

    async def answers(self, backend: BackendRecord) -> bool:
        """Return whether a backend server answers on a direct connection."""
        ...
