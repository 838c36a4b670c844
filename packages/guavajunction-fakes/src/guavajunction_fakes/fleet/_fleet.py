"""Runs the stand-ins and entry instances of a profile as processes."""

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

from ._client import Control
from ._document import BackendAddress, document_of
from ._ports import HOST, free_ports
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
    """A fleet that runs while its context is open.

    All processes listen on 127.0.0.1. Data centres are only names here: no latency
    between them is emulated.
    """

    START_SECONDS = 20.0
    STOP_SECONDS = 40.0
    """Longest graceful stop of one entry instance."""
    EXIT_SECONDS = 10.0
    """Longest stop of the entry instances when the fleet ends."""
    FAKE_STOP_SECONDS = 3.0
    READY_POLL_SECONDS = 0.2
    ENGINES_IN_ONE_PROCESS = 3
    HIGHEST_SERVED_STATUS = 503

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
            profile: Its sizes.
            var: Folder for settings, secrets and logs; made if missing.
            entries: Entry instances, 0 for the profile's number.
            overrides: Further settings of entry instances by section and key.
            engine_defaults: Further fields of every engine's `EngineConfig`.
            instance_list_lag: Seconds that the platform's instance list lags.
        """
        self.profile = profile
        """Its sizes."""
        self.var = var
        """Where settings, secrets and logs are."""
        self.entries: list[EntryPlan] = []
        """Entry instances, by index."""
        self.processes: list[FleetProcess] = []
        """Processes of the entry instances, by index."""
        self.fakes: dict[str, FleetProcess] = {}
        """Processes of the stand-ins by name."""
        self.engines: list[BackendAddress] = []
        self.services: list[BackendAddress] = []
        self.operator_token = ""
        """Token for the operator routes."""
        self.customers: list[CustomerAccess] = []
        """Customers with their keys, once the fleet has started."""
        self._entry_count = entries or profile.entries
        self._overrides = overrides or {}
        self._engine_defaults = engine_defaults or {}
        self._lag = instance_list_lag
        self._states: dict[str, str] = {}
        self._stack = contextlib.AsyncExitStack()
        self._control: Control

    @property
    def urls(self) -> list[str]:
        """URLs of the entry instances."""
        return [entry.url for entry in self.entries]

    @property
    def engine_urls(self) -> list[str]:
        """URLs of the engines."""
        return [f"http://{engine.address}" for engine in self.engines]

    @property
    def service_urls(self) -> list[str]:
        """URLs of the plain service's servers."""
        return [f"http://{server.address}" for server in self.services]

    async def __aenter__(self) -> Fleet:
        """Start everything and wait until each instance serves."""
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop everything, the entry instances first."""
        await self._stack.aclose()

    async def start(self, index: int) -> None:
        """Start an entry instance that was stopped or killed."""
        self.processes[index].start()
        await self._wait_for_health(index)
        await self._list_instance(index, "live")

    async def stop(self, index: int) -> int:
        """Stop an entry instance gracefully; return its exit status."""
        await self._list_instance(index, "leaving")
        status = await self.processes[index].stop(within=self.STOP_SECONDS)
        await self._list_instance(index, None)
        return status

    async def kill(self, index: int) -> None:
        """End an entry instance at once; the instance list learns of it."""
        await self.processes[index].kill()
        await self._list_instance(index, None)

    async def restart(self, index: int) -> None:
        """Kill an entry instance and start it again."""
        await self.kill(index)
        await self.start(index)

    def freeze(self, index: int) -> None:
        """Pause an entry instance."""
        self.processes[index].freeze()

    def resume(self, index: int) -> None:
        """Let a paused entry instance go on."""
        self.processes[index].resume()

    async def set_faults(self, url: str, **changes: Any) -> None:
        """Change the faults of the stand-in at a URL."""
        await self._control.send("POST", f"{url}/faults", changes)

    async def stats(self, url: str) -> dict[str, Any]:
        """Return the figures of the stand-in at a URL."""
        return await self._control.get(f"{url}/stats")

    async def operate(
        self, method: str, path: str, body: dict[str, Any] | None = None, index: int = 0
    ) -> dict[str, Any]:
        """Call an operator route of an entry instance.

        Args:
            method: HTTP method.
            path: Path below `/operator/`.
            body: Fields besides author and attempt id.
            index: Which instance is called.
        """
        url = f"{self.urls[index]}/operator/{path}"
        return await self._control.operate(method, url, self.operator_token, body)

    def document(self) -> str:
        """Return the profile's document with this fleet's addresses, in TOML."""
        return document_of(self.profile, self.engines, self.services)

    def roster(self) -> Roster:
        """Return what a load tool must know."""
        return Roster(
            profile=self.profile.name,
            entries=self.urls,
            engines=self.engine_urls,
            services=self.service_urls,
            platform=self.platform._asdict(),
            data_centres=list(self.profile.data_centres),
            models=self.profile.names_of_models,
            service=self.profile.service,
            live=self.profile.live,
            batch=self.profile.batch,
            customers=self.customers,
            operator_token=self.operator_token,
        )

    async def wait_until_ready(self, *, within: float) -> float:
        """Wait until every model and adapter is ready on some engine.

        Returns:
            Seconds that it took.

        Raises:
            StartTimeout: Some are not ready in time.
        """
        wanted = set(self.profile.names_of_models)
        began = time.monotonic()
        missing = wanted
        while missing:
            missing = wanted - await self._ready_names()
            if missing and time.monotonic() > began + within:
                raise StartTimeout(f"not ready: {sorted(missing)}")
            await asyncio.sleep(self.READY_POLL_SECONDS)
        return time.monotonic() - began

    async def _ready_names(self) -> set[str]:
        loads = [f"{url}/admin/load" for url in self.engine_urls]
        reports = await asyncio.gather(*(self._control.get(url) for url in loads))
        return {
            entry["artifact"].partition("@")[0]
            for report in reports
            for entry in report["resident"]
            if entry["state"] == "ready"
        }

    async def _start(self) -> None:
        self.var.mkdir(parents=True, exist_ok=True)
        session = await self._stack.enter_async_context(aiohttp.ClientSession())
        self._control = Control(session)
        self._plan()
        fakes = list(self.fakes.values())
        self._stack.push_async_callback(self._stop_all, fakes, self.FAKE_STOP_SECONDS)
        for process in fakes:
            process.start()
        await self._wait_for_fakes()
        self._stack.push_async_callback(
            self._stop_all, self.processes, self.EXIT_SECONDS
        )
        for index in range(len(self.entries)):
            self._states[self.entries[index].name] = "live"
        await self._publish_instances()
        for process in self.processes:
            process.start()
        await self._configure()
        await asyncio.gather(*map(self._wait_for_health, range(len(self.entries))))
        self.roster().write(self.var / "fleet.json")

    def _plan(self) -> None:
        profile = self.profile
        ports = free_ports(4 + profile.engines + profile.service.servers)
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
        self._add_fake("instances", instances, f"--lag={self._lag}")

    def _plan_engines(self, ports: list[int]) -> None:
        names = [f"engine-{number + 1}" for number in range(len(ports))]
        configs = [self._engine_config(i, name) for i, name in enumerate(names)]
        self.engines = [
            self._address(i, name, ports[i], checks_orders=configs[i].checks_orders)
            for i, name in enumerate(names)
        ]
        size = self.ENGINES_IN_ONE_PROCESS
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
        """Return an engine's settings; every other one checks its orders."""
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
            self._address(i, f"{prefix}-{i + 1}", port) for i, port in enumerate(ports)
        ]
        self._add_fake("service", f"--port={ports[0]}", f"--count={len(ports)}")

    def _plan_entries(self) -> None:
        ports = free_ports(2 * self._entry_count)
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

    def _address(
        self, index: int, name: str, port: int, *, checks_orders: bool = False
    ) -> BackendAddress:
        address = f"{HOST}:{port}"
        return BackendAddress(name, address, self._data_centre(index), checks_orders)

    def _data_centre(self, index: int) -> str:
        return self.profile.data_centres[index % len(self.profile.data_centres)]

    async def _wait_for_fakes(self) -> None:
        served = {
            **self.platform._asdict(),
            "service": self.service_urls[-1],
        }
        for number, url in enumerate(self.engine_urls):
            served[f"engines-{number // self.ENGINES_IN_ONE_PROCESS + 1}"] = url
        await asyncio.gather(
            *(
                self._control.wait_until_served(
                    self.fakes[name], f"{url}/stats", within=self.START_SECONDS
                )
                for name, url in served.items()
            )
        )

    async def _configure(self) -> None:
        """Get the document accepted and a key issued to each customer."""
        await self._control.wait_until_served(
            self.processes[0],
            f"{self.urls[0]}/healthz",
            within=self.START_SECONDS,
            accept=lambda status: 200 <= status <= self.HIGHEST_SERVED_STATUS,
        )
        document = self.document()
        body = {"document": document}
        (self.var / "configuration.toml").write_text(document)
        current = await self.operate("POST", "diff", body)
        await self.operate("POST", "apply", {**body, "based_on": current["based_on"]})
        for plan in self.profile.customers:
            issued = await self.operate("POST", "keys", {"customer": plan.name})
            self.customers.append(CustomerAccess(plan, issued["key"]))

    async def _wait_for_health(self, index: int) -> None:
        await self._control.wait_until_served(
            self.processes[index],
            f"{self.urls[index]}/healthz",
            within=self.START_SECONDS,
        )

    async def _list_instance(self, index: int, state: str | None) -> None:
        name = self.entries[index].name
        if state is None:
            self._states.pop(name, None)
        else:
            self._states[name] = state
        await self._publish_instances()

    async def _publish_instances(self) -> None:
        instances = [
            {
                "name": entry.name,
                "data_centre": entry.data_centre,
                "address": HOST,
                "http_port": entry.http_port,
                "peer_port": entry.peer_port,
                "state": self._states[entry.name],
            }
            for entry in self.entries
            if entry.name in self._states
        ]
        url = f"{self.platform.instances}/instances"
        await self._control.send("PUT", url, {"instances": instances})

    async def _stop_all(self, processes: list[FleetProcess], within: float) -> None:
        await asyncio.gather(*(each.stop(within=within) for each in processes))
