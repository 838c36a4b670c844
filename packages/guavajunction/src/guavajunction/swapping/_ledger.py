"""What one backend server's accelerator memory holds or may come to hold."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.gateway import BackendRecord, EngineSpec

from ._protocols import EngineReport, Order, OrderKind


class _Unanswered(NamedTuple):
    """An order that may be carried out at any time."""

    order: Order


class BackendLedger:
    """Counts resident models and adapters, and every order that may take effect.

    An order carries the number of orders accepted before it. So an unanswered order
    is void once another one was accepted on the same number, and counts until then.
    """

    def __init__(self, record: BackendRecord, spec: EngineSpec) -> None:
        self.record = record
        """Newest record of the backend server."""
        self.spec = spec
        """What its service may load."""
        self.orders_accepted = record.orders_accepted
        """Orders that it accepted, as far as known."""
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
        self._unanswered: list[_Unanswered] = []

    @property
    def busy(self) -> bool:
        """Return whether a model is being loaded or unloaded."""
        return self.loading is not None or self.unloading is not None

    @property
    def settled(self) -> bool:
        """Return whether no unanswered order may still take effect."""
        return not self._unanswered

    @property
    def adapter_count(self) -> int:
        """Return the adapters that take a place or may come to."""
        maybe = sum(
            1
            for entry in self._unanswered
            if entry.order.kind is OrderKind.LOAD and entry.order.adapter
        )
        return sum(len(names) for names in self.adapters.values()) + maybe

    def used_mb(self) -> float:
        """Return the memory that is taken or may come to be."""
        models = set(self.models)
        if self.loading is not None:
            models.add(self.loading)
        adapters = {(m, a) for m, names in self.adapters.items() for a in names}
        for entry in self._unanswered:
            if entry.order.kind is OrderKind.LOAD:
                if entry.order.adapter:
                    adapters.add((entry.order.model, entry.order.adapter))
                else:
                    models.add(entry.order.model)
        weights = sum(self._model_mb(model) for model in models)
        return weights + sum(self.spec.adapter_mb.get(m, 0.0) for m, _ in adapters)

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
        """Take a newer record of the same incarnation."""
        self.record = record
        if record.orders_accepted < self.orders_accepted:
            return
        if record.orders_accepted > self.orders_accepted:
            self._unanswered.clear()
        self.orders_accepted = record.orders_accepted
        self.models = set(record.models)
        self.adapters = {m: set(names) for m, names in record.models.items()}
        self._note_done()

    def resync(self, report: EngineReport) -> None:
        """Take what the backend server says it holds now."""
        if report.orders_accepted != self.orders_accepted:
            self._unanswered.clear()
        self.orders_accepted = report.orders_accepted
        self.models = set(report.models)
        self.adapters = {m: set(names) for m, names in report.models.items()}
        if not report.busy:
            self.loading = self.unloading = None
        self._note_done()

    def accepted(self, order: Order) -> None:
        """Note that an order was accepted; voids what was not answered before."""
        self._unanswered.clear()
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

    def unanswered(self, order: Order) -> None:
        """Note that an order may have been accepted, or may be later."""
        self._unanswered.append(_Unanswered(order))

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
