"""Starts instances of the program as the deploy file does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .http import request

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 11000,
    "recoveryS": 12,
    "passMs": 120,
    "againS": 0,
    "fencingEnforced": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
    "ttl_max_s": 5,
}
"""Bounds of the site kuvakeskus."""
HOST = "here.example"


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "gapAimMs": 250,
        **fields,
    }


def tenant(name: str, rate: float = 0, burst: float = 0) -> dict[str, Any]:
    """Return a tenant whose key is `key-of-` and its name."""
    return {
        "name": name,
        "apiKeys": [f"key-of-{name}"],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": rate,
        "burst": burst,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return one version of the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


class Fleet:
    """The instances of one case, each with an address of its own."""

    START_SECONDS = 30.0

    def __init__(self, store_address: str, count: int) -> None:
        """Choose names, addresses and free ports; nothing is started."""
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._store_address = store_address
        second, third = random.randrange(20, 250), random.randrange(1, 250)
        self.addresses = {
            f"front-{n}": f"127.{second}.{third}.{n}" for n in range(1, count + 1)
        }
        first = next(iter(self.addresses.values()))
        self._ports = [_free_port(first) for _ in range(3)]
        self._peer_port = random.randrange(20_000, 30_000)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        self._command = role["run"].split()

    def start(self, name: str) -> None:
        """Start an instance, as a machine does at its start and after an end."""
        folder = Path(self._folder.name)
        settings = folder / f"{name}.json"
        settings.write_text(json.dumps(self._settings(name)))
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GUAVAJUNCTION_NODE_FILE"] = str(settings)
        with (folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an instance."""
        text = (Path(self._folder.name) / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to an instance."""
        self.processes[name].send_signal(signum)

    def front(self, name: str) -> str:
        """Return the address at which an instance accepts requests."""
        return f"{self.addresses[name]}:{self._ports[0]}"

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance's readiness check succeeds."""
        address = f"{self.addresses[name]}:{self._ports[1]}"
        answer = await request(
            address, "GET", "/readiness", {"Host": "ready"}, timeout=1.0
        )
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until all instances are ready.

        Raises:
            TimeoutError: One is not.
        """
        async with asyncio.timeout(self.START_SECONDS):
            for name in self.processes:
                await self._wait_until_ready(name)

    async def _wait_until_ready(self, name: str) -> None:
        while True:
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.05)

    def has_ended(self, name: str) -> Callable[[], bool]:
        """Return a test of whether an instance's process has ended."""
        process = self.processes[name]
        return lambda: process.poll() is not None

    def close(self) -> None:
        """End all instances and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._folder.cleanup()

    def _settings(self, name: str) -> dict[str, Any]:
        ip = self.addresses[name]
        front, ready, directory = self._ports
        return {
            "node": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": ip,
            "zone": "here",
            "region": "there",
            "zones": {"here": "there"},
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "directory": f"{ip}:{directory}",
            },
            "internalPortRange": [self._peer_port, self._peer_port + 15],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self._store_address, "form": "table"},
        }


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def new_id(number: int) -> str:
    """Return the id of a client attempt."""
    return f"{int(time.time()) & 0xFFFFFF:06x}{number:010x}"
