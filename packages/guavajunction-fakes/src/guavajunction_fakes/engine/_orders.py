"""Orders to load, unload and change role, as they arrive and take effect."""

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


class Spawn(Protocol):
    """Starts a job that ends with the engine."""

    def __call__(self, job: Any) -> Any:
        """Start the job."""
        ...


class Verdict(NamedTuple):
    """What becomes of an order."""

    status: int
    """HTTP status: 202, 400, 409 or 507."""
    body: dict[str, Any]


class OrderBook:
    """Applies orders to memory, each order id once."""

    KEPT_IDS = 256

    def __init__(
        self, cfg: EngineConfig, memory: Memory, cache: PrefixCache, spawn: Spawn
    ) -> None:
        self._cfg = cfg
        self._memory = memory
        self._cache = cache
        self._spawn = spawn
        self._known: set[str] = set()
        self._random = random.Random(cfg.name)
        self.role = "both"
        self.last_fence = 0
        self.applied: deque[str] = deque(maxlen=self.KEPT_IDS)
        """Latest orders that took effect."""
        self.refused: deque[str] = deque(maxlen=self.KEPT_IDS)
        """Latest orders that were refused or failed."""
        self.repeats = 0
        """Orders that arrived again and were ignored."""
        self.stale = 0
        """Orders with an old fencing number, refused or not."""
        self.loads = 0
        self.unloads = 0
        self.unloads_in_use = 0
        """Unloads of artifacts that requests still ran on."""

    def apply(self, order: Order) -> Verdict:
        """Check an order and begin to carry it out.

        Args:
            order: What arrived, perhaps late or again.

        Returns:
            What the sender is told.
        """
        if order.order_id in self._known:
            self.repeats += 1
            return Verdict(202, {"order_id": order.order_id, "repeat": True})
        if order.fence < self.last_fence:
            self.stale += 1
            if self._cfg.checks_orders:
                self.refused.append(order.order_id)
                body = {"error": "stale_fence", "last_fence": self.last_fence}
                return Verdict(409, body)
        self.last_fence = max(self.last_fence, order.fence)
        verdict = self._begin(order)
        self._known.add(order.order_id)
        log = self.applied if verdict.status == 202 else self.refused
        log.append(order.order_id)
        return verdict

    def _begin(self, order: Order) -> Verdict:
        if order.action == "load":
            return self._begin_load(order)
        if order.action == "unload":
            return self._begin_unload(order)
        if order.action == "role":
            self.role = order.role
            return Verdict(202, {"order_id": order.order_id})
        return Verdict(400, {"error": "unknown_action"})

    def _begin_load(self, order: Order) -> Verdict:
        accepted = Verdict(202, {"order_id": order.order_id})
        present = self._memory.artifacts.get(order.artifact)
        if present is not None and present.state != "unloading":
            return accepted
        if self._cfg.checks_memory and not self._memory.fits(order.mib):
            return Verdict(507, {"error": "no_memory"})
        artifact = Artifact(
            order.artifact, order.mib, order.base, order.order_id, "loading"
        )
        if present is not None:
            return Verdict(409, {"error": "unloading"})
        self.loads += 1
        self._memory.add(artifact)
        self._spawn(self._load(artifact))
        return accepted

    def _begin_unload(self, order: Order) -> Verdict:
        artifact = self._memory.artifacts.get(order.artifact)
        if artifact is not None:
            for dependent in self._memory.dependents(artifact.name):
                self._unload_later(dependent)
            self._unload_later(artifact)
        return Verdict(202, {"order_id": order.order_id})

    def _unload_later(self, artifact: Artifact) -> None:
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
                if await _fetched(session, url):
                    return True
                backoff = self._cfg.fetch_backoff_seconds
                await asyncio.sleep(backoff * (0.5 + self._random.random()))
        return False


async def _fetched(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as resp:
            await resp.read()
            return resp.status == 200
    except aiohttp.ClientError:
        return False
