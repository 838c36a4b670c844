"""Stand-in for the operator, who writes configurations to the store."""

from __future__ import annotations

from typing import Any

from . import _wire as wire
from ._store import FakeStore

ENGINE_SERVICE = "engines"
BOOKING_SERVICE = "bookings"
MODEL_SIZES = {"m1": 60.0, "m2": 40.0, "m3": 40.0}
"""Size of each model's weights in MB."""
MEMORY_MB = 130.0
"""Accelerator memory of a runner, enough for two models and their adapters."""


class Operator:
    """Changes a small configuration and writes its versions to the store."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.version = 0
        """Number of the latest written version, 0 if there is none."""
        self._content: dict[str, Any] = {}
        self._evacuations: dict[str, bool] = {}
        self.load_seconds = 0.1
        """Load time of a model from the weight store, in the next version."""
        self.cold_rate: float | None = None
        """Requests a second to a cold runner of bookings, in the next version."""
        self.max_body_bytes = 100_000
        """Size of the largest body of a request, in the next version."""
        self.customers: dict[str, dict[str, Any]] = {
            "atelier": wire.customer("atelier", ["key-of-atelier"])
        }
        """Customers by name, in the next version."""
        self.routes: dict[str, dict[str, Any]] = {
            "draft": wire.route("draft", "/draft/", "streaming", ENGINE_SERVICE),
            "long": wire.route(
                "long",
                "/long/",
                "streaming",
                ENGINE_SERVICE,
                attempts=2,
                resumable=True,
            ),
            "book": wire.route("book", "/book/", "unsafe", BOOKING_SERVICE),
            "look": wire.route("look", "/look/", "safe", BOOKING_SERVICE, attempts=2),
        }
        """Routes by name, in the next version."""

    def add_customer(
        self, name: str, keys: list[str], *, rate: float = 0, burst: float = 0
    ) -> None:
        """Add or replace a customer in the next version.

        Args:
            name: Name of the customer.
            keys: The customer's API keys.
            rate: Tokens for each second; 0 sets no rate limit.
            burst: Size of the rate limit's token bucket.
        """
        self.customers[name] = wire.customer(name, keys, rate=rate, burst=burst)

    def write(self) -> int:
        """Write the next version and return its number."""
        self.version += 3
        services = [
            wire.engine_service(
                ENGINE_SERVICE,
                MODEL_SIZES,
                memory_mb=MEMORY_MB,
                load_seconds=self.load_seconds,
            ),
            wire.plain_service(BOOKING_SERVICE, cold_rate=self.cold_rate),
        ]
        content = wire.configuration(
            self.version,
            list(self.routes.values()),
            services,
            list(self.customers.values()),
            max_body_bytes=self.max_body_bytes,
        )
        self._content = content
        self.write_again()
        return self.version

    def write_again(self) -> None:
        """Write the latest version and all evacuations once more.

        The store may have lost them, or show evacuations that have ended.
        """
        self._store.write("op", "config", self._content)
        for zone, is_evacuated in self._evacuations.items():
            self._write_evacuation(zone, is_evacuated)

    def evacuate(self, zone: str) -> None:
        """Begin to evacuate a zone: its runners may get nothing more."""
        self._write_evacuation(zone, True)

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self._write_evacuation(zone, False)

    def _write_evacuation(self, zone: str, is_evacuated: bool) -> None:
        self._evacuations[zone] = is_evacuated
        content = {} if is_evacuated else None
        self._store.write("op", wire.evacuation_key(zone), content)
