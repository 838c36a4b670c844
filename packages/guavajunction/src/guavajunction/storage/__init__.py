"""Clients of the platform's table service, object store and instance list."""

from __future__ import annotations

from ._instances import InstanceListClient
from ._objects import ObjectClient
from ._observed_store import ObservedStore, Store
from ._position import MAX_ERA, MAX_VERSION, era_of, position, version_of
from ._protocols import (
    ChangeFeed,
    Changes,
    InstanceList,
    InstanceRecord,
    ObjectStore,
    Row,
    RowChange,
    TableService,
)
from ._store_era import StoreEra
from ._table import TableClient
from ._watcher import PartitionWatcher

__all__ = [
    "MAX_ERA",
    "MAX_VERSION",
    "ChangeFeed",
    "Changes",
    "InstanceList",
    "InstanceListClient",
    "InstanceRecord",
    "ObjectClient",
    "ObjectStore",
    "ObservedStore",
    "PartitionWatcher",
    "Row",
    "RowChange",
    "Store",
    "StoreEra",
    "TableClient",
    "TableService",
    "era_of",
    "position",
    "version_of",
]
