"""What one backend server's accelerator memory holds or may come to hold."""

from __future__ import annotations

from guavajunction.gateway import BackendRecord, EngineSpec

from ._protocols import EngineReport, Order, OrderKind


class BackendLedger:
    """Counts resident models and adapters, and accepted orders not yet carried out.

    An order carries the number of orders accepted before it, and is refused at any
    other number. So each order finds exactly the state that it was planned on: an
    unanswered one either was accepted, and the next conflicts, or is void once the
    next is accepted.
    """

    MIN_ADAPTER_RESIDENT_SECONDS = 0.5
    """Least time from the order to load an adapter until it may be evicted."""

    def __init__(self, record: BackendRecord, spec: EngineSpec) -> None:
        self.record = record
        """Newest record of the backend server."""
        self.spec = spec
        """What its service may load."""
        self.orders_accepted: int | None = None
        """Orders that it accepted; None until its own report has told."""
        self.models = set(record.models)
        """Resident models."""
        self.adapters: dict[str, set[str]] = {
            model: set(adapters) for model, adapters in record.models.items()
        }
        """Resident adapters by model."""
        self.loading: str | None = None
        """Model of an accepted load that has not been seen resident."""
        self.unloading: str | None = None
        """Model of an accepted unload that has not been seen gone."""
        self.unreachable_until = float("-inf")
        """Until when it is left alone after an order that did not reach it."""
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
        """Return whether only the backend server itself can tell what it does."""
        ordered = self.loading is not None or self.unloading is not None
        return self._report_busy and not ordered

    @property
    def adapter_count(self) -> int:
        """Return the adapters that take a place or are about to."""
        return len(self._held_adapters() | self._reserved)

    def used_mb(self) -> float:
        """Return the memory that is taken or may come to be."""
        models = set(self.models)
        if self.loading is not None:
            models.add(self.loading)
        weights = sum(self.size_mb(model) for model in models)
        adapters = self._held_adapters() | self._reserved
        return weights + sum(self.spec.adapter_mb.get(m, 0.0) for m, _ in adapters)

    def fits_model(self, model: str, without: frozenset[str] = frozenset()) -> bool:
        """Return whether a model fits once some others are gone."""
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
        """Keep a place for an adapter whose load is about to be ordered."""
        self._reserved.add((model, adapter))

    def unreserve(self, model: str, adapter: str) -> None:
        """Give a place back once its load was accepted or has failed."""
        self._reserved.discard((model, adapter))

    def begin_eviction(self, model: str, adapter: str) -> None:
        """Keep an adapter from being chosen to make room a second time."""
        self._evicting.add((model, adapter))

    def end_eviction(self, model: str, adapter: str) -> None:
        """Note that the unload of an adapter has ended."""
        self._evicting.discard((model, adapter))

    def evictable(self, now: float) -> list[tuple[str, str]]:
        """Return the adapters that may make room, by model and name.

        An adapter on its way can't be unloaded, so new ones are left alone.
        """
        new = {
            pair
            for pair, loaded_at in self._loaded_at.items()
            if now - loaded_at < self.MIN_ADAPTER_RESIDENT_SECONDS
        }
        return sorted(self._held_adapters() - self._evicting - new)

    def holds(self, order: Order) -> bool:
        """Return whether the adapter that an order names is resident."""
        return order.adapter in self.adapters.get(order.model, ())

    def has_capacity(self, order: Order) -> bool:
        """Return whether memory has room for what an order loads."""
        if order.kind is OrderKind.UNLOAD:
            return True
        if not order.adapter:
            return self.fits_model(order.model)
        if (order.model, order.adapter) not in self._reserved:
            return self.fits_adapter(order.model)
        # Its own place is counted; a report may have changed the rest since.
        return (
            self.adapter_count <= self.spec.adapter_slots
            and self.used_mb() <= self.spec.memory_mb
        )

    def sync(self, record: BackendRecord) -> None:
        """Take a newer record of the same incarnation.

        It shows the end of an order. What is resident otherwise follows from the
        orders alone, as a record may be late.
        """
        self.record = record
        loaded = self.loading in record.models
        unloaded = self.unloading and self.unloading not in record.models
        if loaded or unloaded:
            self._end_order()

    def resync(self, report: EngineReport) -> None:
        """Take what the backend server says it holds now."""
        self.orders_accepted = report.orders_accepted
        self.models = set(report.models)
        self.adapters = {m: set(names) for m, names in report.models.items()}
        self._report_busy = report.busy
        if not report.busy:
            self.loading = self.unloading = None

    def accepted(self, order: Order, now: float) -> None:
        """Note that an order was accepted."""
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
        # A model that is not configured can't be sized: nothing fits beside it.
        spec = self.spec.models.get(model)
        return spec.memory_mb if spec else self.spec.memory_mb

    def adapters_size_mb(self, model: str) -> float:
        """Return the memory of a model's resident adapters."""
        return len(self.adapters.get(model, ())) * self.spec.adapter_mb.get(model, 0.0)
