"""A stand-in for the orders and reports of a model server."""

from __future__ import annotations

import random

from fakes_gateway import ENGINE
from guavajunction.errors import NotSent, OutcomeUnknown
from guavajunction.swapping import EngineReport, OrderKind, OrderOutcome


class FakeEngine:
    """Accepts orders like a backend server; some are not answered or applied late.

    An adapter in use is unloaded once its use ends; until then it takes up its slot.
    """

    def __init__(self, models=("m1",), *, seed=0, unanswered=0.0):
        self.models = {model: set() for model in models}
        self.orders = 0
        self.busy = None
        self.fence = 0
        self.overloaded = []
        self.in_use = set()
        """Pairs of model and adapter that requests use."""
        self.unloading = set()
        """Pairs of model and adapter that are unloaded once they are not in use."""
        self.sent = []
        self.reachable = True
        self._rng = random.Random(seed)
        self._unanswered = unanswered
        self._late = []

    async def send(self, _, order):
        if not self.reachable:
            raise NotSent("refused")
        self.sent.append(order)
        if self._rng.random() < self._unanswered:
            if self._rng.random() < 0.5:
                self._late.append(order)
            else:
                self._apply(order)
            raise OutcomeUnknown("no answer")
        return self._apply(order)

    async def report(self, _):
        models = {model: frozenset(names) for model, names in self.models.items()}
        return EngineReport(self.orders, models, self.busy is not None)

    def apply_late_orders(self):
        while self._late:
            self._apply(self._late.pop(0))

    def end_use(self, model, adapter):
        self.in_use.discard((model, adapter))
        if (model, adapter) in self.unloading:
            self.unloading.discard((model, adapter))
            self.models.get(model, set()).discard(adapter)

    def end_order(self):
        if self.busy is None:
            return
        kind, model = self.busy
        if kind is OrderKind.LOAD:
            self.models.setdefault(model, set())
        else:
            self.models.pop(model, None)
            self.in_use = {pair for pair in self.in_use if pair[0] != model}
            self.unloading = {pair for pair in self.unloading if pair[0] != model}
        self.busy = None

    def used_mb(self):
        loading = self.busy[1] if self.busy and self.busy[0] is OrderKind.LOAD else None
        names = set(self.models) | ({loading} if loading else set())
        adapters = sum(len(held) for held in self.models.values())
        return sum(ENGINE.models[name].memory_mb for name in names) + adapters

    def _apply(self, order):
        if order.fence < self.fence:
            return OrderOutcome.STALE
        if self.busy or order.expected_orders != self.orders:
            return OrderOutcome.CONFLICT
        self.fence = order.fence
        if order.adapter:
            outcome = self._change_adapter(order)
        else:
            self.orders += 1
            self.busy = (order.kind, order.model)
            outcome = OrderOutcome.ACCEPTED
        adapters = sum(len(held) for held in self.models.values())
        if self.used_mb() > ENGINE.memory_mb or adapters > ENGINE.adapter_slots:
            self.overloaded.append(order)
        return outcome

    def _change_adapter(self, order):
        pair = order.model, order.adapter
        held = self.models.setdefault(order.model, set())
        if (order.adapter in held) is (order.kind is OrderKind.LOAD):
            return OrderOutcome.HOLDS
        if order.kind is OrderKind.LOAD:
            self.orders += 1
            held.add(order.adapter)
            return OrderOutcome.ACCEPTED
        if pair in self.unloading:
            return OrderOutcome.HOLDS
        self.orders += 1
        if pair in self.in_use:
            self.unloading.add(pair)
            return OrderOutcome.ACCEPTED
        held.discard(order.adapter)
        return OrderOutcome.HOLDS
