"""Backend servers: their state, their memory and orders to load and unload."""

from __future__ import annotations

from ._client import HttpBackendClient, backend_session
from ._errors import (
    AlreadyResident,
    BackendUnreachable,
    BaseInUse,
    BaseMissing,
    LedgerRefused,
    LedgerUnsettled,
    MemoryCommitted,
    NotResident,
    OrderLacksMemory,
    OrderNotSent,
    OrderPending,
    OrderStale,
    OrderUnanswered,
)
from ._inventory import Inventory
from ._ledger import Intent, Ledger, LedgerRecord
from ._model import (
    LOADING,
    READY,
    UNLOADING,
    BackendState,
    CacheEvent,
    CacheEvents,
    LoadReport,
    Order,
    Resident,
)
from ._order_manager import OrderManager
from ._protocols import BackendClient, Members
from ._retirement import Retirement

__all__ = [
    "LOADING",
    "READY",
    "UNLOADING",
    "AlreadyResident",
    "BackendClient",
    "BackendState",
    "BackendUnreachable",
    "BaseInUse",
    "BaseMissing",
    "CacheEvent",
    "CacheEvents",
    "HttpBackendClient",
    "Intent",
    "Inventory",
    "Ledger",
    "LedgerRecord",
    "LedgerRefused",
    "LedgerUnsettled",
    "LoadReport",
    "Members",
    "MemoryCommitted",
    "NotResident",
    "Order",
    "OrderManager",
    "OrderLacksMemory",
    "OrderNotSent",
    "OrderPending",
    "OrderStale",
    "OrderUnanswered",
    "Resident",
    "Retirement",
    "backend_session",
]
