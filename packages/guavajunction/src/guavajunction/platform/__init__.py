"""Clients of the platform's services."""

from __future__ import annotations

from ._instances import InstanceListClient
from ._objects import ObjectClient
from ._protocols import (
    InstanceList,
    InstanceRecord,
    ObjectStore,
    Row,
    TableService,
)
from ._table import TableClient

__all__ = [
    "InstanceList",
    "InstanceListClient",
    "InstanceRecord",
    "ObjectClient",
    "ObjectStore",
    "Row",
    "TableClient",
    "TableService",
]
