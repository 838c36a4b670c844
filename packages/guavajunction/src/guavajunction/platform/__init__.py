"""Clients of the platform's services."""

from __future__ import annotations

from ._protocols import (
    InstanceList,
    InstanceRecord,
    ObjectStore,
    Row,
    TableService,
)

__all__ = [
    "InstanceList",
    "InstanceRecord",
    "ObjectStore",
    "Row",
    "TableService",
]
