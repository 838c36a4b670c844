"""One instance's term as the planner of one pool."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from guavajunction.backends import Inventory, OrderDesk, Retirement
from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.errors import GuavaError, PlatformError
from guavajunction.settings import PlacementSettings

from ._events import (
    LOAD_DECIDED,
    LOAD_DEFERRED,
    NO_ROOM,
    ORDER_FAILED,
    ROUND_FAILED,
    UNLOAD_DECIDED,
    WAITING_FOR_BASE,
    WAITING_FOR_ROOM,
)
from ._fleet_demand import DemandTally
from ._load_budget import LoadBudget, pool_share
from ._model import Budget, Load, Plan, PoolView, Shortage, Unload
from ._need_estimate import NeedEstimate
from ._planner import BASE_PENDING, NO_ROOM_REASON, OVER_BUDGET, ROOM_PENDING, Planner
from ._pool_view_builder import PoolSurvey
from ._projected_pool import Draft
from ._removal import Removal

NO_BUDGET = Budget(0, 0)
SHORTAGE_EVENTS = {
    NO_ROOM_REASON: NO_ROOM,
    ROOM_PENDING: WAITING_FOR_ROOM,
    OVER_BUDGET: LOAD_DEFERRED,
    BASE_PENDING: WAITING_FOR_BASE,
}


class Term:
    """Plans one pool while the lease is held.

    Everything that a term knows dies with it; the next one reads the ledgers.
    """

    URGENT_SECONDS = 10.0
    """How long a wanted artifact stays urgent."""

    def __init__(
        self,
        pool: str,
        inventory: Inventory,
        retirement: Retirement,
        desk: OrderDesk,
        tally: DemandTally,
        configuration: Callable[[], Configuration],
        check_lease: Callable[[], object],
        settings: PlacementSettings,
        clock: Clock,
    ) -> None:
        """Begin a term.

        Args:
            pool: The pool's name.
            inventory: States of the engines.
            retirement: Drains artifacts.
            desk: Sends orders; new for each term.
            tally: The fleet's demand.
            configuration: Returns the configuration in force.
            check_lease: Raises `LeaseLost` once the term is over.
            settings: Bounds on loads.
            clock: Time source.
        """
        self._pool = pool
        self._inventory = inventory
        self._retirement = retirement
        self._desk = desk
        self._tally = tally
        self._configuration = configuration
        self._check_lease = check_lease
        self._clock = clock
        self._planner = Planner()
        self._need = NeedEstimate()
        self._budget = LoadBudget(settings, pool_share(configuration(), pool), clock)
        self._survey = PoolSurvey(
            pool, inventory, desk, self._is_draining, configuration, clock
        )
        self._removals: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._loading: set[asyncio.Task[None]] = set()
        self._wanted: dict[str, float] = {}
        self._shortages: frozenset[Shortage] = frozenset()
        """Those of the last round; a decision that lasts is logged once."""
        self.plan_seconds = 0.0
        """How long the latest plan took to work out."""
        self._shortages: set[Shortage] = set()

    def want(self, artifact: str) -> None:
        """Note that requests wait for an artifact."""
        self._wanted[artifact] = self._clock.monotonic()

    async def round(self) -> Plan | None:
        """Plan once and start the moves.

        Returns:
            The plan, None if the ledgers could not be read.

        Raises:
            LeaseLost: The term is over.
        """
        self._check_lease()
        try:
            await self._desk.take_over(s.name for s in self._survey.servers())
        except PlatformError as exc:
            ROUND_FAILED.log(pool=self._pool, reason=exc.message)
            return None
        await self._desk.settle()
        self._check_lease()
        self._survey.forget_gone()
        started = self._clock.monotonic()
        plan = self._planner.plan(self.view())
        self.plan_seconds = self._clock.monotonic() - started
        self._follow(plan)
        return plan

    def view(self) -> PoolView:
        """Return the pool as the next plan would see it."""
        demand = self._tally.total()
        states = [
            state
            for server in self._survey.servers()
            if (state := self._inventory.state(server.name)) is not None
        ]
        self._need.learn(demand, states)
        need = self._need.update(demand, self._clock.monotonic())
        names = {d.name for d in self._survey.deployments().values()}
        need = {name: slots for name, slots in need.items() if name in names}
        view = self._survey.view(need, self._urgent(), NO_BUDGET)
        return view._replace(budget=self._available(view))

    async def close(self) -> None:
        """Stop what is under way; the ledgers keep what was ordered."""
        tasks = [*self._removals.values(), *self._loading]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def finish_loads(self) -> None:
        """Wait until the loads that were decided have been ordered."""
        await asyncio.gather(*self._loading)

    def _urgent(self) -> frozenset[str]:
        oldest = self._clock.monotonic() - self.URGENT_SECONDS
        self._wanted = {a: at for a, at in self._wanted.items() if at >= oldest}
        return frozenset(self._wanted)

    def _available(self, view: PoolView) -> Budget:
        self._budget.share = pool_share(self._configuration(), self._pool)
        loading = [
            holding
            for server in view.servers.values()
            for holding in server.holdings.values()
            if holding.state == "loading"
        ]
        adapters = sum(holding.base is not None for holding in loading)
        return self._budget.available(len(loading) - adapters, adapters)

    def _follow(self, plan: Plan) -> None:
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
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)

    async def _load(self, load: Load) -> None:
        order = self._desk.load(load.server, load.artifact, load.mib, load.base)
        await self._attempt(order, load.server, load.artifact)

    def _start_removal(self, unload: Unload) -> None:
        key = (unload.server, unload.artifact)
        if key in self._removals:
            return
        UNLOAD_DECIDED.log(pool=self._pool, **unload._asdict())
        self._remove(key)

    def _remove(self, key: tuple[str, str]) -> None:
        # The mark comes before the next await, so that no later plan of this term
        # counts on the replica.
        self._retirement.mark(*key, self._retirement.MARK_SECONDS)
        removal = Removal(
            *key, self._desk, self._retirement, self._may_remove, self._clock
        )
        task = asyncio.ensure_future(self._attempt(removal.run(), *key))
        self._removals[key] = task
        task.add_done_callback(lambda _: self._removals.pop(key, None))

    def _resume_inherited(self) -> None:
        """Carry on removals that an earlier author had written down."""
        for server in self._survey.servers():
            ledger = self._desk.ledger(server.name)
            for intent in ledger.intents if ledger else ():
                key = (server.name, intent.artifact)
                waits = intent.action == "unload" and key not in self._removals
                if waits and self._may_remove(*key):
                    self._remove(key)

    def _may_remove(self, server: str, artifact: str) -> bool:
        view = self._survey.view_around(artifact)
        if server not in view.servers:
            return False
        return Draft(view).may_remove(server, artifact)

    def _is_draining(self, server: str, artifact: str) -> bool:
        key = (server, artifact)
        return key in self._removals or self._retirement.covers(*key)

    async def _attempt(
        self, order: Awaitable[object], server: str, artifact: str
    ) -> None:
        """Wait for an order; what fails is planned again in a later round."""
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
