"""The planner of one pool during one term of its lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from guavajunction.backends import Inventory, OrderManager, Retirement
from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.errors import GuavaError, PlatformError
from guavajunction.settings import PlacementSettings

from ._events import (
    LOAD_DECIDED,
    LOAD_DEFERRED,
    NO_MEMORY,
    ORDER_FAILED,
    ROUND_FAILED,
    UNLOAD_DECIDED,
    WAITING_FOR_BASE,
    WAITING_FOR_MEMORY,
)
from ._fleet_demand import FleetDemand
from ._load_budget import LoadBudget, pool_share
from ._model import Budget, Load, Plan, PoolView, Shortage, Unload
from ._need_estimate import NeedEstimate
from ._planner import (
    BASE_PENDING,
    MEMORY_PENDING,
    NO_MEMORY_REASON,
    OVER_BUDGET,
    Planner,
)
from ._pool_view_builder import PoolViewBuilder
from ._projected_pool import ProjectedPool
from ._removal import ReplicaRemoval

NO_BUDGET = Budget(0, 0)
SHORTAGE_EVENTS = {
    NO_MEMORY_REASON: NO_MEMORY,
    MEMORY_PENDING: WAITING_FOR_MEMORY,
    OVER_BUDGET: LOAD_DEFERRED,
    BASE_PENDING: WAITING_FOR_BASE,
}


class PlannerTerm:
    """Plans one pool while this instance holds the pool's lease.

    No state is kept after the term. The next term restores the open orders from the
    ledgers.
    """

    URGENT_SECONDS = 10.0
    """Time for which an artifact stays urgent after a request for it."""

    def __init__(
        self,
        pool: str,
        inventory: Inventory,
        retirement: Retirement,
        order_manager: OrderManager,
        fleet_demand: FleetDemand,
        configuration: Callable[[], Configuration],
        check_lease: Callable[[], object],
        settings: PlacementSettings,
        clock: Clock,
    ) -> None:
        """Start a term without plans or tasks.

        Args:
            pool: The pool's name.
            inventory: States of the engines.
            retirement: Drains artifacts.
            order_manager: Sends orders; a new one for each term.
            fleet_demand: Demand of the fleet.
            configuration: Returns the configuration in force.
            check_lease: Raises `LeaseLost` after the end of the term.
            settings: Limits on loads.
            clock: Time source.
        """
        self._pool = pool
        self._inventory = inventory
        self._retirement = retirement
        self._order_manager = order_manager
        self._fleet_demand = fleet_demand
        self._configuration = configuration
        self._check_lease = check_lease
        self._clock = clock
        self._planner = Planner()
        self._need = NeedEstimate()
        self._budget = LoadBudget(settings, pool_share(configuration(), pool), clock)
        self._view_builder = PoolViewBuilder(
            pool, inventory, order_manager, self._is_draining, configuration, clock
        )
        self._removal_tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._load_tasks: set[asyncio.Task[None]] = set()
        self._requested_at: dict[str, float] = {}
        self._shortages: frozenset[Shortage] = frozenset()
        """Shortages of the last round; a shortage that persists is logged once."""
        self.plan_seconds = 0.0
        """Seconds that computing the latest plan took."""
        self._shortages: set[Shortage] = set()

    def mark_urgent(self, artifact: str) -> None:
        """Record that requests wait for an artifact."""
        self._requested_at[artifact] = self._clock.monotonic()

    async def run_round(self) -> Plan | None:
        """Run one planning round and start its moves.

        Returns:
            The plan, None if the ledgers could not be read.

        Raises:
            LeaseLost: The term has ended.
        """
        self._check_lease()
        try:
            await self._order_manager.take_over(
                s.name for s in self._view_builder.servers()
            )
        except PlatformError as exc:
            ROUND_FAILED.log(pool=self._pool, reason=exc.message)
            return None
        await self._order_manager.settle()
        self._check_lease()
        self._view_builder.prune_history()
        started = self._clock.monotonic()
        plan = self._planner.plan(self.view())
        self.plan_seconds = self._clock.monotonic() - started
        self._start_moves(plan)
        return plan

    def view(self) -> PoolView:
        """Return the view for the next plan, updating the need."""
        demand = self._fleet_demand.total()
        states = [
            state
            for server in self._view_builder.servers()
            if (state := self._inventory.state(server.name)) is not None
        ]
        self._need.learn(demand, states)
        need = self._need.update(demand, self._clock.monotonic())
        names = {d.name for d in self._view_builder.deployments().values()}
        need = {name: slots for name, slots in need.items() if name in names}
        view = self._view_builder.view(need, self._urgent(), NO_BUDGET)
        return view._replace(budget=self._available_loads(view))

    async def close(self) -> None:
        """Cancel the running loads and removals; the ledgers keep the open orders."""
        tasks = [*self._removal_tasks.values(), *self._load_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def finish_loads(self) -> None:
        """Wait until the planned loads have been ordered."""
        await asyncio.gather(*self._load_tasks)

    def _urgent(self) -> frozenset[str]:
        oldest = self._clock.monotonic() - self.URGENT_SECONDS
        self._requested_at = {
            a: at for a, at in self._requested_at.items() if at >= oldest
        }
        return frozenset(self._requested_at)

    def _available_loads(self, view: PoolView) -> Budget:
        self._budget.share = pool_share(self._configuration(), self._pool)
        loading = [
            holding
            for server in view.servers.values()
            for holding in server.holdings.values()
            if holding.state == "loading"
        ]
        adapters = sum(holding.base is not None for holding in loading)
        return self._budget.available(len(loading) - adapters, adapters)

    def _start_moves(self, plan: Plan) -> None:
        for shortage in set(plan.shortages) - self._shortages:
            self._log_shortage(shortage)
        self._shortages = set(plan.shortages)
        for unload in plan.unloads:
            self._start_removal(unload)
        for load in plan.loads:
            self._start_load(load)
        self._resume_inherited()

    def _log_shortage(self, shortage: Shortage) -> None:
        event = SHORTAGE_EVENTS[shortage.reason]
        event.log(pool=self._pool, **shortage._asdict())

    def _start_load(self, load: Load) -> None:
        LOAD_DECIDED.log(pool=self._pool, **load._asdict())
        if load.base is None:
            self._budget.spend(1)
        task = asyncio.ensure_future(self._load(load))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)

    async def _load(self, load: Load) -> None:
        order = self._order_manager.load(
            load.server, load.artifact, load.mib, load.base
        )
        await self._run_order(order, load.server, load.artifact)

    def _start_removal(self, unload: Unload) -> None:
        key = (unload.server, unload.artifact)
        if key in self._removal_tasks:
            return
        UNLOAD_DECIDED.log(pool=self._pool, **unload._asdict())
        self._remove(key)

    def _remove(self, key: tuple[str, str]) -> None:
        # The mark is set before the next await, so that no later plan of this term
        # counts the replica as ready.
        self._retirement.mark(*key, self._retirement.MARK_SECONDS)
        removal = ReplicaRemoval(
            *key, self._order_manager, self._retirement, self._may_remove, self._clock
        )
        task = asyncio.ensure_future(self._run_order(removal.run(), *key))
        self._removal_tasks[key] = task
        task.add_done_callback(lambda _: self._removal_tasks.pop(key, None))

    def _resume_inherited(self) -> None:
        """Resume removals whose unload order an earlier leader wrote to a ledger."""
        for server in self._view_builder.servers():
            ledger = self._order_manager.ledger(server.name)
            for intent in ledger.intents if ledger else ():
                key = (server.name, intent.artifact)
                resumable = intent.action == "unload" and key not in self._removal_tasks
                if resumable and self._may_remove(*key):
                    self._remove(key)

    def _may_remove(self, server: str, artifact: str) -> bool:
        view = self._view_builder.removal_view(artifact)
        if server not in view.servers:
            return False
        return ProjectedPool(view).may_remove(server, artifact)

    def _is_draining(self, server: str, artifact: str) -> bool:
        key = (server, artifact)
        return key in self._removal_tasks or self._retirement.is_marked(*key)

    async def _run_order(
        self, order: Awaitable[object], server: str, artifact: str
    ) -> None:
        """Wait for an order and log its failure; a later round plans the move again."""
        try:
            await order
        except GuavaError as exc:
            ORDER_FAILED.log(
                pool=self._pool,
                backend=server,
                artifact=artifact,
                kind=type(exc).__name__,
                reason=exc.message,
            )
