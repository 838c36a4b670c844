"""Clients of the platform's table service, object store and instance list."""

from __future__ import annotations

from ._instances import InstanceListClient
from ._objects import ObjectClient
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
from ._table import TableClient
from ._watcher import PartitionWatcher

__all__ = [
    "ChangeFeed",
    "Changes",
    "InstanceList",
    "InstanceListClient",
    "InstanceRecord",
    "ObjectClient",
    "ObjectStore",
    "PartitionWatcher",
    "Row",
    "RowChange",
    "TableClient",
    "TableService",
]
