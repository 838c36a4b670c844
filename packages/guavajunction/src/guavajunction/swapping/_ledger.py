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

    An accepted unload frees nothing until a report or a record shows its end: it waits
    for the requests that use the model or the adapter.
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
        """Resident adapters by model, without those that are being unloaded."""
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
        self._unloading_adapters: dict[tuple[str, str], int] = {}
        """Adapters whose unload was accepted and has not ended, with the number of
        orders accepted when they were last known to be resident."""
        self._unconfirmed_unloads: set[tuple[str, str]] = set()
        """Those of them that may be resident after all: the backend server answered
        that they are unloaded, and reported them later."""
        self._unloaded_adapters: dict[tuple[str, str], int] = {}
        """Adapters that the backend server said to be unloaded, with the number of
        orders accepted according to that answer."""
        self._record_is_current = False
        """Whether a record has shown the state before the order in progress."""
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
    def unloading_adapters(self) -> list[tuple[str, str]]:
        """Return the adapters that are being unloaded, as pairs of model and adapter.

        They use their slots and memory until `settle_unloads` or `resync` gets a report
        without them.
        """
        return sorted(self._unloading_adapters)

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
        return sorted(self._resident_adapters() - self._evicting - new)

    def can_load_adapter(self, model: str, adapter: str) -> bool:
        """Return whether an adapter may be loaded, provided that a slot is free.

        An adapter that is being unloaded may not: the backend server would take it as
        resident, and then unload it.
        """
        pair = model, adapter
        return pair not in self._evicting and pair not in self._unloading_adapters

    def offered_adapters(self, model: str) -> tuple[str, ...]:
        """Return the adapters of a model for which requests may be sent."""
        names = self.adapters.get(model, ())
        return tuple(name for name in names if (model, name) not in self._evicting)

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
        model = self.loading or self.unloading
        if model is None:
            return
        if not self._shows_end(record, model):
            self._record_is_current = True
        elif self._record_is_current:
            self._end_order()

    def resync(self, report: EngineReport) -> None:
        """Replace the contents with the backend server's own report."""
        self._end_unloads(report)
        for pair, orders in self._unloaded_adapters.items():
            if report.orders_accepted < orders and _lists(report, *pair):
                # The answer counted as no order: the adapter is still being loaded, or
                # an earlier order, perhaps of another leader, is unloading it.
                self._unloading_adapters[pair] = report.orders_accepted
                self._unconfirmed_unloads.add(pair)
        self._unloaded_adapters.clear()
        self.orders_accepted = report.orders_accepted
        self.models = set(report.models)
        self.adapters = {m: set(names) for m, names in report.models.items()}
        for model, adapter in self._unloading_adapters:
            self.adapters.get(model, set()).discard(adapter)
        self._report_busy = report.busy
        if not report.busy:
            self.loading = self.unloading = None

    def settle_unloads(self, report: EngineReport) -> None:
        """Apply a report to the adapters that are being unloaded.

        Args:
            report: A report of this incarnation, requested while no request was known
                to use these adapters. It may be older than the latest order.
        """
        self._end_unloads(report)
        for pair in self._unconfirmed_unloads.copy():
            if report.orders_accepted >= self._unloading_adapters[pair]:
                self._forget_unload(pair)
                self.adapters.setdefault(pair[0], set()).add(pair[1])

    def _end_unloads(self, report: EngineReport) -> None:
        """Free the slots of adapters whose unload has ended according to a report."""
        for pair, orders in list(self._unloading_adapters.items()):
            if report.orders_accepted >= orders and not _lists(report, *pair):
                self._forget_unload(pair)

    def _forget_unload(self, pair: tuple[str, str]) -> None:
        del self._unloading_adapters[pair]
        self._unconfirmed_unloads.discard(pair)

    def accepted(self, order: Order, now: float) -> None:
        """Apply an order that the backend server has accepted and carries out."""
        self.orders_accepted = order.expected_orders + 1
        if order.adapter:
            if order.kind is OrderKind.LOAD:
                self.adapters.setdefault(order.model, set()).add(order.adapter)
                self._loaded_at[order.model, order.adapter] = now
                self._unloaded_adapters.pop((order.model, order.adapter), None)
            else:
                self._unload_accepted(order)
            return
        if order.kind is OrderKind.LOAD:
            self.loading = order.model
        else:
            self.unloading = order.model
        self._record_is_current = not self._shows_end(self.record, order.model)

    def unload_unconfirmed(self, order: Order) -> None:
        """Keep the slot of an adapter that was reported after its unload was answered.

        An earlier copy of the order may have been accepted.
        """
        self._unload_accepted(order)
        self._unconfirmed_unloads.add((order.model, order.adapter))

    def _unload_accepted(self, order: Order) -> None:
        """Keep the slot of an adapter until a report shows the end of its unload."""
        self._remove_adapter(order)
        orders = order.expected_orders
        self._unloading_adapters[order.model, order.adapter] = orders

    def unload_ended(self, order: Order) -> None:
        """Free the slot of an adapter that was unloaded at once."""
        self.orders_accepted = order.expected_orders + 1
        self._remove_adapter(order)
        orders = self.orders_accepted
        self._unloaded_adapters[order.model, order.adapter] = orders

    def _remove_adapter(self, order: Order) -> None:
        self.adapters.get(order.model, set()).discard(order.adapter)
        self._loaded_at.pop((order.model, order.adapter), None)

    def _shows_end(self, record: BackendRecord, model: str) -> bool:
        """Return whether a record shows a model as the order in progress leaves it."""
        return (model in record.models) is (model == self.loading)

    def _resident_adapters(self) -> set[tuple[str, str]]:
        return {(model, a) for model, names in self.adapters.items() for a in names}

    def _held_adapters(self) -> set[tuple[str, str]]:
        return self._resident_adapters() | set(self._unloading_adapters)

    def _end_order(self) -> None:
        if self.loading is not None:
            self.models.add(self.loading)
        if self.unloading is not None:
            self.models.discard(self.unloading)
            self.adapters.pop(self.unloading, None)
            for pair in self.unloading_adapters:
                if pair[0] == self.unloading:
                    self._forget_unload(pair)
        self.loading = self.unloading = None
        self._report_busy = False

    def size_mb(self, model: str) -> float:
        """Return the size of a model's weights."""
        # The size of a model that is not configured is unknown, so it counts as the
        # whole memory.
        spec = self.spec.models.get(model)
        return spec.memory_mb if spec else self.spec.memory_mb

    def adapters_size_mb(self, model: str) -> float:
        """Return the memory used by a model's adapters."""
        count = sum(1 for held, _ in self._held_adapters() if held == model)
        return count * self.spec.adapter_mb.get(model, 0.0)


def _lists(report: EngineReport, model: str, adapter: str) -> bool:
    return adapter in report.models.get(model, ())
