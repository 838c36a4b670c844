"""Runs the planners of the pools that are assigned to this instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

from guavajunction.backends import (
    BackendClient,
    Inventory,
    Members,
    OrderManager,
    Retirement,
)
from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.errors import GuavaError, LeaseLost
from guavajunction.peers import Links, PeerId
from guavajunction.settings import PlacementSettings
from guavajunction.storage import TableService

from ._events import PLANNER_FAILED, PLANNER_STARTED, PLANNER_STOPPED, ROUND_FAILED
from ._fleet_demand import FleetDemand
from ._messages import ArtifactWanted
from ._model import name_of
from ._planner_term import PlannerTerm
from ._protocols import DemandSource, PlannerLease


class PlacementService:
    """Plans the pools that are assigned to this instance."""

    REQUEST_INTERVAL_SECONDS = 0.5
    """Minimum time between two notifications about the same artifact."""
    MIN_PAUSE_SECONDS = 0.05
    """Minimum time between two planning rounds."""
    PLANNING_CPU_SHARE = 0.05
    """Share of a CPU core that planning may use.

    The pause after a round grows with the time that computing the plan took.
    """

    def __init__(
        self,
        inventory: Inventory,
        retirement: Retirement,
        client: BackendClient,
        table: TableService,
        links: Links,
        members: Members,
        leases: Callable[[str], PlannerLease],
        configuration: Callable[[], Configuration],
        demand: DemandSource,
        settings: PlacementSettings,
        clock: Clock,
    ) -> None:
        """Register the message handler and add the demand to the heartbeats.

        Args:
            inventory: States of the engines.
            retirement: Drains artifacts.
            client: Calls the engines.
            table: Stores the ledger rows.
            links: Links to the other instances.
            members: Assigns a planner to each pool.
            leases: Returns the lease for a lease name, `placement/POOL`.
            configuration: Returns the configuration in force.
            demand: Demand that arrives at this instance.
            settings: Limits on loads and the planning interval.
            clock: Time source.
        """
        self._inventory = inventory
        self._retirement = retirement
        self._client = client
        self._table = table
        self._links = links
        self._members = members
        self._leases = leases
        self._configuration = configuration
        self._settings = settings
        self._clock = clock
        self._fleet_demand = FleetDemand(demand, links, clock)
        self._terms: dict[str, PlannerTerm] = {}
        self._round_due = asyncio.Event()
        self._last_requested_at: dict[str, float] = {}
        links.handle(ArtifactWanted, self._on_wanted)

    def request_artifact(self, artifact: str) -> None:
        """Notify the planner that requests wait for an artifact.

        Calls within `REQUEST_INTERVAL_SECONDS` of the last notification about the
        artifact are ignored.
        """
        now = self._clock.monotonic()
        if (
            now - self._last_requested_at.get(artifact, -1e9)
            < self.REQUEST_INTERVAL_SECONDS
        ):
            return
        self._last_requested_at[artifact] = now
        pool = self._pool_of(artifact)
        owner = self._members.owner_of(lease_name(pool)) if pool else None
        if owner is None:
            return
        if owner == self._links.me:
            self._mark_urgent(artifact)
        else:
            self._links.send(owner, ArtifactWanted(artifact))

    async def run(self) -> None:
        """Run the planners until cancelled, restarting planners that fail."""
        pools: dict[str, asyncio.Task[None]] = {}
        async with AsyncExitStack() as stack:
            stack.push_async_callback(_cancel, pools)
            while True:
                _drop_failed(pools)
                for pool in self._pools() - pools.keys():
                    pools[pool] = asyncio.ensure_future(self.run_planner(pool))
                await self._clock.sleep(self._settings.plan_every)

    async def run_planner(self, pool: str) -> None:
        """Plan a pool while it is assigned to this instance, until cancelled."""
        name = lease_name(pool)
        while True:
            if self._is_owner(pool):
                lease = self._leases(name)
                try:
                    await lease.acquire()
                    await self._run_term(pool, lease)
                except GuavaError as exc:
                    ROUND_FAILED.log(pool=pool, reason=exc.message)
                finally:
                    await lease.release()
            await self._clock.sleep(self._settings.plan_every)

    async def _run_term(self, pool: str, lease: PlannerLease) -> None:
        """Run planning rounds until the lease is lost or the pool is reassigned."""
        term = self._new_term(pool, lease)
        PLANNER_STARTED.log(pool=pool)
        try:
            while self._is_owner(pool):
                await term.run_round()
                await self._pause(term.plan_seconds)
        except LeaseLost as exc:
            PLANNER_STOPPED.log(pool=pool, reason=exc.message)
        finally:
            del self._terms[pool]
            await term.close()

    def _new_term(self, pool: str, lease: PlannerLease) -> PlannerTerm:
        order_manager = OrderManager(
            self._client, self._table, self._configuration, lease.check, self._clock
        )
        term = PlannerTerm(
            pool,
            self._inventory,
            self._retirement,
            order_manager,
            self._fleet_demand,
            self._configuration,
            lease.check,
            self._settings,
            self._clock,
        )
        self._terms[pool] = term
        return term

    async def _pause(self, plan_seconds: float) -> None:
        """Wait for the next round; a request for an artifact shortens the wait.

        Args:
            plan_seconds: Seconds that computing the latest plan took.
        """
        min_pause = max(self.MIN_PAUSE_SECONDS, plan_seconds / self.PLANNING_CPU_SHARE)
        self._round_due.clear()
        pause = asyncio.ensure_future(self._clock.sleep(self._settings.plan_every))
        wake = asyncio.ensure_future(self._round_due.wait())
        try:
            await asyncio.wait((pause, wake), return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
            wake.cancel()
        await self._clock.sleep(min_pause)

    def _pools(self) -> set[str]:
        return {server.pool for server in self._configuration().engines}

    def _is_owner(self, pool: str) -> bool:
        return self._members.owner_of(lease_name(pool)) == self._links.me

    def _pool_of(self, artifact: str) -> str | None:
        cfg = self._configuration()
        name = name_of(artifact)
        adapter = cfg.adapters.get(name)
        model = cfg.models.get(adapter.model if adapter else name)
        return model.pool if model else None

    def _mark_urgent(self, artifact: str) -> None:
        pool = self._pool_of(artifact)
        term = self._terms.get(pool) if pool else None
        if term is not None:
            term.mark_urgent(artifact)
            self._round_due.set()

    async def _on_wanted(self, sender: PeerId, wanted: ArtifactWanted) -> None:
        self._mark_urgent(wanted.artifact)


def lease_name(pool: str) -> str:
    """Return the name of the lease that a pool's planner holds.

    >>> lease_name("captions")
    'placement/captions'
    """
    return f"placement/{pool}"


def _drop_failed(tasks: dict[str, asyncio.Task[None]]) -> None:
    """Log and drop the tasks that have ended, so that they are started again."""
    for pool, task in list(tasks.items()):
        if task.done():
            del tasks[pool]
            PLANNER_FAILED.log(pool=pool, reason=repr(task.exception()))


async def _cancel(tasks: dict[str, asyncio.Task[None]]) -> None:
    for task in tasks.values():
        task.cancel()
    await asyncio.gather(*tasks.values(), return_exceptions=True)
