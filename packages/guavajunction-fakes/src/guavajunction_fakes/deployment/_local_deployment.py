"""A small local deployment: stand-ins in this process, instances as processes."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Protocol

import aiohttp

from guavajunction_fakes.fleet import FleetProcess

from . import _wire as wire
from ._operator import BOOKING_SERVICE, ENGINE_SERVICE, MEMORY_MB, MODEL_SIZES, Operator
from ._runner import FakeRunner, RunnerSpec
from ._store import FakeStore

ROOT = Path(__file__).resolve().parents[5]
PROGRAM = ROOT / "platform" / "serve.py"


class LinkProvider(Protocol):
    """Provides the addresses by which instances reach the store and the runners."""

    async def link_address(self, name: str, address: str) -> str:
        """Return the address, `host:port`, at which instances reach a target.

        Args:
            name: Name of a runner for the links of all instances to it, the same
                followed by `/` and an instance's name for that instance's own link, or
                `store/` followed by an instance's name for its link to the store.
            address: Address on which the target listens, `host:port`.
        """
        ...


class LocalDeployment:
    """Async context manager that runs a store, runners and instances.

    Each instance has its own IP address in the loopback range, so that all instances
    can use the same ports, as on the platform.
    """

    READY_SECONDS = 30.0
    """Start timeout of the deployment."""
    POLL_SECONDS = 0.05
    GRACE_SECONDS = 4.0
    """Time that a planned stop of an instance allows running requests to end."""

    def __init__(
        self,
        var: Path,
        *,
        instances: int = 2,
        ports: list[int],
        gateway_settings: Path | None = None,
        links: LinkProvider | None = None,
        runners: Iterable[RunnerSpec] | None = None,
        limits: dict[str, float] | None = None,
    ) -> None:
        """Create a deployment; entering it starts the processes.

        Args:
            var: Folder for settings files and logs.
            instances: Number of instances.
            ports: Front, readiness, directory and peer port of each instance.
            gateway_settings: INI file of the gateway; the defaults if omitted.
            links: Provides the addresses of the store and the runners; instances
                connect to them directly if omitted.
            runners: Properties of the runners; two for each service if omitted.
            limits: Limits of each instance's machine; none if omitted.
        """
        self._limits = limits
        self._links = links
        self._flags = [f"--settings={gateway_settings}"] if gateway_settings else []
        self._var = var
        self._ports = ports
        self._stack = AsyncExitStack()
        self.store = FakeStore()
        self.operator = Operator(self.store)
        self.runners = {
            spec.name: FakeRunner(spec, self.store)
            for spec in (_runner_specs() if runners is None else runners)
        }
        self.instances: dict[str, FleetProcess] = {}
        """Processes of the instances by name."""
        # The addresses depend on the process id: deployments of concurrent processes
        # must not share them.
        self._addresses = {
            f"front-{n}": f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{n}"
            for n in range(1, instances + 1)
        }
        self._store_addresses: dict[str, str] = {}

    async def __aenter__(self) -> LocalDeployment:
        self._var.mkdir(parents=True, exist_ok=True)
        self.operator.write()
        for runner in self.runners.values():
            url = await self._stack.enter_async_context(runner.serve())
            runner.register(await self._link_address(runner.spec.name, url))
        for name in self._addresses:
            store_url = await self._stack.enter_async_context(self.store.serve())
            self._store_addresses[name] = await self._link_address(
                f"store/{name}", store_url
            )
            await self._link_to_runners(name, store_url.removeprefix("http://"))
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

    async def _link_to_runners(self, name: str, store_address: str) -> None:
        """Give an instance links of its own to the runners, so that it can be cut."""
        if self._links is None:
            return
        self.store.address_views[store_address] = {
            runner.address: await self._link_address(
                f"{runner.spec.name}/{name}", runner.address
            )
            for runner in self.runners.values()
        }

    async def _link_address(self, name: str, url: str) -> str:
        address = url.removeprefix("http://")
        return await self._links.link_address(name, address) if self._links else address

    def start(self, name: str) -> FleetProcess:
        """Write an instance's settings file and start or restart the instance."""
        ip = self._addresses[name]
        path = self._var / f"{name}.json"
        content = wire.settings(
            name=name,
            ip=ip,
            store=self._store_addresses[name],
            grace_seconds=self.GRACE_SECONDS,
            ports=self._ports,
            limits=self._limits,
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

    def change_bounds(
        self, name: str, change: Callable[[dict[str, Any]], dict[str, Any]]
    ) -> None:
        """Change the bounds in an instance's settings file.

        A running instance applies them after SIGHUP.

        Args:
            name: Name of the instance.
            change: Returns the new bounds for the current ones.
        """
        path = self._var / f"{name}.json"
        content = json.loads(path.read_text())
        path.write_text(json.dumps(content | {"bounds": change(content["bounds"])}))

    async def restore_store(
        self, age_seconds: float, *, outage_seconds: float, rewrite_seconds: float = 0.0
    ) -> int:
        """Take the store away and bring it back from an older copy.

        Args:
            age_seconds: Age of the copy when the store comes back.
            outage_seconds: Time in which the store aborts connections.
            rewrite_seconds: Time until the operator and the runners write their rows
                again.

        Returns:
            Number of writes that the store lost.
        """
        self.store.faults.set(outage="drop")
        await asyncio.sleep(outage_seconds)
        lost = self.store.restore(age_seconds)
        self.store.faults.set(outage=None)
        await asyncio.sleep(rewrite_seconds)
        self.operator.write_again()
        for runner in self.runners.values():
            runner.write_again()
        return lost

    def address_of(self, name: str) -> str:
        """Return the IP address of an instance."""
        return self._addresses[name]

    def front_url(self, name: str) -> str:
        """Return the URL at which an instance accepts requests."""
        return f"http://{self._addresses[name]}:{self._ports[0]}"

    def readiness_url(self, name: str) -> str:
        """Return the URL of an instance's readiness check."""
        return f"http://{self._addresses[name]}:{self._ports[1]}/readiness"

    def directory_url(self, name: str) -> str:
        """Return the URL of an instance's directory, which lists usable instances."""
        return (
            f"http://{self._addresses[name]}:{self._ports[2]}/resolve?name=x&zone=here"
        )

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance's readiness check succeeds."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(self.readiness_url(name)) as resp,
            ):
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    async def resolve(self, name: str) -> list[str]:
        """Return the addresses of usable instances from an instance's directory."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.directory_url(name)) as resp,
        ):
            return (await resp.json())["addresses"] if resp.status == 200 else []

    async def _all_ready(self) -> None:
        wanted = len(self._addresses)
        for name in self._addresses:
            while not await self.is_ready(name) or (
                len(await self.resolve(name)) < wanted
            ):
                self.instances[name].raise_if_ended()
                await asyncio.sleep(self.POLL_SECONDS)
        # Waits until the instances have logged one resync for each engine.
        engines = sum(1 for runner in self.runners.values() if runner.spec.engine)
        for _ in range(round(self.READY_SECONDS / self.POLL_SECONDS)):
            if self._count_logged("swapping:resynced") >= engines:
                break
            await asyncio.sleep(self.POLL_SECONDS)

    def _count_logged(self, message_type: str) -> int:
        """Return the number of log lines of a message type in all instances' logs."""
        logs = [process.log_path for process in self.instances.values()]
        return sum(log.read_text().count(f'"{message_type}"') for log in logs)


def _runner_specs() -> list[RunnerSpec]:
    engine = RunnerSpec(
        "", ENGINE_SERVICE, engine=True, sizes=MODEL_SIZES, memory_mb=MEMORY_MB
    )
    return [
        engine._replace(name="engine-1", models=("m1",)),
        engine._replace(name="engine-2", models=("m1", "m2")),
        RunnerSpec("booking-1", BOOKING_SERVICE),
        RunnerSpec("booking-2", BOOKING_SERVICE),
    ]
