"""A small deployment on this machine: stand-ins here, instances as processes."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Protocol

import aiohttp

from guavajunction_fakes.fleet import FleetProcess

from . import _wire as wire
from ._operator import BOOKINGS, ENGINES, MEMORY_MB, MODEL_SIZES, Operator
from ._runner import FakeRunner, RunnerSpec
from ._store import FakeStore

ROOT = Path(__file__).resolve().parents[5]
PROGRAM = ROOT / "platform" / "serve.py"


class Links(Protocol):
    """Leads instances to what they connect to."""

    async def lead_to(self, name: str, address: str) -> str:
        """Return the address under which a target is reached.

        Args:
            name: A runner's name, or `store/` and the name of an instance.
            address: Where the target listens, `host:port`.
        """
        ...


class LocalDeployment:
    """Runs a store, runners and instances while it is entered.

    Each instance has an address of its own in the loopback range, so that ports can
    be the same on all, as on the platform.
    """

    READY_SECONDS = 10.0
    POLL_SECONDS = 0.05
    GRACE_SECONDS = 4.0

    def __init__(
        self,
        var: Path,
        *,
        instances: int = 2,
        ports: list[int],
        gateway_settings: Path | None = None,
        links: Links | None = None,
    ) -> None:
        """Create a deployment that does not run yet.

        Args:
            var: Folder for settings files and logs.
            instances: How many instances.
            ports: Front, readiness, directory and peer port of each instance.
            gateway_settings: INI file of the gateway; the defaults if omitted.
            links: Lead instances to the store and the runners; straight if omitted.
        """
        self._links = links
        self._flags = [f"--settings={gateway_settings}"] if gateway_settings else []
        self._var = var
        self._ports = ports
        self._stack = AsyncExitStack()
        self.store = FakeStore()
        self.operator = Operator(self.store)
        self.runners = {
            spec.name: FakeRunner(spec, self.store) for spec in _runner_specs()
        }
        self.instances: dict[str, FleetProcess] = {}
        """Processes by name."""
        self._addresses = {
            f"front-{n}": f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{n}"
            for n in range(1, instances + 1)
        }
        self._stores: dict[str, str] = {}

    async def __aenter__(self) -> LocalDeployment:
        self._var.mkdir(parents=True, exist_ok=True)
        url_of_store = await self._stack.enter_async_context(self.store.serve())
        self.operator.write()
        for runner in self.runners.values():
            url = await self._stack.enter_async_context(runner.serve())
            runner.enter(await self._lead_to(runner.spec.name, url))
        for name in self._addresses:
            self._stores[name] = await self._lead_to(f"store/{name}", url_of_store)
            self.start(name)
        try:
            await asyncio.wait_for(self._all_ready(), self.READY_SECONDS)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.instances.values():
            await process.kill()
        await self._stack.aclose()

    async def _lead_to(self, name: str, url: str) -> str:
        address = url.removeprefix("http://")
        return await self._links.lead_to(name, address) if self._links else address

    def start(self, name: str) -> FleetProcess:
        """Start an instance, or start it again."""
        ip = self._addresses[name]
        path = self._var / f"{name}.json"
        content = wire.settings(
            name=name,
            ip=ip,
            store=self._stores[name],
            grace_seconds=self.GRACE_SECONDS,
            ports=self._ports,
        )
        path.write_text(json.dumps(content))
        if name not in self.instances:
            argv = [
                "env",
                f"GUAVAJUNCTION_NODE_FILE={path}",
                sys.executable,
                str(PROGRAM),
                *self._flags,
            ]
            log = self._var / f"{name}.log"
            self.instances[name] = FleetProcess(name, argv, log)
        self.instances[name].start()
        return self.instances[name]

    def change_settings(
        self, name: str, change: Callable[[dict[str, Any]], dict[str, Any]]
    ) -> None:
        """Change the bounds in an instance's settings file while it runs."""
        path = self._var / f"{name}.json"
        content = json.loads(path.read_text())
        path.write_text(json.dumps(content | {"bounds": change(content["bounds"])}))

    def front(self, name: str) -> str:
        """Return where an instance takes requests."""
        return f"http://{self._addresses[name]}:{self._ports[0]}"

    def readiness(self, name: str) -> str:
        """Return where an instance says whether it is ready."""
        return f"http://{self._addresses[name]}:{self._ports[1]}/readiness"

    def directory(self, name: str) -> str:
        """Return where an instance says which instances to use."""
        return (
            f"http://{self._addresses[name]}:{self._ports[2]}/resolve?name=x&zone=here"
        )

    async def ready(self, name: str) -> bool:
        """Ask an instance whether it is ready."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(self.readiness(name)) as resp,
            ):
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    async def addresses(self, name: str) -> list[str]:
        """Ask an instance which instances to use."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.directory(name)) as resp,
        ):
            return (await resp.json())["addresses"] if resp.status == 200 else []

    async def _all_ready(self) -> None:
        wanted = len(self._addresses)
        for name in self._addresses:
            while not await self.ready(name) or (
                len(await self.addresses(name)) < wanted
            ):
                self.instances[name].raise_if_ended()
                await asyncio.sleep(self.POLL_SECONDS)
        engines = sum(1 for runner in self.runners.values() if runner.spec.engine)
        for _ in range(round(self.READY_SECONDS / self.POLL_SECONDS)):
            if self._logged("swapping:resynced") >= engines:
                break
            await asyncio.sleep(self.POLL_SECONDS)

    def _logged(self, message_type: str) -> int:
        """Return how many lines of a type the instances have written."""
        logs = [process.log_path for process in self.instances.values()]
        return sum(log.read_text().count(f'"{message_type}"') for log in logs)


def _runner_specs() -> list[RunnerSpec]:
    engine = RunnerSpec(
        "", ENGINES, engine=True, sizes=MODEL_SIZES, memory_mb=MEMORY_MB
    )
    return [
        engine._replace(name="engine-1", models=("m1",)),
        engine._replace(name="engine-2", models=("m1", "m2")),
        RunnerSpec("booking-1", BOOKINGS),
        RunnerSpec("booking-2", BOOKINGS),
    ]
