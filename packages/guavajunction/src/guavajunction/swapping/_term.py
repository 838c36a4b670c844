"""One term of the order leader: from acquiring the lease to losing it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import GuavaError, OrderRefused
from guavajunction.gateway import (
    BackendRecord,
    BackendRegistry,
    Catalogue,
    Demand,
    EngineSpec,
    HoldingNotice,
    LoadView,
    RetireNotice,
)

from . import _events as events
from . import _planner
from ._adapter_placement import AdapterPlacement, choose_placement
from ._ledger import BackendLedger
from ._load_rate_limiter import LoadRateLimiter
from ._messages import AdapterReady, AdapterWanted
from ._order_manager import OrderManager
from ._planner import Holding, Move, PlannerInput
from ._protocols import OrderKind


class TermParts(NamedTuple):
    """Collaborators of a term."""

    registry: BackendRegistry
    loads: LoadView
    catalogue: Callable[[], Catalogue | None]
    demand: Callable[[], dict[str, Demand]]
    """Returns the fleet-wide demand for each model and adapter."""
    resumes: Callable[[], dict[str, dict[str, int]]]
    """Returns the resumed streams that wait for a load, by software version and
    model."""
    broadcast: Callable[[Any], None]
    """Sends a notice to every other instance."""
    schedule_dispatch: Callable[[], None]
    """Called when this instance's view of backend servers has changed."""
    acquire_send: Callable[[BackendRecord], Awaitable[bool]]
    """Waits until an order or a report may be sent to a backend server; returns whether
    it may."""
    load_rate_limiter: LoadRateLimiter
    clock: Clock


class Term:
    """Plans and executes moves, at most one at a time for each backend server."""

    TICK_SECONDS = 0.1
    """Interval at which moves are planned."""
    INHERITED_ORDER_SECONDS = 2.0
    """Assumed remaining time of an order that another leader sent."""
    REFRESH_UNKNOWN_SECONDS = 0.5
    """Interval at which missing reports are fetched."""
    RETIRE_NOTICE_SECONDS = 0.08
    """Delay between a retire notice and the unload, for the notice to arrive."""
    POLL_SECONDS = 0.02
    """Interval at which the end of an order is checked."""
    REFRESH_SECONDS = 3.0
    """Interval of fetching reports until a record shows the end of an order."""
    UNLOAD_SECONDS = 15.0
    """Time limit for an unload, which waits for running requests of the model."""
    LOAD_FACTOR = 4.0
    """Time limit for a load, as a multiple of its usual duration: concurrent loads slow
    each other down."""
    LOAD_SLACK_SECONDS = 5.0
    """Added to the time limit for a load."""
    ADAPTER_SETTLE_SECONDS = 0.016
    """Delay between the acceptance of an adapter load and its use; engines specify 5 to
    14 ms for the load."""
    ADAPTER_RETRY_SECONDS = 0.05
    """Delay before an adapter that a backend server holds but refused is announced
    again. Loads of adapters take up to 29 ms, and longer while many are loaded."""
    MAX_EVICTIONS = 3
    """Adapters evicted for one load, if requests still use those evicted first."""
    RECORD_DELAY_SECONDS = 1.0
    """Delay between the end of a load and the record that shows it."""

    def __init__(self, parts: TermParts, manager: OrderManager) -> None:
        self._parts = parts
        self._manager = manager
        self._moves: dict[str, Move] = {}
        self._due: dict[str, float] = {}
        self._requested_before: set[str] = set()
        self._resident_since: dict[tuple[str, str], float] = {}
        self._adapters: dict[tuple[AdapterWanted, str], asyncio.Future[str]] = {}

    def loads_due(self) -> dict[str, float]:
        """Return the seconds until each model that is being loaded is expected."""
        now = self._parts.clock.monotonic()
        return {m: round(max(0.1, due - now), 1) for m, due in self._due.items()}

    async def run(self) -> None:
        """Plan moves and send orders until cancelled or the lease is lost.

        Raises:
            LeaseLost: A backend server has seen a higher fencing number, or the lease
                expires.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._refresh_backends())
            while True:
                self._sync()
                for service, spec in self._engines().items():
                    self._plan(service, spec, tasks)
                await self._parts.clock.sleep(self.TICK_SECONDS)

    async def adapter(
        self, wanted: AdapterWanted, software_version: str = ""
    ) -> AdapterReady:
        """Load an adapter where it fits best; concurrent calls share one load.

        Args:
            wanted: The adapter.
            software_version: Version of the backend servers to choose from; empty for
                any.
        """
        key = wanted, software_version
        fut = self._adapters.get(key)
        if fut is not None:
            return AdapterReady(await asyncio.shield(fut))
        fut = self._adapters[key] = asyncio.get_running_loop().create_future()
        backend = ""
        try:
            backend = await self._load_adapter(wanted, software_version)
        except GuavaError as exc:
            events.ADAPTER_REFUSED.log(
                model=wanted.model, adapter=wanted.adapter, reason=exc.message
            )
        finally:
            del self._adapters[key]
            fut.set_result(backend)
        return AdapterReady(backend)

    async def _refresh_backends(self) -> None:
        while True:
            self._sync()
            await self._manager.refresh_unknown()
            await self._settle_adapter_unloads()
            await self._parts.clock.sleep(self.REFRESH_UNKNOWN_SECONDS)

    async def _settle_adapter_unloads(self) -> None:
        """Find adapter slots that were freed once no request used them any more."""
        idle = [
            ledger
            for ledger in self._manager.ledgers()
            if any(
                not self._parts.loads.of(ledger.record.name).artifacts.get(
                    "/".join(pair)
                )
                for pair in ledger.unloading_adapters
            )
        ]
        await asyncio.gather(*(self._manager.settle_unloads(le) for le in idle))

    def _engines(self) -> dict[str, EngineSpec]:
        catalogue = self._parts.catalogue()
        services = catalogue.services.values() if catalogue else ()
        return {s.name: s.engine for s in services if s.engine and s.engine.models}

    def _sync(self) -> None:
        engines = self._engines()
        records: dict[str, tuple[BackendRecord, EngineSpec]] = {}
        for service, spec in engines.items():
            for record in self._parts.registry.reachable(service):
                records[record.name] = record, spec
        self._manager.sync(records)
        now = self._parts.clock.monotonic()
        seen = {
            (le.record.name, m) for le in self._manager.ledgers() for m in le.models
        }
        for removed in set(self._resident_since) - seen:
            del self._resident_since[removed]
        for pair in seen:
            self._resident_since.setdefault(pair, now)

    def _plan(self, service: str, spec: EngineSpec, tasks: asyncio.TaskGroup) -> None:
        now = self._parts.clock.monotonic()
        demand = self._parts.demand()
        resumes = self._parts.resumes()
        self._requested_before.update(demand)
        while True:
            holdings = self._holdings(service)
            store_loads_left = self._parts.load_rate_limiter.remaining(
                spec.loads_per_second, now
            )
            move = _planner.plan(
                PlannerInput(
                    spec, holdings, demand, self._requested_before, now, resumes
                ),
                store_loads=store_loads_left,
                rare_store_loads=self._rare_store_loads(demand),
            )
            if move is None:
                return
            if move.from_store:
                self._parts.load_rate_limiter.record(now)
            self._start_move(move, demand, tasks)

    def _rare_store_loads(self, demand: dict[str, Demand]) -> int:
        moves = [move for move in self._moves.values() if move.from_store]
        return sum(
            1
            for move in moves
            if move.model not in demand or demand[move.model].rate < _planner.RARE_RATE
        )

    def _holdings(self, service: str) -> list[Holding]:
        return [
            self._holding(ledger)
            for ledger in self._manager.ledgers()
            if ledger.record.service == service
        ]

    def _holding(self, ledger: BackendLedger) -> Holding:
        """Return a backend server's models as they will be after its current move."""
        record = ledger.record
        now = self._parts.clock.monotonic()
        move = self._moves.get(record.name)
        evicted = move.evict if move else ()
        resident = {
            model: self._resident_since[record.name, model]
            for model in ledger.models
            if model not in evicted
        }
        if move is not None:
            resident[move.model] = now
        free_in = 0.0
        if move is not None:
            free_in = max(self.TICK_SECONDS, self._due.get(move.model, now) - now)
        elif ledger.busy or ledger.unreachable_until > now:
            free_in = self.INHERITED_ORDER_SECONDS
        return Holding(
            name=record.name,
            resident=resident,
            weights_mb=sum(ledger.size_mb(model) for model in resident),
            in_memory=record.in_memory,
            on_disk=record.on_disk,
            running=self._parts.loads.of(record.name).by_model(),
            free_in=free_in,
            software_version=record.software_version,
        )

    def _start_move(
        self, move: Move, demand: dict[str, Demand], tasks: asyncio.TaskGroup
    ) -> None:
        now = self._parts.clock.monotonic()
        self._moves[move.backend] = move
        self._due[move.model] = now + move.load_seconds + self.RECORD_DELAY_SECONDS
        events.MOVE_PLANNED.log(
            backend=move.backend,
            model=move.model,
            evict=move.evict,
            from_store=move.from_store,
            load_seconds=move.load_seconds,
            demand=demand.get(move.model),
            evicted_demand=[demand.get(model) for model in move.evict],
        )
        ledger = next(
            le for le in self._manager.ledgers() if le.record.name == move.backend
        )
        tasks.create_task(self._run_move(move, ledger))

    async def _run_move(self, move: Move, ledger: BackendLedger) -> None:
        started = self._parts.clock.monotonic()
        outcome = "given up"
        try:
            await self._swap(move, ledger)
            outcome = "done"
        except (OrderRefused, TimeoutError) as exc:
            outcome = str(exc)
        finally:
            del self._moves[move.backend]
            self._due.pop(move.model, None)
            seconds = self._parts.clock.monotonic() - started
            events.MOVE_ENDED.log(
                backend=move.backend,
                model=move.model,
                outcome=outcome,
                seconds=round(seconds, 2),
            )

    async def _swap(self, move: Move, ledger: BackendLedger) -> None:
        for model in move.evict:
            self._send_retire_notice(ledger.record, model)
        if move.evict:
            await self._parts.clock.sleep(self.RETIRE_NOTICE_SECONDS)
        for model in move.evict:
            await self._manager.order(ledger, OrderKind.UNLOAD, model)
            await self._wait_until(
                ledger, model, resident=False, within=self.UNLOAD_SECONDS
            )
            self._send_holding_notice(ledger)
        if not ledger.fits_model(move.model):
            raise OrderRefused(
                f"backend server {move.backend!r} lacks memory for {move.model!r}: "
                f"{ledger.used_mb():g} of {ledger.spec.memory_mb:g} MB are used"
            )
        await self._manager.order(ledger, OrderKind.LOAD, move.model)
        within = move.load_seconds * self.LOAD_FACTOR + self.LOAD_SLACK_SECONDS
        await self._wait_until(ledger, move.model, resident=True, within=within)
        self._send_holding_notice(ledger)

    def _send_retire_notice(self, record: BackendRecord, model: str) -> None:
        notice = RetireNotice(record.name, record.incarnation, model)
        self._parts.registry.note_retired(notice)
        self._parts.broadcast(notice)

    async def _wait_until(
        self, ledger: BackendLedger, model: str, *, resident: bool, within: float
    ) -> None:
        """Wait until a record shows that a model was loaded or unloaded.

        Raises:
            TimeoutError: The time limit passed or the backend server was removed.
        """
        ends_at = self._parts.clock.monotonic() + within
        refresh_at = self._parts.clock.monotonic() + self.REFRESH_SECONDS
        while (model in ledger.models) is not resident:
            removed = ledger not in self._manager.ledgers()
            if removed or self._parts.clock.monotonic() > ends_at:
                state = "loaded" if resident else "unloaded"
                reason = "it was removed" if removed else f"{within:.1f} s have passed"
                raise TimeoutError(
                    f"backend server {ledger.record.name!r} has not {state} "
                    f"{model!r}: {reason}"
                )
            await self._parts.clock.sleep(self.POLL_SECONDS)
            self._sync()
            if self._parts.clock.monotonic() > refresh_at:
                # The record may be outdated because the store is unavailable.
                await self._manager.refresh(ledger)
                refresh_at = self._parts.clock.monotonic() + self.REFRESH_SECONDS

    async def _load_adapter(self, wanted: AdapterWanted, software_version: str) -> str:
        self._sync()
        ledgers = [
            ledger
            for ledger in self._manager.ledgers()
            if ledger.record.service == wanted.service
            and software_version in ("", ledger.record.software_version)
            and self._parts.registry.holds_model(ledger.record, wanted.model)
        ]
        for ledger in ledgers:
            if ledger.record.name in wanted.refused_by:
                await self._manager.refresh(ledger)
        held = [
            ledger
            for ledger in ledgers
            if wanted.adapter in ledger.offered_adapters(wanted.model)
        ]
        if held:
            if held[0].record.name in wanted.refused_by:
                # It is probably still being loaded.
                await self._parts.clock.sleep(self.ADAPTER_RETRY_SECONDS)
            self._send_holding_notice(held[0])
            return held[0].record.name
        for _ in range(self.MAX_EVICTIONS):
            placement = self._place_adapter(ledgers, wanted)
            if placement.evict is None or await self._evict(
                placement.ledger, *placement.evict
            ):
                await self._order_adapter_load(placement.ledger, wanted)
                return placement.ledger.record.name
        raise OrderRefused(
            f"{self.MAX_EVICTIONS} adapters to be replaced by {wanted.model!r}/"
            f"{wanted.adapter!r} are still used by requests"
        )

    def _place_adapter(
        self, ledgers: list[BackendLedger], wanted: AdapterWanted
    ) -> AdapterPlacement:
        loads = {le.record.name: self._parts.loads.of(le.record.name) for le in ledgers}
        now = self._parts.clock.monotonic()
        candidates = [
            ledger
            for ledger in ledgers
            if not ledger.busy
            and ledger.unreachable_until <= now
            and ledger.can_load_adapter(wanted.model, wanted.adapter)
        ]
        placement = choose_placement(
            candidates, loads, wanted.model, self._parts.demand(), now
        )
        if placement is None:
            raise OrderRefused(
                f"no backend server with {wanted.model!r} has a free adapter slot"
            )
        return placement

    async def _evict(self, ledger: BackendLedger, model: str, adapter: str) -> bool:
        """Unload an adapter after announcing that it gets no more requests.

        Returns:
            Whether its slot is free. It is not while requests use the adapter that
            other instances have sent since their last heartbeats.
        """
        ledger.begin_eviction(model, adapter)
        self._send_holding_notice(ledger)
        try:
            await self._manager.order(ledger, OrderKind.UNLOAD, model, adapter)
        finally:
            ledger.end_eviction(model, adapter)
            self._send_holding_notice(ledger)
        if (model, adapter) not in ledger.unloading_adapters:
            return True
        events.ADAPTER_IN_USE.log(
            backend=ledger.record.name, model=model, adapter=adapter
        )
        return False

    async def _order_adapter_load(
        self, ledger: BackendLedger, wanted: AdapterWanted
    ) -> None:
        ledger.reserve(wanted.model, wanted.adapter)
        try:
            await self._manager.order(
                ledger, OrderKind.LOAD, wanted.model, wanted.adapter
            )
        finally:
            ledger.unreserve(wanted.model, wanted.adapter)
        await self._parts.clock.sleep(self.ADAPTER_SETTLE_SECONDS)
        self._send_holding_notice(ledger)

    def _send_holding_notice(self, ledger: BackendLedger) -> None:
        notice = HoldingNotice(
            backend=ledger.record.name,
            incarnation=ledger.record.incarnation,
            orders_accepted=ledger.orders_accepted or 0,
            models={model: ledger.offered_adapters(model) for model in ledger.models},
        )
        self._parts.registry.note_holding(notice)
        self._parts.broadcast(notice)
        self._parts.schedule_dispatch()
