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
from guavajunction.customers import IssuedKey, issue
from guavajunction.errors import PlatformError
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
            parts = Aggregates(self._settings, stack, self._clock)
            tasks = await stack.enter_async_context(asyncio.TaskGroup())
            running = [
                tasks.create_task(loop.run())
                for loop in (
                    parts.mesh,
                    parts.membership,
                    parts.manager,
                    parts.limits,
                    parts.idempotency,
                    parts.inventory,
                    parts.placement,
                )
            ]
            running.append(tasks.create_task(self._dispatch_periodically(parts)))
            parts.manager.on_change(
                lambda cfg: tasks.create_task(parts.limits.refresh())
            )
            try:
                return await self._serve(parts, stack)
            finally:
                for task in running:
                    task.cancel()

    async def _serve(self, parts: Aggregates, stack: AsyncExitStack) -> Ending:
        await parts.mesh.ready()
        front = self._create_front(parts)
        runner = web.AppRunner(
            front.app(),
            handler_cancellation=True,
            shutdown_timeout=self._settings.timing.drain,
            lingering_time=REFUSED_BODY_READ_SECONDS,
            access_log=None,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        own = self._settings.instance
        await web.TCPSite(runner, own.address, own.http_port, reuse_port=False).start()
        events.STARTED.log(
            instance=own.name,
            incarnation=parts.mesh.me.incarnation,
            data_centre=own.data_centre,
        )
        _limit_garbage_collection()
        ending = await self._wait_for_end(parts)
        await self._drain(parts, front, runner, ending)
        return ending

    async def _wait_for_end(self, parts: Aggregates) -> Ending:
        waits = {
            asyncio.ensure_future(self._stop.wait()): Ending.STOPPED,
            asyncio.ensure_future(parts.membership.lost.wait()): Ending.REVOKED,
        }
        try:
            done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        return waits[next(iter(done))]

    async def _drain(
        self, parts: Aggregates, front: Front, runner: web.AppRunner, ending: Ending
    ) -> None:
        """Leave the directory, finish running requests and hand over shares."""
        events.STOPPING.log(ending=ending.value, in_flight=parts.load_tracker.total)
        parts.draining = True
        timing = self._settings.timing
        if ending is Ending.STOPPED:
            await self._run_stop_step(parts.membership.leave)
            await self._clock.sleep(timing.directory_ttl + 2 * timing.heartbeat)
        await runner.cleanup()
        await front.finish()
        if ending is Ending.STOPPED:
            await parts.limits.hand_over()
            await self._run_stop_step(parts.membership.deregister)
        events.STOPPED.log(ending=ending.value)

    async def _run_stop_step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step of a planned stop; a failed store must not prevent the stop."""
        try:
            await step()
        except PlatformError as exc:
            events.STOP_STEP_FAILED.log(failure=type(exc).__name__)

    async def _dispatch_periodically(self, parts: Aggregates) -> None:
        """Grant slots that new load reports or new replicas have made available."""
        while True:
            await self._clock.sleep(self._settings.timing.load_poll / 2)
            parts.dispatcher.dispatch_waiting()

    def _create_front(self, parts: Aggregates) -> Front:
        operator_dependencies = OperatorDependencies(
            store=parts.store,
            manager=parts.manager,
            editor=parts.editor,
            explainer=parts.decisions,
            instances=parts.membership.records,
            drain_instance=self._stop.set,
            issue=self._issue,
        )
        token = self._settings.secrets.operator_token_file.decode()
        front_parts = FrontParts(
            configuration=lambda: parts.configuration,
            key_authenticator=parts.key_authenticator,
            limits=parts.limits,
            idempotency=parts.idempotency,
            inventory=parts.inventory,
            inference=parts.inference,
            services=parts.services,
            directory=parts.directory,
            decisions=parts.decisions,
            demand=parts.demand,
            metrics=parts.metrics,
            clock=self._clock,
            ready=parts.ready,
            standing=parts.may_serve,
            draining=lambda: parts.draining,
            serving=self._settings.serving,
            timing=self._settings.timing,
        )
        return Front(front_parts, operator_routes(operator_dependencies, token=token))

    def _issue(self, customer: str) -> IssuedKey:
        return issue(customer, self._settings.secrets.pepper_file)


def _limit_garbage_collection() -> None:
    """Exclude long-lived objects from garbage collection, and collect less often.

    Objects that exist at the start live as long as the process.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD)
