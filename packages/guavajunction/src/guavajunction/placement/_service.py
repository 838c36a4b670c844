"""Keeps one planner running for each pool of engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

from guavajunction.backends import (
    BackendClient,
    Inventory,
    Members,
    OrderDesk,
    Retirement,
)
from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.errors import GuavaError, LeaseLost
from guavajunction.peers import Links, PeerId
from guavajunction.settings import PlacementSettings
from guavajunction.storage import TableService

from ._events import PLANNER_FAILED, PLANNER_STARTED, PLANNER_STOPPED, ROUND_FAILED
from ._fleet_demand import DemandTally
from ._messages import ArtifactWanted
from ._model import name_of
from ._planner_term import Term
from ._protocols import DemandSource, PlannerLease


class PlacementService:
    """Plans the pools whose author this instance is."""

    WANTED_SECONDS = 0.5
    """Least time between two messages about the same wanted artifact."""
    LEAST_PAUSE_SECONDS = 0.05
    """Least time between two planning rounds."""
    PLANNING_SHARE = 0.05
    """Part of a core that planning may take; larger pools are planned less often."""

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
        """Register the handler and add the demand to the heartbeats.

        Args:
            inventory: States of the engines.
            retirement: Drains artifacts.
            client: Calls the engines.
            table: Keeps the ledgers.
            links: Links to the other instances.
            members: Chooses each pool's planner.
            leases: Returns the lease of a name, `placement/POOL`.
            configuration: Returns the configuration in force.
            demand: This instance's demand.
            settings: Bounds on loads.
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
        self._tally = DemandTally(demand, links, clock)
        self._terms: dict[str, Term] = {}
        self._wake = asyncio.Event()
        self._told: dict[str, float] = {}
        links.handle(ArtifactWanted, self._on_wanted)

    def request_artifact(self, artifact: str) -> None:
        """Tell the planner that requests wait for an artifact."""
        now = self._clock.monotonic()
        if now - self._told.get(artifact, -1e9) < self.WANTED_SECONDS:
            return
        self._told[artifact] = now
        pool = self._pool_of(artifact)
        author = self._members.author(lease_name(pool)) if pool else None
        if author is None:
            return
        if author == self._links.me:
            self._want(artifact)
        else:
            self._links.tell(author, ArtifactWanted(artifact))

    async def run(self) -> None:
        """Plan until cancelled."""
        pools: dict[str, asyncio.Task[None]] = {}
        async with AsyncExitStack() as stack:
            stack.push_async_callback(_cancel, pools)
            while True:
                _drop_failed(pools)
                for pool in self._pools() - pools.keys():
                    pools[pool] = asyncio.ensure_future(self.lead(pool))
                await self._clock.sleep(self._settings.plan_every)

    async def lead(self, pool: str) -> None:
        """Plan a pool whenever this instance is its author, until cancelled."""
        name = lease_name(pool)
        while True:
            if self._is_author(pool):
                lease = self._leases(name)
                try:
                    await lease.acquire()
                    await self._hold(pool, lease)
                except GuavaError as exc:
                    ROUND_FAILED.log(pool=pool, reason=exc.message)
                finally:
                    await lease.release()
            await self._clock.sleep(self._settings.plan_every)

    async def _hold(self, pool: str, lease: PlannerLease) -> None:
        """Plan rounds until the lease is lost or another instance is the author."""
        term = self._begin(pool, lease)
        PLANNER_STARTED.log(pool=pool)
        try:
            while self._is_author(pool):
                await term.round()
                await self._pause(term.plan_seconds)
        except LeaseLost as exc:
            PLANNER_STOPPED.log(pool=pool, reason=exc.message)
        finally:
            del self._terms[pool]
            await term.close()

    def _begin(self, pool: str, lease: PlannerLease) -> Term:
        desk = OrderDesk(
            self._client, self._table, self._configuration, lease.check, self._clock
        )
        term = Term(
            pool,
            self._inventory,
            self._retirement,
            desk,
            self._tally,
            self._configuration,
            lease.check,
            self._settings,
            self._clock,
        )
        self._terms[pool] = term
        return term

    async def _pause(self, plan_seconds: float) -> None:
        """Wait for the next round, or less if an artifact is wanted."""
        least = max(self.LEAST_PAUSE_SECONDS, plan_seconds / self.PLANNING_SHARE)
        self._wake.clear()
        pause = asyncio.ensure_future(self._clock.sleep(self._settings.plan_every))
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait((pause, wake), return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
            wake.cancel()
        await self._clock.sleep(least)

    def _pools(self) -> set[str]:
        return {server.pool for server in self._configuration().engines}

    def _is_author(self, pool: str) -> bool:
        return self._members.author(lease_name(pool)) == self._links.me

    def _pool_of(self, artifact: str) -> str | None:
        cfg = self._configuration()
        name = name_of(artifact)
        adapter = cfg.adapters.get(name)
        model = cfg.models.get(adapter.model if adapter else name)
        return model.pool if model else None

    def _want(self, artifact: str) -> None:
        pool = self._pool_of(artifact)
        term = self._terms.get(pool) if pool else None
        if term is not None:
            term.want(artifact)
            self._wake.set()

    async def _on_wanted(self, sender: PeerId, wanted: ArtifactWanted) -> None:
        self._want(wanted.artifact)


def lease_name(pool: str) -> str:
    """Return the name of the lease that a pool's planner holds.

    >>> lease_name("captions")
    'placement/captions'
    """
    return f"placement/{pool}"


def _drop_failed(tasks: dict[str, asyncio.Task[None]]) -> None:
    """Log and forget the tasks that ended, so that they are started again."""
    for pool, task in list(tasks.items()):
        if task.done():
            del tasks[pool]
            PLANNER_FAILED.log(pool=pool, reason=repr(task.exception()))


async def _cancel(tasks: dict[str, asyncio.Task[None]]) -> None:
    for task in tasks.values():
        task.cancel()
    await asyncio.gather(*tasks.values(), return_exceptions=True)
