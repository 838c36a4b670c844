"""Runs one soak: a deployment with callers and injected faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

from guavajunction_fakes.deployment import CrashingRequest, LocalDeployment

from ._callers import Callers
from ._fault_injector import FaultInjector, LinkProxies
from ._guarantees import CHANGE_TIMEOUT_SECONDS, find_violations
from ._history import Crash, EndedInstance, History, LimitedRunner
from ._loyal_callers import LoyalCallers
from ._plan import (
    CUT_KINDS,
    REPEAT_KINDS,
    Conditions,
    Fault,
    FaultKind,
    draw_conditions,
    draw_cuts,
    draw_ending,
    draw_plan,
    draw_repeats,
    draw_returns,
    reports_lost_at,
)


class SoakResult(NamedTuple):
    """Result of one soak."""

    seed: int
    plan: list[Fault]
    conditions: Conditions
    violations: list[str]
    """A line for each violation of a guarantee."""
    answers: Counter[str]
    """Number of calls by status; `none` for calls without a complete response."""
    checked: int = 0
    """Number of complete answers of runners that were checked."""
    copies: int = 0
    """Number of answers that runners wrote a second time."""

    def __str__(self) -> str:
        answers = ", ".join(f"{k}: {n}" for k, n in sorted(self.answers.items()))
        verdict = "kept" if not self.violations else f"{len(self.violations)} broken"
        part, limit, crashes_on_request, brittle = self.conditions
        drawn = f"crashing part {part or 'none'}, named limit {limit or 'none'}"
        drawn += f", crashing request {'drawn' if crashes_on_request else 'none'}"
        bears = "any rejections" if brittle is None else f"{brittle:g} rejections"
        drawn += f", plain runners bear {bears}"
        returns = sum(f.kind is FaultKind.STORE_RETURNS for f in self.plan)
        cuts = sum(f.kind in CUT_KINDS for f in self.plan)
        drawn += f", returns of the store {returns}, cuts from runners {cuts}"
        repeats = sum(f.kind in REPEAT_KINDS for f in self.plan)
        drawn += f", repeats of answers {repeats}"
        answers += f"; {self.checked} answers checked, {self.copies} written twice"
        return f"seed {self.seed}: {verdict}; {drawn}; {answers}"


class Soak:
    """Runs real instances under the faults that one seed determines."""

    RECOVERY_SECONDS = 6.0
    """Time from the end of the last fault until requests must be served normally."""
    STEADY_SECONDS = 2.0
    """Time after the recovery deadline during which callers still send requests."""
    RUNNER_COUNT = 4
    """Number of runners in the deployment."""
    CALLER_COUNT = 6
    LOYAL_CALLERS = 12
    """Number of callers that use an instance until it has ended."""
    LOYAL_STREAMS = 4
    """Number of these callers that send streams."""
    OLD_KEY_FRACTION = 0.2
    """Fraction of the requests that use the last withdrawn key, if there is one."""
    CUSTOMER = "atelier"
    LIMITED_RUNNER = "booking-1"
    """Runner that names a limit, if the soak draws one."""
    BRITTLE_SLOTS = 2
    """Slots of a plain runner that turns brittle, so that callers fill them."""
    BRITTLE_AFTER_SECONDS = 1.0
    """Time from the start of traffic until plain runners turn brittle."""
    BRITTLE_QUEUE_SLOTS = (8, 0)
    """Requests that may wait at a brittle runner, at first and after some seconds."""
    WATCH_INTERVAL_SECONDS = 0.05

    def __init__(
        self,
        var: Path,
        seed: int,
        *,
        seconds: float = 8.0,
        faults: int = 6,
        instances: int = 4,
        hubs: bool = False,
    ) -> None:
        """Create a soak.

        Args:
            var: Folder for settings and logs.
            seed: Seed that determines the faults and the requests.
            seconds: Duration of the period with faults.
            faults: Number of faults.
            instances: Number of instances.
            hubs: Whether instances follow a hub, as in a large fleet.
        """
        self._var = var
        self._seed = seed
        self._instances = instances
        self._hubs = hubs
        self._plan = sorted(
            draw_plan(seed, seconds, faults=faults)
            + draw_returns(seed, seconds)
            + draw_cuts(seed, seconds, instances=instances)
            + draw_repeats(seed, seconds, runners=self.RUNNER_COUNT)
        )
        self._conditions = draw_conditions(seed)
        self._rng = random.Random(f"keys/{seed}")
        self._unexpected_exits: set[str] = set()

    async def run(self, ports: list[int]) -> SoakResult:
        """Run the soak and check the guarantees.

        Args:
            ports: Front, readiness, directory and peer port of each instance.
        """
        async with AsyncExitStack() as stack:
            links = LinkProxies(stack)
            deployment = LocalDeployment(
                self._var,
                instances=self._instances,
                ports=ports,
                gateway_settings=self._write_gateway_settings(),
                links=links,
            )
            # Streams must not be joined from both versions.
            newer = deployment.runners["engine-2"]
            newer.spec = newer.spec._replace(version="v1.1")
            if self._conditions.brittle is not None:
                for runner in deployment.runners.values():
                    if not runner.spec.engine:
                        runner.spec = runner.spec._replace(slots=self.BRITTLE_SLOTS)
                        runner.queue_slots = self.BRITTLE_QUEUE_SLOTS[0]
            await stack.enter_async_context(deployment)
            self._apply_conditions(deployment)
            injector = FaultInjector(deployment, links)
            callers = Callers(
                deployment,
                self._seed,
                lambda: self._choose_key(injector),
                self._conditions.crashing_part,
                self._crashing_request(),
            )
            return await self._run_faults(deployment, injector, callers)

    def _crashing_request(self) -> CrashingRequest | None:
        if not self._conditions.crashing_request:
            return None
        return CrashingRequest("/look/crashes?q=1", self.CUSTOMER, b"")

    def _apply_conditions(self, deployment: LocalDeployment) -> None:
        for runner in deployment.runners.values():
            runner.events_name_request = True
            runner.crash_part = self._conditions.crashing_part
            runner.crash_request = self._crashing_request()
        if self._conditions.named_limit is not None:
            limited = deployment.runners[self.LIMITED_RUNNER]
            limited.named_limit = f"{self._conditions.named_limit}"

    async def _turn_brittle(self, deployment: LocalDeployment) -> None:
        """Let the plain runners say that they are brittle, then let fewer wait."""
        if self._conditions.brittle is None:
            return
        await asyncio.sleep(self.BRITTLE_AFTER_SECONDS)
        brittle = [r for r in deployment.runners.values() if not r.spec.engine]
        for runner in brittle:
            runner.brittle = f"{self._conditions.brittle:g}"
        await asyncio.sleep(CHANGE_TIMEOUT_SECONDS)
        for runner in brittle:
            runner.queue_slots = self.BRITTLE_QUEUE_SLOTS[1]

    def _limited_runner(self, deployment: LocalDeployment) -> LimitedRunner | None:
        limit = self._conditions.named_limit
        runner = deployment.runners[self.LIMITED_RUNNER]
        return None if limit is None else LimitedRunner(limit, tuple(runner.arrived_at))

    async def _run_faults(
        self, deployment: LocalDeployment, injector: FaultInjector, callers: Callers
    ) -> SoakResult:
        started_at = time.monotonic()
        traffic_task = asyncio.create_task(callers.run(self.CALLER_COUNT))
        brittle_task = asyncio.create_task(self._turn_brittle(deployment))
        watch_task = asyncio.create_task(self._watch_processes(deployment, injector))
        try:
            await injector.run(self._plan, started_at)
            faults_ended_at = time.monotonic()
            await asyncio.sleep(self.RECOVERY_SECONDS + self.STEADY_SECONDS)
        finally:
            for task in (traffic_task, watch_task, brittle_task):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        ended = await self._end_an_instance(deployment, injector.current_key)
        repeats = any(fault.kind in REPEAT_KINDS for fault in self._plan)
        copies = sum(runner.copies for runner in deployment.runners.values())
        history = History(
            calls=tuple(callers.calls),
            runs={n: tuple(r.runs) for n, r in deployment.runners.items()},
            changes=tuple(injector.changes),
            fault_periods=tuple(
                (
                    started_at + fault.at,
                    min(faults_ended_at, started_at + fault.ends_at + 1.0),
                )
                for fault in self._plan
                if fault.kind not in REPEAT_KINDS
            ),
            overloads={n: tuple(r.overloads) for n, r in deployment.runners.items()},
            unexpected_exits=tuple(sorted(self._unexpected_exits)),
            failed_stops=tuple(injector.failed_stops),
            recovery_deadline=faults_ended_at + self.RECOVERY_SECONDS,
            stream_events=3,
            customer=self.CUSTOMER,
            crashes=tuple(
                Crash(at, name)
                for name, runner in deployment.runners.items()
                for at in runner.crashed_at
            ),
            reports_lost_at=started_at + reports_lost_at(self._plan),
            crashing_arrivals=tuple(
                at
                for runner in deployment.runners.values()
                for at in runner.crashing_arrivals
            ),
            request_crashes=tuple(
                Crash(at, name)
                for name, runner in deployment.runners.items()
                for at in runner.crashed_on_request_at
            ),
            crashing_runs=tuple(
                at
                for runner in deployment.runners.values()
                for at in runner.crashing_runs
            ),
            limited=self._limited_runner(deployment),
            falls=tuple(
                Crash(at, name)
                for name, runner in deployment.runners.items()
                for at in runner.fell_at
            ),
            orders=tuple(
                order for r in deployment.runners.values() for order in r.orders
            ),
            ended=ended,
            copies=copies if repeats else None,
        )
        answers = Counter(str(call.status or "none") for call in history.calls)
        return SoakResult(
            self._seed,
            self._plan,
            self._conditions,
            find_violations(history),
            answers,
            history.checked_answers,
            copies,
        )

    async def _end_an_instance(
        self, deployment: LocalDeployment, key: str
    ) -> EndedInstance:
        """End an instance while callers use it, after all other faults."""
        ending = draw_ending(self._seed)
        for runner in deployment.runners.values():
            runner.crash_part, runner.crash_request = "", None
            if runner.spec.engine:
                runner.unframed_streams = ending.unframed
                runner.spec = runner.spec._replace(work_seconds=ending.event_seconds)
            else:
                runner.max_work_seconds = ending.work_seconds
        name = list(deployment.instances)[self._seed % self._instances]
        callers = LoyalCallers(deployment, name, key, f"end{self._seed}")
        signum = signal.SIGKILL if ending.killed else signal.SIGTERM
        await callers.run(self.LOYAL_CALLERS, signum, self.LOYAL_STREAMS)
        return EndedInstance(
            name, not ending.killed, callers.exit_status, tuple(callers.calls)
        )

    async def _watch_processes(
        self, deployment: LocalDeployment, injector: FaultInjector
    ) -> None:
        while True:
            for name, process in deployment.instances.items():
                if not process.running and name not in injector.stopped_on_purpose:
                    self._unexpected_exits.add(name)
            await asyncio.sleep(self.WATCH_INTERVAL_SECONDS)

    def _choose_key(self, injector: FaultInjector) -> str:
        old = [change.subject for change in injector.changes if change.kind == "keys"]
        if old and self._rng.random() < self.OLD_KEY_FRACTION:
            return old[-1]
        return injector.current_key

    def _write_gateway_settings(self) -> Path:
        """Write the gateway's settings and return their path.

        Without hubs each instance reads the store itself: the rows of backend servers
        that it reads lead through links of its own, which can be cut.
        """
        fleet = "full_mesh = 1" if self._hubs else "readers = all"
        path = self._var / "gateway.ini"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(f"[fleet]\n{fleet}\n")
        return path
