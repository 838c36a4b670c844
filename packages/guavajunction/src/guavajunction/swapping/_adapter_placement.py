"""Chooses the backend server that loads an adapter on demand.

There are many adapters, each requested occasionally, and few adapter slots. A load
takes milliseconds. So an adapter is loaded when it is first requested, and evicts the
least requested adapter if no slot is free.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from guavajunction.gateway import Demand, Load

from . import _ledger


class AdapterPlacement(NamedTuple):
    """The backend server to load an adapter on, and the adapter to evict first."""

    ledger: _ledger.BackendLedger
    evict: tuple[str, str] | None
    """Model and adapter to evict, None if a slot is free."""


def choose_placement(
    ledgers: Sequence[_ledger.BackendLedger],
    loads: Mapping[str, Load],
    model: str,
    demand: Mapping[str, Demand],
    now: float,
) -> AdapterPlacement | None:
    """Return the best placement for an adapter of a model, or None if none is possible.

    Args:
        ledgers: Backend servers that hold the model and accept orders.
        loads: Load of each backend server.
        model: The adapter's model.
        demand: Fleet-wide demand for each model and adapter.
        now: Monotonic time in seconds.
    """
    free = [ledger for ledger in ledgers if ledger.fits_adapter(model)]
    if free:
        return AdapterPlacement(min(free, key=lambda le: _load_key(loads, le)), None)
    options = []
    for ledger in ledgers:
        running = loads[ledger.record.name].artifacts
        victim = _least_requested(ledger, running, demand, now)
        if victim is not None:
            rate = _rate(demand, *victim)
            options.append((rate, _load_key(loads, ledger), ledger, victim))
    if not options:
        return None
    _, _, ledger, victim = min(options, key=lambda option: option[:2])
    return AdapterPlacement(ledger, victim)


def _load_key(
    loads: Mapping[str, Load], ledger: _ledger.BackendLedger
) -> tuple[int, int, int]:
    load = loads.get(ledger.record.name, Load(0, 0))
    return load.running, ledger.adapter_count, load.pending_prompt_tokens


def _least_requested(
    ledger: _ledger.BackendLedger,
    running: Mapping[str, int],
    demand: Mapping[str, Demand],
    now: float,
) -> tuple[str, str] | None:
    # The unload of an adapter that is in use would keep its backend server busy until
    # the requests that use it end.
    candidates = [
        pair for pair in ledger.evictable(now) if not running.get("/".join(pair))
    ]
    return min(candidates, key=lambda pair: _rate(demand, *pair), default=None)


def _rate(demand: Mapping[str, Demand], model: str, adapter: str) -> float:
    adapter_demand = demand.get(f"{model}/{adapter}")
    return adapter_demand.rate if adapter_demand else 0.0
