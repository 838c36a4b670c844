"""Injects the faults of a soak from outside the processes."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import defaultdict
from contextlib import AsyncExitStack
from enum import StrEnum

from guavajunction_fakes.deployment import AnswerRepeat, FakeRunner, LocalDeployment
from guavajunction_fakes.fleet import FleetProcess

from ._history import Change
from ._link_proxy import LinkProxy
from ._plan import CUT_KINDS, REPEAT_KINDS, STORE_RETURNS, Fault, FaultKind


class CutKind(StrEnum):
    """What becomes of the connections of an instance that is cut from all runners."""

    HANG = "hang"
    RESET = "reset"
    LIVE_ON = "live on"
    """Open connections live on, and new ones are refused."""
    ACCEPT_IN_SILENCE = "accept in silence"
    """New connections are accepted on the way; nothing passes on any."""
    ACCEPT_AND_RESET = "accept and reset"
    """New connections are accepted on the way and reset at once."""


STORE_OUTAGES = {
    FaultKind.STORE_HANGS: "hang",
    FaultKind.STORE_FAILS: "error",
    FaultKind.STORE_DROPS: "drop",
}
REPEATS = {
    FaultKind.REPEAT_AT_ONCE: AnswerRepeat.AT_ONCE,
    FaultKind.REPEAT_LATER: AnswerRepeat.LATER,
    FaultKind.REPEAT_BEFORE_NEXT: AnswerRepeat.BEFORE_NEXT,
}


class LinkProxies:
    """Starts a link proxy for each target; implements `LinkProvider`."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.proxies: dict[str, LinkProxy] = {}
        """Proxies by target name, as in `LinkProvider.link_address`."""

    async def link_address(self, name: str, address: str) -> str:
        """Return the address of a target's proxy; the first call starts the proxy."""
        if name not in self.proxies:
            proxy = LinkProxy(address)
            await self._stack.enter_async_context(proxy.listen())
            self.proxies[name] = proxy
        return self.proxies[name].address

    def of_instance(self, instance: str) -> list[LinkProxy]:
        """Return the proxies of an instance's own links to the runners."""
        return [
            proxy
            for name, proxy in self.proxies.items()
            if name.endswith(f"/{instance}") and not name.startswith("store/")
        ]

    async def cut(self, instance: str, kind: CutKind) -> None:
        """Cut an instance from all runners until `heal`."""
        for proxy in self.of_instance(instance):
            if kind in (CutKind.HANG, CutKind.ACCEPT_IN_SILENCE):
                proxy.stall()
            if kind is CutKind.HANG:
                await proxy.ignore()
            if kind in (CutKind.RESET, CutKind.LIVE_ON):
                await proxy.refuse()
            if kind is CutKind.ACCEPT_AND_RESET:
                proxy.reset_new = True
            if kind in (CutKind.RESET, CutKind.ACCEPT_AND_RESET):
                proxy.reset()

    async def heal(self, instance: str) -> None:
        """Restore the links of an instance to the runners."""
        for proxy in self.of_instance(instance):
            proxy.restore()
            await proxy.accept()


class FaultInjector:
    """Injects the faults of a plan into a deployment."""

    STOP_SECONDS = 6.0
    """Timeout of a planned stop: the grace period in the settings plus a margin."""
    STUTTER_SECONDS = (0.12, 0.06)
    """Duration of each suspended and each running phase of a stutter."""
    MIN_DOWNTIME_SECONDS = 0.3
    """Minimum time between the kill of an instance and its restart."""

    def __init__(self, deployment: LocalDeployment, links: LinkProxies) -> None:
        self._deployment = deployment
        self._links = links
        self._faulty_targets: set[str] = set()
        self._repeats: defaultdict[str, list[AnswerRepeat]] = defaultdict(list)
        """By runner: how it is to write answers twice; the last one is in force."""
        self.changes: list[Change] = []
        """Changes written to the store so far."""
        self.failed_stops: list[str] = []
        """Planned stops in which the process did not exit in time with status 0."""
        self.stopped_on_purpose: set[str] = set()
        """Names of instances that were killed or stopped and not yet restarted."""
        self.current_key = "key-of-atelier"
        """The customer's current API key."""

    async def run(self, plan: list[Fault], started_at: float) -> None:
        """Inject the faults of a plan and wait until all have ended.

        Args:
            plan: Faults to inject.
            started_at: Start of traffic, in seconds of the monotonic clock.
        """
        async with asyncio.TaskGroup() as tasks:
            for fault in plan:
                tasks.create_task(self._inject_at(fault, started_at))

    async def _inject_at(self, fault: Fault, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
        name = self._target_name(fault)
        # Skips the fault if another one affects the same target: a process that is
        # being stopped can't be frozen.
        if name in self._faulty_targets:
            return
        self._faulty_targets.add(name)
        try:
            await self._inject(fault, name)
        finally:
            self._faulty_targets.discard(name)

    def _target_name(self, fault: Fault) -> str:
        kind = fault.kind
        if kind.startswith("runner") or kind is FaultKind.DRAIN:
            names = sorted(self._deployment.runners)
        elif kind.startswith("store") and kind not in (
            FaultKind.STORE_LINK,
            FaultKind.STORE_MUTE,
        ):
            return "store"
        elif kind in (FaultKind.HISTORY, FaultKind.KEYS, FaultKind.KILL_ALL):
            return str(kind)
        elif kind in CUT_KINDS:
            return "links to runners"
        elif kind in REPEAT_KINDS:
            return f"answers from {fault.at}"
        else:
            names = sorted(self._deployment.instances)
        name = names[fault.target % len(names)]
        is_store_link = kind in (FaultKind.STORE_LINK, FaultKind.STORE_MUTE)
        return f"store/{name}" if is_store_link else name

    async def _inject(self, fault: Fault, name: str) -> None:
        kind = fault.kind
        if name in self._deployment.instances:
            await self._inject_instance_fault(fault, name)
        elif name in self._deployment.runners:
            await self._inject_runner_fault(fault, self._deployment.runners[name])
        elif name in self._links.proxies:
            proxy = self._links.proxies[name]
            if kind is FaultKind.STORE_MUTE:
                proxy.stall_open_connections()
            else:
                await self._stall_for(proxy, fault.seconds)
        elif kind is FaultKind.KILL_ALL:
            names = [
                n for n in self._deployment.instances if n not in self._faulty_targets
            ]
            self._faulty_targets.update(names)
            await asyncio.gather(
                *(self._kill(n, self.MIN_DOWNTIME_SECONDS) for n in names)
            )
            self._faulty_targets.difference_update(names)
        elif kind in CUT_KINDS:
            await self._cut(fault)
        elif kind in REPEAT_KINDS:
            await self._repeat_answers(fault)
        elif kind is FaultKind.KEYS:
            self._change_key()
        elif kind is FaultKind.HISTORY:
            self._deployment.store.truncate_history()
        else:
            await self._inject_store_fault(fault)

    async def _inject_instance_fault(self, fault: Fault, name: str) -> None:
        process = self._deployment.instances[name]
        if fault.kind is FaultKind.KILL:
            await self._kill(name, max(self.MIN_DOWNTIME_SECONDS, fault.seconds))
        elif fault.kind is FaultKind.STOP:
            await self._stop(name, process)
        elif fault.kind is FaultKind.FREEZE:
            process.freeze()
            await asyncio.sleep(fault.seconds)
            process.resume()
        elif fault.kind is FaultKind.STUTTER:
            await self._stutter(process, fault.seconds)
        else:
            self._deployment.change_bounds(
                name, lambda bounds: bounds | {"budgetSlack": 40 + fault.target}
            )
            process.signal(signal.SIGHUP)

    async def _cut(self, fault: Fault) -> None:
        """Cut the instances whose bits are set in the fault's target."""
        cut = CutKind(fault.kind.removeprefix("cut "))
        names = [
            name
            for number, name in enumerate(sorted(self._deployment.instances))
            if fault.target >> number & 1
        ]
        for name in names:
            await self._links.cut(name, cut)
        await asyncio.sleep(fault.seconds)
        for name in names:
            await self._links.heal(name)

    async def _repeat_answers(self, fault: Fault) -> None:
        """Let the runners whose bits are set in the target write answers twice."""
        runners = [
            runner
            for number, (_, runner) in enumerate(
                sorted(self._deployment.runners.items())
            )
            if fault.target >> number & 1
        ]
        for runner in runners:
            self._repeats[runner.spec.name].append(REPEATS[fault.kind])
            self._set_repeat(runner)
        await asyncio.sleep(fault.seconds)
        for runner in runners:
            self._repeats[runner.spec.name].remove(REPEATS[fault.kind])
            self._set_repeat(runner)

    def _set_repeat(self, runner: FakeRunner) -> None:
        repeats = self._repeats[runner.spec.name]
        when = repeats[-1] if repeats else AnswerRepeat.NEVER
        runner.repeats_answers = runner.repeats_refusals = when

    async def _kill(self, name: str, seconds: float) -> None:
        self.stopped_on_purpose.add(name)
        await self._deployment.instances[name].kill()
        await asyncio.sleep(seconds)
        self._deployment.start(name)
        self.stopped_on_purpose.discard(name)

    async def _stop(self, name: str, process: FleetProcess) -> None:
        self.stopped_on_purpose.add(name)
        status = await process.stop(within=self.STOP_SECONDS)
        if status != 0:
            self.failed_stops.append(f"{name} exited with status {status}")
        self._deployment.start(name)
        self.stopped_on_purpose.discard(name)

    async def _stutter(self, process: FleetProcess, seconds: float) -> None:
        suspended, running = self.STUTTER_SECONDS
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            process.freeze()
            await asyncio.sleep(suspended)
            process.resume()
            await asyncio.sleep(running)

    async def _inject_runner_fault(self, fault: Fault, runner: FakeRunner) -> None:
        proxy = self._links.proxies[runner.spec.name]
        kind = fault.kind
        if kind is FaultKind.RUNNER_RESET:
            proxy.reset()
        elif kind is FaultKind.RUNNER_MUTE:
            proxy.stall_open_connections()
        elif kind is FaultKind.RUNNER_LINK:
            await self._stall_for(proxy, fault.seconds)
        elif kind is FaultKind.DRAIN:
            await self._drain(runner, fault.seconds)
        else:
            if kind is FaultKind.RUNNER_BACK:
                proxy.stall_responses()
            elif kind is FaultKind.RUNNER_DELAY:
                proxy.delay_seconds = 0.2
            elif kind is FaultKind.RUNNER_FAILS:
                runner.error_status = 500
            elif fault.target % 2:
                runner.unframed_streams = True
                runner.close_inside_event = 2
            else:
                runner.cut_after_events = 1
            await asyncio.sleep(fault.seconds)
            proxy.restore()
            runner.error_status, runner.cut_after_events = 0, -1
            runner.unframed_streams, runner.close_inside_event = False, -1

    async def _drain(self, runner: FakeRunner, seconds: float) -> None:
        drained_at = time.monotonic()
        runner.drain()
        # The runner drains for longer than the time within which a change must take
        # effect, so that the check detects requests sent to the runner after that.
        await asyncio.sleep(seconds + 4.0)
        runner.restart()
        change = Change(drained_at, "drain", runner.spec.name, time.monotonic())
        self.changes.append(change)

    async def _stall_for(self, proxy: LinkProxy, seconds: float) -> None:
        proxy.stall()
        await asyncio.sleep(seconds)
        proxy.restore()

    async def _inject_store_fault(self, fault: Fault) -> None:
        faults = self._deployment.store.faults
        if fault.kind is FaultKind.STORE_RETURNS:
            drill = STORE_RETURNS[fault.target]
            await self._deployment.restore_store(
                drill.age_seconds,
                outage_seconds=fault.seconds,
                rewrite_seconds=drill.rewrite_seconds,
            )
            return
        if fault.kind is FaultKind.STORE_LOSES:
            faults.set(lose_answers=3)
            return
        if fault.kind is FaultKind.STORE_SLOW:
            faults.set(slow_seconds=0.25)
        else:
            faults.set(outage=STORE_OUTAGES[fault.kind])
        await asyncio.sleep(fault.seconds)
        faults.set(clear=True)

    def _change_key(self) -> None:
        old, number = self.current_key, len(self.changes)
        self.current_key = f"key-of-atelier-{number}-{round(time.monotonic() * 1000)}"
        self._deployment.operator.add_customer("atelier", [self.current_key])
        self._deployment.operator.write()
        self.changes.append(Change(time.monotonic(), "keys", old))
