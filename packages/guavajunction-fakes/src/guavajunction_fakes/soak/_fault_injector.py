"""Carries out the faults of a soak, from outside the processes."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import AsyncExitStack

from guavajunction_fakes.deployment import FakeRunner, LocalDeployment
from guavajunction_fakes.fleet import FleetProcess

from ._history import Change
from ._link_proxy import LinkProxy
from ._plan import Fault, FaultKind

STORE_OUTAGES = {
    FaultKind.STORE_HANGS: "hang",
    FaultKind.STORE_FAILS: "error",
    FaultKind.STORE_DROPS: "drop",
}


class ProxyLinks:
    """A proxy before everything that instances connect to; implements `Links`."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.proxies: dict[str, LinkProxy] = {}
        """By what they lead to: a runner's name, or `store/` and an instance's."""

    async def lead_to(self, name: str, address: str) -> str:
        """Return the address under which a target is reached."""
        if name not in self.proxies:
            proxy = LinkProxy(address)
            await self._stack.enter_async_context(proxy.listen())
            self.proxies[name] = proxy
        return self.proxies[name].address


class Injector:
    """Does what a plan says to a deployment."""

    STOP_SECONDS = 6.0
    """A planned stop ends within the grace that the settings name, and some slack."""
    STUTTER_SECONDS = (0.12, 0.06)
    """Suspended and running, in turn."""
    RESTART_SECONDS = 0.3

    def __init__(self, deployment: LocalDeployment, links: ProxyLinks) -> None:
        self._deployment = deployment
        self._links = links
        self._busy: set[str] = set()
        self.changes: list[Change] = []
        self.bad_stops: list[str] = []
        self.ended: set[str] = set()
        """Instances that were ended on purpose and are not back yet."""
        self.key = "key-of-atelier"
        """The key that the customer has now."""

    async def run(self, plan: list[Fault], started_at: float) -> None:
        """Carry out a plan; returns when everything is undone."""
        async with asyncio.TaskGroup() as tasks:
            for fault in plan:
                tasks.create_task(self._at(fault, started_at))

    async def _at(self, fault: Fault, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
        name = self._subject(fault)
        # What is being ended can't also be frozen; another time, then.
        if name in self._busy:
            return
        self._busy.add(name)
        try:
            await self._carry_out(fault, name)
        finally:
            self._busy.discard(name)

    def _subject(self, fault: Fault) -> str:
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
        else:
            names = sorted(self._deployment.instances)
        name = names[fault.target % len(names)]
        link = kind in (FaultKind.STORE_LINK, FaultKind.STORE_MUTE)
        return f"store/{name}" if link else name

    async def _carry_out(self, fault: Fault, name: str) -> None:
        kind = fault.kind
        if name in self._deployment.instances:
            await self._trouble_instance(fault, name)
        elif name in self._deployment.runners:
            await self._trouble_runner(fault, self._deployment.runners[name])
        elif name in self._links.proxies:
            proxy = self._links.proxies[name]
            if kind is FaultKind.STORE_MUTE:
                proxy.mute()
            else:
                await self._silenced(proxy, fault.seconds)
        elif kind is FaultKind.KILL_ALL:
            names = [n for n in self._deployment.instances if n not in self._busy]
            self._busy.update(names)
            await asyncio.gather(*(self._kill(n, self.RESTART_SECONDS) for n in names))
            self._busy.difference_update(names)
        elif kind is FaultKind.KEYS:
            self._change_key()
        elif kind is FaultKind.HISTORY:
            self._deployment.store.forget_history()
        else:
            await self._trouble_store(fault)

    async def _trouble_instance(self, fault: Fault, name: str) -> None:
        process = self._deployment.instances[name]
        if fault.kind is FaultKind.KILL:
            await self._kill(name, max(self.RESTART_SECONDS, fault.seconds))
        elif fault.kind is FaultKind.STOP:
            await self._stop(name, process)
        elif fault.kind is FaultKind.FREEZE:
            process.freeze()
            await asyncio.sleep(fault.seconds)
            process.resume()
        elif fault.kind is FaultKind.STUTTER:
            await self._stutter(process, fault.seconds)
        else:
            self._deployment.change_settings(
                name, lambda bounds: bounds | {"budgetSlack": 40 + fault.target}
            )
            process.signal(signal.SIGHUP)

    async def _kill(self, name: str, seconds: float) -> None:
        self.ended.add(name)
        await self._deployment.instances[name].kill()
        await asyncio.sleep(seconds)
        self._deployment.start(name)
        self.ended.discard(name)

    async def _stop(self, name: str, process: FleetProcess) -> None:
        self.ended.add(name)
        status = await process.stop(within=self.STOP_SECONDS)
        if status != 0:
            self.bad_stops.append(f"{name} ended with {status}")
        self._deployment.start(name)
        self.ended.discard(name)

    async def _stutter(self, process: FleetProcess, seconds: float) -> None:
        suspended, running = self.STUTTER_SECONDS
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            process.freeze()
            await asyncio.sleep(suspended)
            process.resume()
            await asyncio.sleep(running)

    async def _trouble_runner(self, fault: Fault, runner: FakeRunner) -> None:
        proxy = self._links.proxies[runner.spec.name]
        kind = fault.kind
        if kind is FaultKind.RUNNER_RESET:
            proxy.reset()
        elif kind is FaultKind.RUNNER_MUTE:
            proxy.mute()
        elif kind is FaultKind.RUNNER_LINK:
            await self._silenced(proxy, fault.seconds)
        elif kind is FaultKind.DRAIN:
            await self._drain(runner, fault.seconds)
        else:
            if kind is FaultKind.RUNNER_BACK:
                proxy.silence_back()
            elif kind is FaultKind.RUNNER_DELAY:
                proxy.delay_seconds = 0.2
            elif kind is FaultKind.RUNNER_FAILS:
                runner.fail_with = 500
            else:
                runner.cut_after = 1
            await asyncio.sleep(fault.seconds)
            proxy.restore()
            runner.fail_with, runner.cut_after = 0, -1

    async def _drain(self, runner: FakeRunner, seconds: float) -> None:
        at = time.monotonic()
        runner.drain()
        # It stays long enough to see whether anything new still comes.
        await asyncio.sleep(seconds + 4.0)
        runner.come_back()
        change = Change(at, "drain", runner.spec.name, time.monotonic())
        self.changes.append(change)

    async def _silenced(self, proxy: LinkProxy, seconds: float) -> None:
        proxy.silence()
        await asyncio.sleep(seconds)
        proxy.restore()

    async def _trouble_store(self, fault: Fault) -> None:
        faults = self._deployment.store.faults
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
        old, number = self.key, len(self.changes)
        self.key = f"key-of-atelier-{number}-{round(time.monotonic() * 1000)}"
        self._deployment.operator.add_customer("atelier", [self.key])
        self._deployment.operator.write()
        self.changes.append(Change(time.monotonic(), "keys", old))
