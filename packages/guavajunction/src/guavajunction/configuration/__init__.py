"""The configuration document and the version of it that is in force."""

from __future__ import annotations

from ._model import (
    EMPTY,
    Adapter,
    BackendServer,
    Configuration,
    Customer,
    KeyRecord,
    Model,
    Objective,
    Route,
    Service,
)

__all__ = [
    "EMPTY",
    "Adapter",
    "BackendServer",
    "Configuration",
    "Customer",
    "KeyRecord",
    "Model",
    "Objective",
    "Route",
    "Service",
]
