"""Tracks the models and adapters in a backend server's accelerator memory."""

from __future__ import annotations

from guavajunction.gateway import BackendRecord, EngineSpec

from ._protocols import EngineReport, Order, OrderKind


class BackendLedger:
    """Resident models and adapters, and accepted orders in progress.

    An order carries the number of orders accepted before it. The backend server refuses
    the order if it has accepted another number, so each order is applied to exactly the
    state that it was planned for. If an unanswered order was accepted, the next order
    is refused as a conflict. If it was not, it becomes invalid once the next order is
    accepted.
    """

    MIN_ADAPTER_RESIDENT_SECONDS = 0.5
    """Minimum time from the order to load an adapter until it may be evicted."""

    def __init__(self, record: BackendRecord, spec: EngineSpec) -> None:
        self.record = record
        """Newest record of the backend server."""
        self.spec = spec
        """Properties of the engines of its service."""
        self.orders_accepted: int | None = None
        """Number of orders that the backend server accepted; None before a report."""
        self.models = set(record.models)
        """Resident models."""
        self.adapters: dict[str, set[str]] = {
            model: set(adapters) for model, adapters in record.models.items()
        }
        """Resident adapters by model."""
        self.loading: str | None = None
        """Model that is being loaded, None if there is none."""
        self.unloading: str | None = None
        """Model that is being unloaded, None if there is none."""
        self.unreachable_until = float("-inf")
        """When the backend server may get orders again after an order did not reach it,
        on the monotonic clock."""
        self._report_busy = True
        self._reserved: set[tuple[str, str]] = set()
        self._evicting: set[tuple[str, str]] = set()
        self._loaded_at: dict[tuple[str, str], float] = {}

    @property
    def busy(self) -> bool:
        """Return whether a model is being loaded or unloaded."""
        ordered = self.loading is not None or self.unloading is not None
        return ordered or self._report_busy

    @property
    def needs_report(self) -> bool:
        """Return whether a report is needed to know if an order is in progress."""
        ordered = self.loading is not None or self.unloading is not None
        return self._report_busy and not ordered

    @property
    def adapter_count(self) -> int:
        """Return the number of adapter slots that are used or reserved."""
        return len(self._held_adapters() | self._reserved)

    def used_mb(self) -> float:
        """Return the memory in use, including loads in progress and reservations."""
        models = set(self.models)
        if self.loading is not None:
            models.add(self.loading)
        weights = sum(self.size_mb(model) for model in models)
        adapters = self._held_adapters() | self._reserved
        return weights + sum(self.spec.adapter_mb.get(m, 0.0) for m, _ in adapters)

    def fits_model(self, model: str, without: frozenset[str] = frozenset()) -> bool:
        """Return whether a model fits once the models in `without` are unloaded."""
        freed = sum(
            self.size_mb(name) + self.adapters_size_mb(name) for name in without
        )
        return self.used_mb() - freed + self.size_mb(model) <= self.spec.memory_mb

    def fits_adapter(self, model: str) -> bool:
        """Return whether one more adapter of a model fits."""
        memory = self.used_mb() + self.spec.adapter_mb.get(model, 0.0)
        return (
            self.adapter_count < self.spec.adapter_slots
            and memory <= self.spec.memory_mb
        )

    def reserve(self, model: str, adapter: str) -> None:
        """Reserve a slot for an adapter whose load is about to be ordered."""
        self._reserved.add((model, adapter))

    def unreserve(self, model: str, adapter: str) -> None:
        """Release a reserved slot once the load was accepted or has failed."""
        self._reserved.discard((model, adapter))

    def begin_eviction(self, model: str, adapter: str) -> None:
        """Mark an adapter as being evicted, so that it is not chosen again."""
        self._evicting.add((model, adapter))

    def end_eviction(self, model: str, adapter: str) -> None:
        """Remove the mark set by `begin_eviction`."""
        self._evicting.discard((model, adapter))

    def evictable(self, now: float) -> list[tuple[str, str]]:
        """Return the adapters that may be evicted, as pairs of model and adapter.

        An adapter can't be unloaded while it is being loaded, so new ones are excluded.
        """
        new = {
            pair
            for pair, loaded_at in self._loaded_at.items()
            if now - loaded_at < self.MIN_ADAPTER_RESIDENT_SECONDS
        }
        return sorted(self._held_adapters() - self._evicting - new)

    def holds(self, order: Order) -> bool:
        """Return whether the adapter of an order is resident."""
        return order.adapter in self.adapters.get(order.model, ())

    def has_capacity(self, order: Order) -> bool:
        """Return whether memory and adapter slots suffice for an order."""
        if order.kind is OrderKind.UNLOAD:
            return True
        if not order.adapter:
            return self.fits_model(order.model)
        if (order.model, order.adapter) not in self._reserved:
            return self.fits_adapter(order.model)
        # The reservation already counts this adapter. A report may have changed the
        # other counts since.
        return (
            self.adapter_count <= self.spec.adapter_slots
            and self.used_mb() <= self.spec.memory_mb
        )

    def sync(self, record: BackendRecord) -> None:
        """Apply a newer record of the same incarnation.

        Only the end of an order is taken from the record, which may be outdated. All
        other changes are derived from the orders.
        """
        self.record = record
        loaded = self.loading in record.models
        unloaded = self.unloading and self.unloading not in record.models
        if loaded or unloaded:
            self._end_order()

    def resync(self, report: EngineReport) -> None:
        """Replace the contents with the backend server's own report."""
        self.orders_accepted = report.orders_accepted
        self.models = set(report.models)
        self.adapters = {m: set(names) for m, names in report.models.items()}
        self._report_busy = report.busy
        if not report.busy:
            self.loading = self.unloading = None

    def accepted(self, order: Order, now: float) -> None:
        """Apply an accepted order."""
        self.orders_accepted = order.expected_orders + 1
        if order.adapter:
            names = self.adapters.setdefault(order.model, set())
            if order.kind is OrderKind.LOAD:
                names.add(order.adapter)
                self._loaded_at[order.model, order.adapter] = now
            else:
                names.discard(order.adapter)
                self._loaded_at.pop((order.model, order.adapter), None)
        elif order.kind is OrderKind.LOAD:
            self.loading = order.model
        else:
            self.unloading = order.model

    def _held_adapters(self) -> set[tuple[str, str]]:
        return {(model, a) for model, names in self.adapters.items() for a in names}

    def _end_order(self) -> None:
        if self.loading is not None:
            self.models.add(self.loading)
        if self.unloading is not None:
            self.models.discard(self.unloading)
            self.adapters.pop(self.unloading, None)
        self.loading = self.unloading = None
        self._report_busy = False

    def size_mb(self, model: str) -> float:
        """Return the size of a model's weights."""
        # The size of a model that is not configured is unknown, so it counts as the
        # whole memory.
        spec = self.spec.models.get(model)
        return spec.memory_mb if spec else self.spec.memory_mb

    def adapters_size_mb(self, model: str) -> float:
        """Return the memory used by a model's resident adapters."""
        return len(self.adapters.get(model, ())) * self.spec.adapter_mb.get(model, 0.0)
