"""One soak: a deployment, its callers, its faults, and the verdict."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

from guavajunction_fakes.deployment import LocalDeployment

from ._callers import Callers
from ._fault_injector import Injector, ProxyLinks
from ._guarantees import broken_promises
from ._history import History
from ._plan import Fault, draw_plan


class SoakResult(NamedTuple):
    """What a soak showed."""

    seed: int
    plan: list[Fault]
    broken: list[str]
    """A line for each promise that was broken."""
    answers: Counter[str]
    """Answers by status, `none` where no whole one came."""

    def __str__(self) -> str:
        answers = ", ".join(f"{k}: {n}" for k, n in sorted(self.answers.items()))
        verdict = "kept" if not self.broken else f"{len(self.broken)} broken"
        return f"seed {self.seed}: {verdict}; {answers}"


class Soak:
    """Runs real instances under the faults of one seed."""

    RECOVERY_SECONDS = 6.0
    """From the end of the last fault until everything should be served again."""
    CALM_SECONDS = 2.0
    """Then, until the callers stop."""
    CALLERS = 6
    OLD_KEY_PART = 0.2
    """Part of the requests that carry the key before the present one."""
    WATCH_SECONDS = 0.05

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
            seed: Decides the faults and the requests.
            seconds: Length of the part with faults.
            faults: How many.
            instances: How many.
            hubs: Whether instances follow a hub, as in a large fleet.
        """
        self._var = var
        self._seed = seed
        self._instances = instances
        self._hubs = hubs
        self._plan = draw_plan(seed, seconds, faults=faults)
        self._rng = random.Random(f"keys/{seed}")
        self._own_ends: set[str] = set()

    async def run(self, ports: list[int]) -> SoakResult:
        """Run it.

        Args:
            ports: Front, readiness, directory and peer port of each instance.
        """
        async with AsyncExitStack() as stack:
            links = ProxyLinks(stack)
            deployment = LocalDeployment(
                self._var,
                instances=self._instances,
                ports=ports,
                gateway_settings=self._settings(),
                links=links,
            )
            await stack.enter_async_context(deployment)
            injector = Injector(deployment, links)
            callers = Callers(deployment, self._seed, lambda: self._key(injector))
            return await self._play(deployment, injector, callers)

    async def _play(
        self, deployment: LocalDeployment, injector: Injector, callers: Callers
    ) -> SoakResult:
        started_at = time.monotonic()
        sending = asyncio.create_task(callers.run(self.CALLERS))
        watching = asyncio.create_task(self._watch(deployment, injector))
        try:
            await injector.run(self._plan, started_at)
            over_at = time.monotonic()
            await asyncio.sleep(self.RECOVERY_SECONDS + self.CALM_SECONDS)
        finally:
            for task in (sending, watching):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        history = History(
            calls=tuple(callers.calls),
            runs={n: tuple(r.runs) for n, r in deployment.runners.items()},
            changes=tuple(injector.changes),
            disturbed=tuple(
                (started_at + fault.at, min(over_at, started_at + fault.ends + 1.0))
                for fault in self._plan
            ),
            overloads={n: tuple(r.overloads) for n, r in deployment.runners.items()},
            own_ends=tuple(sorted(self._own_ends)),
            bad_stops=tuple(injector.bad_stops),
            calm_from=over_at + self.RECOVERY_SECONDS,
            stream_events=3,
            customer="atelier",
        )
        answers = Counter(str(call.status or "none") for call in history.calls)
        return SoakResult(self._seed, self._plan, broken_promises(history), answers)

    async def _watch(self, deployment: LocalDeployment, injector: Injector) -> None:
        while True:
            for name, process in deployment.instances.items():
                if not process.running and name not in injector.ended:
                    self._own_ends.add(name)
            await asyncio.sleep(self.WATCH_SECONDS)

    def _key(self, injector: Injector) -> str:
        old = [change.subject for change in injector.changes if change.kind == "keys"]
        if old and self._rng.random() < self.OLD_KEY_PART:
            return old[-1]
        return injector.key

    def _settings(self) -> Path | None:
        if not self._hubs:
            return None
        path = self._var / "gateway.ini"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("[fleet]\nfull_mesh = 1\n")
        return path
