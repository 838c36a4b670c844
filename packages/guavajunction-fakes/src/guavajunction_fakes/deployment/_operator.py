"""The operator: writes configurations to the store."""

from __future__ import annotations

from typing import Any

from . import _wire as wire
from ._store import FakeStore

ENGINES = "engines"
BOOKINGS = "bookings"
MODEL_SIZES = {"m1": 60.0, "m2": 40.0, "m3": 40.0}
"""Weights in MB."""
MEMORY_MB = 130.0
"""Accelerator memory of a runner: two models and the adapters."""


class Operator:
    """Writes a small configuration and changes it."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.version = 0
        """Version written last."""
        self.load_seconds = 0.1
        """Time that a model takes from the weight store, in the next version."""
        self.customers: dict[str, dict[str, Any]] = {
            "atelier": wire.customer("atelier", ["key-of-atelier"])
        }
        """Customers of the next version."""
        self.routes: dict[str, dict[str, Any]] = {
            "draft": wire.route("draft", "/draft/", "streaming", ENGINES),
            "long": wire.route(
                "long", "/long/", "streaming", ENGINES, attempts=2, resumable=True
            ),
            "book": wire.route("book", "/book/", "unsafe", BOOKINGS),
            "look": wire.route("look", "/look/", "safe", BOOKINGS, attempts=2),
        }
        """Routes of the next version."""

    def add_customer(
        self, name: str, keys: list[str], *, rate: float = 0, burst: float = 0
    ) -> None:
        """Add or replace a customer in the next version."""
        self.customers[name] = wire.customer(name, keys, rate=rate, burst=burst)

    def write(self) -> int:
        """Write the next version and return its number."""
        self.version += 3
        services = [
            wire.engine_service(
                ENGINES,
                MODEL_SIZES,
                memory_mb=MEMORY_MB,
                load_seconds=self.load_seconds,
            ),
            wire.plain_service(BOOKINGS),
        ]
        content = wire.configuration(
            self.version,
            list(self.routes.values()),
            services,
            list(self.customers.values()),
        )
        self._store.write("op", "config", content)
        return self.version
