"""Errors of queries and orders to backend servers, and of the memory ledger."""

from __future__ import annotations

from guavajunction.errors import GuavaError, OrderRefused


class BackendUnreachable(GuavaError):
    """A backend server gave no valid response to a query."""


class OrderNotSent(GuavaError):
    """No connection was made, so the order did not reach the engine."""


class OrderUnanswered(GuavaError):
    """An order was sent without a response; it may still take effect."""


class OrderStale(OrderRefused):
    """The engine refused an order: it has seen a higher fencing number."""

    def __init__(self, message: str, last_fence: int) -> None:
        super().__init__(message)
        self.last_fence = last_fence
        """The highest fencing number that the engine has seen."""


class OrderLacksMemory(OrderRefused):
    """The engine refused a load: its free memory is too small."""


class LedgerRefused(GuavaError):
    """The rules of the memory ledger forbid an order."""


class MemoryCommitted(LedgerRefused):
    """The memory is used, or reserved by orders that may still take effect."""


class OrderPending(LedgerRefused):
    """Another order for the same artifact may still take effect."""


class AlreadyResident(LedgerRefused):
    """The artifact to load is already in memory."""


class BaseMissing(LedgerRefused):
    """The base model of an adapter is not ready in memory."""


class NotResident(LedgerRefused):
    """The artifact to unload is not in memory."""


class BaseInUse(LedgerRefused):
    """Adapters of a base model are still in memory."""


class LedgerUnsettled(GuavaError):
    """The ledger cannot be used.

    It has not been read, its backend server is not configured, or the result of a
    write is unknown.
    """
