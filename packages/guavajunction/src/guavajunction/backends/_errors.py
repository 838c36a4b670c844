"""Failures between this instance and a backend server."""

from __future__ import annotations

from guavajunction.errors import GuavaError, OrderRefused


class BackendUnreachable(GuavaError):
    """A backend server gave no usable answer to a query."""


class OrderNotSent(GuavaError):
    """No connection could be made: the order has certainly not arrived."""


class OrderUnanswered(GuavaError):
    """An order was sent and not answered: it may take effect at any time."""


class OrderStale(OrderRefused):
    """The engine has seen a higher fencing number."""

    def __init__(self, message: str, last_fence: int) -> None:
        super().__init__(message)
        self.last_fence = last_fence
        """The highest fencing number that the engine has seen."""


class OrderLacksMemory(OrderRefused):
    """The engine has no memory for what it was to load."""


class LedgerRefused(GuavaError):
    """The ledger's rules forbid an order."""


class MemoryCommitted(LedgerRefused):
    """The memory is taken, or may yet be taken, by something else."""


class OrderPending(LedgerRefused):
    """Another order for the same artifact may still take effect."""


class AlreadyResident(LedgerRefused):
    """The artifact is in memory already."""


class BaseMissing(LedgerRefused):
    """An adapter's base model is not in memory."""


class NotResident(LedgerRefused):
    """The artifact is not in memory."""


class BaseInUse(LedgerRefused):
    """Adapters of a base model are still in memory."""


class LedgerUnsettled(GuavaError):
    """The ledger's row could not be written or its outcome is unknown."""
