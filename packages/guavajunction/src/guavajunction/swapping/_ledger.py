"""What one backend server's accelerator memory holds or may come to hold."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.gateway import BackendRecord, EngineSpec

from ._protocols import EngineReport, Order, OrderKind


class BackendLedger:
    """Counts resident models and adapters, and accepted orders not yet carried out.

    An order carries the number of orders accepted before it, and is refused at any
    other number. So each order finds exactly the state that it was planned on: an
    unanswered one either was accepted, and the next conflicts, or is void once the
    next is accepted.
    """

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
        self._report_busy = True

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
        """Return the adapters that take a place."""
        return sum(len(names) for names in self.adapters.values())

    def used_mb(self) -> float:
        """Return the memory that is taken or may come to be."""
        models = set(self.models)
        if self.loading is not None:
            models.add(self.loading)
        weights = sum(self._model_mb(model) for model in models)
        return weights + sum(self._adapters_mb(model) for model in self.adapters)

    def fits_model(self, model: str, without: frozenset[str] = frozenset()) -> bool:
        """Return whether a model fits once some others are gone."""
        freed = sum(self._model_mb(name) + self._adapters_mb(name) for name in without)
        return self.used_mb() - freed + self._model_mb(model) <= self.spec.memory_mb

    def fits_adapter(self, model: str) -> bool:
        """Return whether one more adapter of a model fits."""
        memory = self.used_mb() + self.spec.adapter_mb.get(model, 0.0)
        return (
            self.adapter_count < self.spec.adapter_slots
            and memory <= self.spec.memory_mb
        )

    def sync(self, record: BackendRecord) -> None:
        """Take a newer record of the same incarnation.

        It tells models as they change; adapters are better known from the orders.
        """
        self.record = record
        self.models = set(record.models)
        self._keep_resident_adapters()
        self._note_done()

    def resync(self, report: EngineReport) -> None:
        """Take what the backend server says it holds now."""
        self.orders_accepted = report.orders_accepted
        self.adapters = {m: set(names) for m, names in report.models.items()}
        self._report_busy = report.busy
        if not report.busy:
            self.loading = self.unloading = None
        self._keep_resident_adapters()
        self._note_done()

    def accepted(self, order: Order) -> None:
        """Note that an order was accepted."""
        self.orders_accepted = order.expected_orders + 1
        if order.adapter:
            names = self.adapters.setdefault(order.model, set())
            if order.kind is OrderKind.LOAD:
                names.add(order.adapter)
            else:
                names.discard(order.adapter)
        elif order.kind is OrderKind.LOAD:
            self.loading = order.model
        else:
            self.unloading = order.model

    def _keep_resident_adapters(self) -> None:
        # The adapters of an unloaded model went with it.
        for model in set(self.adapters) - self.models:
            del self.adapters[model]

    def _note_done(self) -> None:
        if self.loading in self.models:
            self.loading = None
        if self.unloading is not None and self.unloading not in self.models:
            self.unloading = None

    def _model_mb(self, model: str) -> float:
        # A model that is not configured can't be sized: nothing fits beside it.
        spec = self.spec.models.get(model)
        return spec.memory_mb if spec else self.spec.memory_mb

    def _adapters_mb(self, model: str) -> float:
        return len(self.adapters.get(model, ())) * self.spec.adapter_mb.get(model, 0.0)
