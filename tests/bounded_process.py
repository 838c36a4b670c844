"""Checks that one real instance stays within its machine under a crowd of clients."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import aiohttp

import crowd
from guavajunction_fakes.fleet import FleetProcess
from platform_calls import call

ROUTE = "/book/1"
ANSWER_SECONDS = 30.0
"""Time for the instance to answer again; no test states how soon it must."""


class Target(NamedTuple):
    """A real instance and an ordinary request to it."""

    process: FleetProcess
    address: str
    """IP address on which it listens."""
    ask: Callable[[], Awaitable[int]]
    """Sends the request and returns the status of the answer."""

    @classmethod
    def in_deployment(cls, deployment):
        """Return the first instance of a deployment on the platform's stand-ins."""

        async def ask():
            return (await call(deployment, ROUTE)).status

        name = "front-1"
        return cls(deployment.instances[name], deployment.address_of(name), ask)


class Bounds(NamedTuple):
    """What a process must stay under."""

    memory_mb: float
    max_descriptors: int


def peak_mb(pid):
    return _status_mb(pid, "VmHWM")


def resident_mb(pid):
    return _status_mb(pid, "VmRSS")


def _status_mb(pid, name):
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith(name)]
    return int(line.split()[1]) / 1024


def count_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def kernel_mb(address, ports):
    """Return what the kernel holds for the connections that a process accepted."""
    host = "".join(f"{int(part):02X}" for part in reversed(address.split(".")))
    own = {f"{host}:{port:04X}" for port in ports}
    size = 0
    for line in Path("/proc/net/tcp").read_text().splitlines():
        fields = line.split()
        if fields[1] in own:
            size += sum(int(queue, 16) for queue in fields[4].split(":"))
    return size / 1024 / 1024


async def answered(target):
    """Return the status once the request is answered, however late it is."""
    async with asyncio.timeout(ANSWER_SECONDS):
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                if (status := await target.ask()) == 200:
                    return status
            await asyncio.sleep(0.2)


async def assert_bears(target, bounds, ports, path, traffic, callers):
    """Check memory, descriptors and an ordinary request under a crowd at each port."""
    process = target.process
    descriptors, memory = [], []

    async def watch():
        while True:
            descriptors.append(count_descriptors(process.pid))
            kernel = kernel_mb(target.address, ports)
            memory.append(resident_mb(process.pid) + kernel)
            await asyncio.sleep(0.1)

    watching = asyncio.ensure_future(watch())
    with crowd.Crowd() as clients:
        await asyncio.gather(
            *(
                clients.send(target.address, port, path, traffic, callers)
                for port in ports
            )
        )
        # Unread bytes are still being parsed.
        await asyncio.sleep(1.0)
        await answered(target)
    watching.cancel()
    process.raise_if_ended()
    peak = peak_mb(process.pid)
    print(
        f"peak {peak:.0f} MB, {max(memory):.0f} MB with what the kernel holds,"
        f" {max(descriptors)} descriptors"
    )
    assert peak < bounds.memory_mb
    assert max(memory) < bounds.memory_mb
    assert max(descriptors) < bounds.max_descriptors
    assert await answered(target) == 200
