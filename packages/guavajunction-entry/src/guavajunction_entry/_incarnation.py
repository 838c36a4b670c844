"""An incarnation of an instance, from joining the fleet to leaving it."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from enum import Enum

from aiohttp import web

from guavajunction.clock import Clock, SystemClock
from guavajunction.configuration import OperatorDependencies, operator_routes
from guavajunction.connections import (
    BoundedAppRunner,
    ServerBounds,
    limit_kernel_buffers,
)
from guavajunction.customers import IssuedKey, issue
from guavajunction.errors import PlatformError
from guavajunction.memory import MemoryBudget
from guavajunction.metrics import MetricsRegistry
from guavajunction.settings import Settings

from . import _events as events
from ._aggregates import Aggregates
from .front import Front, FrontParts

REFUSED_BODY_READ_SECONDS = 1.0
"""Time for which the rest of a refused request body is read and discarded.

A caller that is still sending its body would not read the refusal otherwise.
"""


GC_YOUNG_THRESHOLD = 20_000
"""Net object allocations that trigger a collection of the youngest generation."""


class Ending(Enum):
    """Why an incarnation ended."""

    STOPPED = "stopped"
    """A planned stop was requested."""
    REVOKED = "revoked"
    """The fleet revoked the incarnation, for example after a long pause.

    The instance may rejoin the fleet as a new incarnation.
    """


class Incarnation:
    """Starts the aggregates, serves requests, and drains them before it stops."""

    def __init__(self, settings: Settings, stop: asyncio.Event) -> None:
        """Create an incarnation.

        Args:
            settings: The instance's settings.
            stop: Set when a planned stop is requested.
        """
        self._settings = settings
        self._stop = stop
        self._clock: Clock = SystemClock()

    async def run(self) -> Ending:
        """Serve until a planned stop or until the fleet revokes this incarnation.

        Returns:
            Why the incarnation ended.
        """
        async with AsyncExitStack() as stack:
            aggregates = Aggregates(self._settings, stack, self._clock)
            tasks = await stack.enter_async_context(asyncio.TaskGroup())
            running = [
                tasks.create_task(loop.run())
                for loop in (
                    aggregates.mesh,
                    aggregates.membership,
                    aggregates.manager,
                    aggregates.limits,
                    aggregates.idempotency,
                    aggregates.inventory,
                    aggregates.placement,
                )
            ]
            running.append(tasks.create_task(self._dispatch_periodically(aggregates)))
            aggregates.manager.on_change(
                lambda cfg: tasks.create_task(aggregates.limits.refresh())
            )
            try:
                return await self._serve(aggregates, stack)
            finally:
                for task in running:
                    task.cancel()

    async def _serve(self, aggregates: Aggregates, stack: AsyncExitStack) -> Ending:
        await aggregates.mesh.ready()
        bounds = self._create_bounds(aggregates.metrics)
        front = self._create_front(aggregates, bounds.budget)
        runner = BoundedAppRunner(
            front.app(),
            bounds=bounds,
            handler_cancellation=True,
            shutdown_timeout=self._settings.timing.drain,
            lingering_time=REFUSED_BODY_READ_SECONDS,
            access_log=None,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        own = self._settings.instance
        site = web.TCPSite(runner, own.address, own.http_port, reuse_port=False)
        await site.start()
        limit_kernel_buffers(site, bounds.buffers)
        events.STARTED.log(
            instance=own.name,
            incarnation=aggregates.mesh.me.incarnation,
            data_centre=own.data_centre,
        )
        _limit_garbage_collection()
        ending = await self._wait_for_end(aggregates)
        await self._drain(aggregates, front, runner, ending)
        return ending

    async def _wait_for_end(self, aggregates: Aggregates) -> Ending:
        waits = {
            asyncio.ensure_future(self._stop.wait()): Ending.STOPPED,
            asyncio.ensure_future(aggregates.membership.lost.wait()): Ending.REVOKED,
        }
        try:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        return waits[next(iter(done))]

    async def _drain(
        self,
        aggregates: Aggregates,
        front: Front,
        runner: web.AppRunner,
        ending: Ending,
    ) -> None:
        """Leave the directory, finish running requests and hand over the shares.

        The shares are this instance's parts of the customers' rate limits.
        """
        events.STOPPING.log(
            ending=ending.value, in_flight=aggregates.load_tracker.total
        )
        aggregates.draining = True
        timing = self._settings.timing
        if ending is Ending.STOPPED:
            await self._run_stop_step(aggregates.membership.leave)
            await self._clock.sleep(timing.directory_ttl + 2 * timing.heartbeat)
        await runner.cleanup()
        await front.finish()
        if ending is Ending.STOPPED:
            await aggregates.limits.hand_over()
            await self._run_stop_step(aggregates.membership.deregister)
        events.STOPPED.log(ending=ending.value)

    async def _run_stop_step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step of a planned stop; a store failure must not prevent the stop."""
        try:
            await step()
        except PlatformError as exc:
            events.STOP_STEP_FAILED.log(failure=type(exc).__name__)

    async def _dispatch_periodically(self, aggregates: Aggregates) -> None:
        """Grant slots that new load reports or new replicas have made available."""
        while True:
            await self._clock.sleep(self._settings.timing.load_poll / 2)
            aggregates.dispatcher.dispatch_waiting()

    def _create_bounds(self, metrics: MetricsRegistry) -> ServerBounds:
        machine = self._settings.machine
        return ServerBounds.for_machine(
            memory_mb=machine.memory_mb,
            max_descriptors=machine.max_descriptors,
            max_head_bytes=lambda: self._settings.serving.max_head_bytes,
            clock=self._clock,
            metrics=metrics,
        )

    def _create_front(self, aggregates: Aggregates, budget: MemoryBudget) -> Front:
        operator_dependencies = OperatorDependencies(
            store=aggregates.store,
            manager=aggregates.manager,
            editor=aggregates.editor,
            explainer=aggregates.decisions,
            instances=aggregates.membership.records,
            drain_instance=self._stop.set,
            issue_key=self._issue_key,
        )
        token = self._settings.secrets.operator_token_file.decode()
        front_parts = FrontParts(
            configuration=lambda: aggregates.configuration,
            key_authenticator=aggregates.key_authenticator,
            limits=aggregates.limits,
            idempotency=aggregates.idempotency,
            inventory=aggregates.inventory,
            inference=aggregates.inference,
            services=aggregates.services,
            directory=aggregates.directory,
            decisions=aggregates.decisions,
            demand=aggregates.demand,
            budget=budget,
            metrics=aggregates.metrics,
            clock=self._clock,
            ready=aggregates.ready,
            may_serve=aggregates.may_serve,
            draining=lambda: aggregates.draining,
            serving=self._settings.serving,
            timing=self._settings.timing,
        )
        return Front(front_parts, operator_routes(operator_dependencies, token=token))

    def _issue_key(self, customer: str) -> IssuedKey:
        return issue(customer, self._settings.secrets.pepper_file)


def _limit_garbage_collection() -> None:
    """Exclude long-lived objects from garbage collection, and collect less often.

    Objects that exist after startup live as long as the process.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD)
