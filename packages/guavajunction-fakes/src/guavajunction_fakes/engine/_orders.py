"""Execution of orders to load or unload an artifact or to change the role."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any, NamedTuple, Protocol

import aiohttp

from ._config import EngineConfig
from ._memory import Artifact, Memory
from ._prefix_cache import PrefixCache


class Order(NamedTuple):
    """One order, as in the body of `POST /admin/orders`."""

    order_id: str
    fence: int
    action: str
    artifact: str = ""
    mib: int = 0
    base: str | None = None
    role: str = ""

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> Order:
        """Build an order from a request's body; unknown fields are ignored."""
        fields = {name: body[name] for name in cls._fields if body.get(name)}
        return cls(**{"fence": 0, **fields})


class TaskSpawner(Protocol):
    """Function that runs a coroutine in the background until the engine stops."""

    def __call__(self, coro: Any) -> Any:
        """Start the coroutine as a task."""
        ...


class OrderResult(NamedTuple):
    """Response to an order."""

    status: int
    """HTTP status: 202, 400, 409 or 507."""
    body: dict[str, Any]


class OrderExecutor:
    """Executes orders to load, unload and change role, each order id once."""

    MAX_REPORTED_IDS = 256
    """Number of latest order ids in each list of the load report."""

    def __init__(
        self, cfg: EngineConfig, memory: Memory, cache: PrefixCache, spawn: TaskSpawner
    ) -> None:
        self._cfg = cfg
        self._memory = memory
        self._cache = cache
        self._spawn = spawn
        self._seen_ids: set[str] = set()
        self._random = random.Random(cfg.name)
        self.role = "both"
        self.last_fence = 0
        self.applied: deque[str] = deque(maxlen=self.MAX_REPORTED_IDS)
        """Ids of the latest accepted orders."""
        self.refused: deque[str] = deque(maxlen=self.MAX_REPORTED_IDS)
        """Ids of the latest orders that were refused or whose load failed."""
        self.repeated = 0
        """Number of received orders that were ignored as repeats of an order id."""
        self.stale = 0
        """Number of orders with an old fencing number, refused or not."""
        self.loads = 0
        self.unloads = 0
        self.unloads_in_use = 0
        """Number of unloads of artifacts that were in use by requests."""

    def apply(self, order: Order) -> OrderResult:
        """Check an order and start its execution.

        Args:
            order: The received order, which may be late or a repeat.

        Returns:
            Response to the sender.
        """
        if order.order_id in self._seen_ids:
            self.repeated += 1
            return OrderResult(202, {"order_id": order.order_id, "repeat": True})
        if order.fence < self.last_fence:
            self.stale += 1
            if self._cfg.checks_orders:
                self.refused.append(order.order_id)
                body = {"error": "stale_fence", "last_fence": self.last_fence}
                return OrderResult(409, body)
        self.last_fence = max(self.last_fence, order.fence)
        result = self._execute(order)
        self._seen_ids.add(order.order_id)
        log = self.applied if result.status == 202 else self.refused
        log.append(order.order_id)
        return result

    def _execute(self, order: Order) -> OrderResult:
        if order.action == "load":
            return self._start_load(order)
        if order.action == "unload":
            return self._start_unload(order)
        if order.action == "role":
            self.role = order.role
            return OrderResult(202, {"order_id": order.order_id})
        return OrderResult(400, {"error": "unknown_action"})

    def _start_load(self, order: Order) -> OrderResult:
        accepted = OrderResult(202, {"order_id": order.order_id})
        current = self._memory.artifacts.get(order.artifact)
        if current is not None and current.state != "unloading":
            return accepted
        if self._cfg.checks_memory and not self._memory.fits(order.mib):
            return OrderResult(507, {"error": "no_memory"})
        artifact = Artifact(
            order.artifact, order.mib, order.base, order.order_id, "loading"
        )
        if current is not None:
            return OrderResult(409, {"error": "unloading"})
        self.loads += 1
        self._memory.add(artifact)
        self._spawn(self._load(artifact))
        return accepted

    def _start_unload(self, order: Order) -> OrderResult:
        artifact = self._memory.artifacts.get(order.artifact)
        if artifact is not None:
            for dependent in self._memory.dependents(artifact.name):
                self._unload_in_background(dependent)
            self._unload_in_background(artifact)
        return OrderResult(202, {"order_id": order.order_id})

    def _unload_in_background(self, artifact: Artifact) -> None:
        if artifact.state == "unloading":
            return
        artifact.state = "unloading"
        self.unloads += 1
        self.unloads_in_use += artifact.in_use > 0
        self._spawn(self._unload(artifact))

    async def _load(self, artifact: Artifact) -> None:
        if not await self._fetch(artifact):
            self.refused.append(artifact.order_id)
            self._memory.remove(artifact)
            return
        is_adapter = artifact.base is not None
        cfg = self._cfg
        await asyncio.sleep(
            cfg.adapter_load_seconds if is_adapter else cfg.load_seconds
        )
        if artifact.state == "loading":
            artifact.state = "ready"

    async def _unload(self, artifact: Artifact) -> None:
        await asyncio.sleep(self._cfg.unload_seconds)
        await artifact.idle.wait()
        self._cache.drop(artifact.name)
        self._memory.remove(artifact)

    async def _fetch(self, artifact: Artifact) -> bool:
        if not self._cfg.weights_url:
            return True
        folder = "weights" if artifact.base is None else "weights/adapters"
        url = f"{self._cfg.weights_url}/{folder}/{artifact.name}"
        async with aiohttp.ClientSession() as session:
            for _ in range(self._cfg.fetch_attempts):
                if artifact.state != "loading":
                    return False
                if await _fetch_once(session, url):
                    return True
                backoff = self._cfg.fetch_backoff_seconds
                await asyncio.sleep(backoff * (0.5 + self._random.random()))
        return False


async def _fetch_once(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as resp:
            await resp.read()
            return resp.status == 200
    except aiohttp.ClientError:
        return False
