"""Runs the stand-ins and entry instances of a profile as processes on one machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp

from guavajunction_fakes._errors import StartTimeout
from guavajunction_fakes.engine import EngineConfig

from ._client import FleetClient
from ._document import BackendAddress, render_document
from ._ports import HOST, find_free_ports
from ._process import FleetProcess
from ._profiles import FleetProfile
from ._roster import CustomerAccess, Roster
from ._settings_files import (
    EntryPlan,
    PlatformUrls,
    write_secrets,
    write_settings,
)

BINARIES = Path(sys.executable).parent


class Fleet:
    """A fleet whose processes run while its async context is open.

    All processes listen on 127.0.0.1. Data centres are only names: no latency between
    them is emulated.
    """

    START_SECONDS = 20.0
    """Timeout until a started process responds."""
    STOP_SECONDS = 40.0
    """Timeout of the graceful stop of one entry instance by `stop`."""
    EXIT_SECONDS = 10.0
    """Timeout of the stop of the entry instances when the context closes."""
    FAKE_STOP_SECONDS = 3.0
    """Timeout of the stop of the stand-ins when the context closes."""
    READY_POLL_SECONDS = 0.2
    ENGINES_PER_PROCESS = 3
    NOT_READY_STATUS = 503
    """Status of `/healthz` while an instance listens but is not ready to serve."""

    def __init__(
        self,
        profile: FleetProfile,
        var: Path,
        *,
        entries: int = 0,
        overrides: Mapping[str, Mapping[str, str]] | None = None,
        engine_defaults: Mapping[str, Any] | None = None,
        instance_list_lag: float = 2.0,
    ) -> None:
        """Plan a fleet.

        Args:
            profile: Parts of the fleet with their numbers and sizes.
            var: Folder for settings, secrets and logs; created if missing.
            entries: Number of entry instances, 0 for the profile's number.
            overrides: Additional settings of entry instances by section and key.
            engine_defaults: Fields to replace in every engine's `EngineConfig`.
            instance_list_lag: Seconds by which the platform's instance list is stale.
        """
        self.profile = profile
        """Profile of the fleet."""
        self.var = var
        """Folder with settings, secrets and logs."""
        self.entries: list[EntryPlan] = []
        """Entry instances, by index."""
        self.processes: list[FleetProcess] = []
        """Processes of the entry instances, by index."""
        self.fakes: dict[str, FleetProcess] = {}
        """Processes of the stand-ins, by name."""
        self.engines: list[BackendAddress] = []
        self.services: list[BackendAddress] = []
        self.operator_token = ""
        """Bearer token of the operator routes."""
        self.customers: list[CustomerAccess] = []
        """Customers with their keys; empty until the fleet has started."""
        self._entry_count = entries or profile.entries
        self._overrides = overrides or {}
        self._engine_defaults = engine_defaults or {}
        self._instance_list_lag = instance_list_lag
        self._listed_states: dict[str, str] = {}
        self._stack = contextlib.AsyncExitStack()
        self._client: FleetClient

    @property
    def urls(self) -> list[str]:
        """URLs of the entry instances."""
        return [entry.url for entry in self.entries]

    @property
    def engine_urls(self) -> list[str]:
        """URLs of the model engines."""
        return [f"http://{engine.address}" for engine in self.engines]

    @property
    def service_urls(self) -> list[str]:
        """URLs of the plain service's servers."""
        return [f"http://{server.address}" for server in self.services]

    async def __aenter__(self) -> Fleet:
        """Start all processes and wait until each entry instance is healthy."""
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the entry instances, then the stand-ins."""
        await self._stack.aclose()

    async def start(self, index: int) -> None:
        """Start a stopped or killed entry instance and wait until it is healthy."""
        self.processes[index].start()
        await self._wait_for_health(index)
        await self._set_listed_state(index, "live")

    async def stop(self, index: int) -> int:
        """Stop an entry instance gracefully and return its exit status.

        The instance list shows it as leaving until its process has exited.
        """
        await self._set_listed_state(index, "leaving")
        status = await self.processes[index].stop(within=self.STOP_SECONDS)
        await self._set_listed_state(index, None)
        return status

    async def kill(self, index: int) -> None:
        """Kill an entry instance and remove it from the instance list."""
        await self.processes[index].kill()
        await self._set_listed_state(index, None)

    async def restart(self, index: int) -> None:
        """Kill an entry instance and restart it."""
        await self.kill(index)
        await self.start(index)

    def freeze(self, index: int) -> None:
        """Pause an entry instance with SIGSTOP."""
        self.processes[index].freeze()

    def resume(self, index: int) -> None:
        """Resume a paused entry instance with SIGCONT."""
        self.processes[index].resume()

    async def set_faults(self, url: str, **changes: Any) -> None:
        """Change the injected faults of the stand-in at a URL."""
        await self._client.send("POST", f"{url}/faults", changes)

    async def stats(self, url: str) -> dict[str, Any]:
        """Return the statistics of the stand-in at a URL."""
        return await self._client.get(f"{url}/stats")

    async def call_operator(
        self, method: str, path: str, body: dict[str, Any] | None = None, index: int = 0
    ) -> dict[str, Any]:
        """Call an operator route of an entry instance.

        Args:
            method: HTTP method.
            path: Path below `/operator/`.
            body: Fields in addition to `author` and `attempt_id`; None for no body.
            index: Index of the instance.

        Returns:
            The JSON body of the response.

        Raises:
            OperationRefused: The status was 400 or above.
        """
        url = f"{self.urls[index]}/operator/{path}"
        return await self._client.call_operator(method, url, self.operator_token, body)

    def document(self) -> str:
        """Return the configuration document with this fleet's addresses, in TOML."""
        return render_document(self.profile, self.engines, self.services)

    def roster(self) -> Roster:
        """Return addresses, customers and keys for load tools."""
        return Roster(
            profile=self.profile.name,
            entries=self.urls,
            engines=self.engine_urls,
            services=self.service_urls,
            platform=self.platform._asdict(),
            data_centres=list(self.profile.data_centres),
            models=self.profile.model_names,
            service=self.profile.service,
            live=self.profile.live,
            batch=self.profile.batch,
            customers=self.customers,
            operator_token=self.operator_token,
        )

    async def wait_until_ready(self, *, within: float) -> float:
        """Wait until every model and adapter is ready on at least one engine.

        Args:
            within: Timeout in seconds.

        Returns:
            Seconds of the wait.

        Raises:
            StartTimeout: A model or adapter was not ready within the timeout.
        """
        wanted = set(self.profile.model_names)
        began = time.monotonic()
        missing = wanted
        while missing:
            missing = wanted - await self._ready_names()
            if missing and time.monotonic() > began + within:
                raise StartTimeout(f"models not ready in time: {sorted(missing)}")
            await asyncio.sleep(self.READY_POLL_SECONDS)
        return time.monotonic() - began

    async def _ready_names(self) -> set[str]:
        loads = [f"{url}/admin/load" for url in self.engine_urls]
        reports = await asyncio.gather(*(self._client.get(url) for url in loads))
        return {
            entry["artifact"].partition("@")[0]
            for report in reports
            for entry in report["resident"]
            if entry["state"] == "ready"
        }

    async def _start(self) -> None:
        self.var.mkdir(parents=True, exist_ok=True)
        session = await self._stack.enter_async_context(aiohttp.ClientSession())
        self._client = FleetClient(session)
        self._plan_processes()
        fakes = list(self.fakes.values())
        self._stack.push_async_callback(self._stop_all, fakes, self.FAKE_STOP_SECONDS)
        for process in fakes:
            process.start()
        await self._wait_for_fakes()
        self._stack.push_async_callback(
            self._stop_all, self.processes, self.EXIT_SECONDS
        )
        for index in range(len(self.entries)):
            self._listed_states[self.entries[index].name] = "live"
        await self._publish_instances()
        for process in self.processes:
            process.start()
        await self._apply_document()
        await asyncio.gather(*map(self._wait_for_health, range(len(self.entries))))
        self.roster().write(self.var / "fleet.json")

    def _plan_processes(self) -> None:
        profile = self.profile
        ports = find_free_ports(4 + profile.engines + profile.service.servers)
        urls = [f"http://{HOST}:{port}" for port in ports[:4]]
        self.platform = PlatformUrls(*urls)
        self._plan_platform(ports[:4])
        self._plan_engines(ports[4 : 4 + profile.engines])
        self._plan_services(ports[4 + profile.engines :])
        self._plan_entries()

    def _plan_platform(self, ports: list[int]) -> None:
        table, objects, weights, instances = (f"--port={port}" for port in ports)
        limits = [f"--{k}={v}" for k, v in self.profile.weights._asdict().items()]
        self._add_fake("table", table)
        self._add_fake("objects", objects)
        self._add_fake("weights", weights, *limits)
        self._add_fake("instances", instances, f"--lag={self._instance_list_lag}")

    def _plan_engines(self, ports: list[int]) -> None:
        names = [f"engine-{number + 1}" for number in range(len(ports))]
        configs = [self._engine_config(i, name) for i, name in enumerate(names)]
        self.engines = [
            self._backend_address(
                i, name, ports[i], checks_orders=configs[i].checks_orders
            )
            for i, name in enumerate(names)
        ]
        size = self.ENGINES_PER_PROCESS
        for first in range(0, len(ports), size):
            path = self.var / f"engines-{first // size + 1}.json"
            group = configs[first : first + size]
            path.write_text(json.dumps([cfg._asdict() for cfg in group]))
            self._add_fake(
                "engines",
                f"--port={ports[first]}",
                f"--config={path}",
                name=path.stem,
            )

    def _engine_config(self, index: int, name: str) -> EngineConfig:
        """Return the settings of an engine.

        Engines with an even index check orders and memory, so that a fleet has engines
        of both kinds.
        """
        checks = index % 2 == 0
        cfg = EngineConfig(
            name=name,
            memory_mib=self.profile.engine_memory_mib,
            kv_reserve_mib=self.profile.kv_reserve_mib,
            slots=self.profile.slots,
            weights_url=self.platform.weights,
            checks_orders=checks,
            checks_memory=checks,
        )
        return cfg._replace(**self._engine_defaults)

    def _plan_services(self, ports: list[int]) -> None:
        prefix = self.profile.service.name
        self.services = [
            self._backend_address(i, f"{prefix}-{i + 1}", port)
            for i, port in enumerate(ports)
        ]
        self._add_fake("service", f"--port={ports[0]}", f"--count={len(ports)}")

    def _plan_entries(self) -> None:
        ports = find_free_ports(2 * self._entry_count)
        files = write_secrets(self.var)
        self.operator_token = files.operator_token.read_text()
        for index in range(self._entry_count):
            entry = EntryPlan(
                f"entry-{index + 1}",
                self._data_centre(index),
                *ports[2 * index : 2 * index + 2],
            )
            path = self.var / f"{entry.name}.ini"
            write_settings(path, entry, self.platform, files, self._overrides)
            argv = [str(BINARIES / "guavajunction"), "--settings", str(path)]
            log_path = self.var / f"{entry.name}.log"
            self.entries.append(entry)
            self.processes.append(FleetProcess(entry.name, argv, log_path))

    def _add_fake(self, command: str, *arguments: str, name: str = "") -> None:
        name = name or command
        argv = [str(BINARIES / "guavafakes"), command, *arguments]
        self.fakes[name] = FleetProcess(name, argv, self.var / f"{name}.log")

    def _backend_address(
        self, index: int, name: str, port: int, *, checks_orders: bool = False
    ) -> BackendAddress:
        address = f"{HOST}:{port}"
        return BackendAddress(name, address, self._data_centre(index), checks_orders)

    def _data_centre(self, index: int) -> str:
        return self.profile.data_centres[index % len(self.profile.data_centres)]

    async def _wait_for_fakes(self) -> None:
        urls_by_fake = {
            **self.platform._asdict(),
            "service": self.service_urls[-1],
        }
        for number, url in enumerate(self.engine_urls):
            urls_by_fake[f"engines-{number // self.ENGINES_PER_PROCESS + 1}"] = url
        await asyncio.gather(
            *(
                self._client.wait_until_served(
                    self.fakes[name], f"{url}/stats", within=self.START_SECONDS
                )
                for name, url in urls_by_fake.items()
            )
        )

    async def _apply_document(self) -> None:
        """Apply the configuration document, then issue a key to each customer."""
        await self._client.wait_until_served(
            self.processes[0],
            f"{self.urls[0]}/healthz",
            within=self.START_SECONDS,
            accept=lambda status: 200 <= status <= self.NOT_READY_STATUS,
        )
        document = self.document()
        body = {"document": document}
        (self.var / "configuration.toml").write_text(document)
        current = await self.call_operator("POST", "diff", body)
        await self.call_operator(
            "POST", "apply", {**body, "based_on": current["based_on"]}
        )
        for plan in self.profile.customers:
            issued = await self.call_operator("POST", "keys", {"customer": plan.name})
            self.customers.append(CustomerAccess(plan, issued["key"]))

    async def _wait_for_health(self, index: int) -> None:
        await self._client.wait_until_served(
            self.processes[index],
            f"{self.urls[index]}/healthz",
            within=self.START_SECONDS,
        )

    async def _set_listed_state(self, index: int, state: str | None) -> None:
        name = self.entries[index].name
        if state is None:
            self._listed_states.pop(name, None)
        else:
            self._listed_states[name] = state
        await self._publish_instances()

    async def _publish_instances(self) -> None:
        instances = [
            {
                "name": entry.name,
                "data_centre": entry.data_centre,
                "address": HOST,
                "http_port": entry.http_port,
                "peer_port": entry.peer_port,
                "state": self._listed_states[entry.name],
            }
            for entry in self.entries
            if entry.name in self._listed_states
        ]
        url = f"{self.platform.instances}/instances"
        await self._client.send("PUT", url, {"instances": instances})

    async def _stop_all(self, processes: list[FleetProcess], within: float) -> None:
        await asyncio.gather(*(process.stop(within=within) for process in processes))
