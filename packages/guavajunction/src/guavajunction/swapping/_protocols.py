"""Orders to backend servers, and what they answer."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from guavajunction.gateway import BackendRecord


class OrderKind(StrEnum):
    """What an order changes."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """One order; it names a model, or an adapter of one."""

    kind: OrderKind
    model: str
    adapter: str
    """Empty for the model itself."""
    expected_orders: int
    """Orders that the backend server must have accepted so far, else it refuses."""
    leader: str
    """Instance that gives the order."""
    fence: int
    """The author's fencing number."""


class OrderOutcome(StrEnum):
    """What a backend server made of an order."""

    ACCEPTED = "accepted"
    """It is being carried out."""
    HOLDS = "holds"
    """It holds already."""
    CONFLICT = "conflict"
    """Another order is in progress, or the number of orders differs."""
    STALE = "stale"
    """It has seen a higher fencing number."""
    REJECTED = "rejected"
    """It is not the backend server meant, or can't do this."""


class EngineReport(NamedTuple):
    """What a backend server holds, asked of itself."""

    orders_accepted: int
    models: dict[str, frozenset[str]]
    """Adapters by resident model, those on their way included."""
    busy: bool
    """Whether an order for a model is in progress."""


class OrderSender(Protocol):
    """Sends orders; each is sent once."""

    async def send(self, backend: BackendRecord, order: Order) -> OrderOutcome:
        """Send an order.

        Raises:
            NotSent: No byte went out.
            OutcomeUnknown: It may have been accepted, or be carried out later.
        """
        ...

    async def report(self, backend: BackendRecord) -> EngineReport:
        """Ask a backend server what it holds; this costs it work.

        Raises:
            NotSent: It was not reached, or gave no usable answer.
        """
        ...
