"""Engines in memory, with faults in what reaches them and what they answer."""

from __future__ import annotations

from collections import Counter

from guavajunction.backends import (
    BackendUnreachable,
    CacheEvents,
    LoadReport,
    Order,
    OrderLacksMemory,
    OrderStale,
    OrderUnanswered,
    Resident,
)
from guavajunction.configuration import (
    EMPTY,
    Adapter,
    BackendServer,
    Configuration,
    Model,
)
from guavajunction.peers import PeerId


class FakeEngine:
    """One engine; it carries out each order id once.

    `step()` lets loads and unloads that were begun end.
    """

    def __init__(
        self, capacity: int, *, checks_fence: bool = False, checks_memory: bool = False
    ) -> None:
        self.capacity = capacity
        self.checks_fence = checks_fence
        self.checks_memory = checks_memory
        self.memory: dict[str, Resident] = {}
        self.known: set[str] = set()
        self.applied: list[str] = []
        self.refused: list[str] = []
        self.last_fence = 0
        self.seq = 0
        self.peak = 0
        """Most memory that was ever taken, in MiB."""
        self.running = 0
        self.leaving = False
        self.role = "both"

    def used(self) -> int:
        """Return the memory that is taken, in MiB."""
        return sum(resident.mib for resident in self.memory.values())

    def apply(self, order: Order) -> None:
        """Carry out an order that has arrived."""
        if order.order_id in self.known:
            return
        if self.checks_fence and order.fence < self.last_fence:
            raise OrderStale("stale", self.last_fence)
        self.last_fence = max(self.last_fence, order.fence)
        self.known.add(order.order_id)
        if order.action == "load":
            self._load(order)
        elif order.action == "unload":
            self._unload(order)
        else:
            self.role = order.role
        self.applied.append(order.order_id)

    def _load(self, order: Order) -> None:
        if order.artifact in self.memory:
            return
        if self.checks_memory and self.used() + order.mib > self.capacity:
            self.refused.append(order.order_id)
            raise OrderLacksMemory("no memory")
        self.memory[order.artifact] = Resident(
            order.artifact, order.mib, "loading", order.order_id
        )
        self.peak = max(self.peak, self.used())

    def _unload(self, order: Order) -> None:
        if order.artifact in self.memory:
            resident = self.memory[order.artifact]
            self.memory[order.artifact] = resident._replace(state="unloading")

    def step(self) -> None:
        """End the loads and unloads that were begun."""
        self.memory = {
            artifact: resident._replace(state="ready")
            for artifact, resident in self.memory.items()
            if resident.state != "unloading"
        }

    def hold(self, artifact: str, mib: int) -> None:
        """Put an artifact into memory, ready."""
        self.memory[artifact] = Resident(artifact, mib, "ready", f"held-{artifact}")
        self.peak = max(self.peak, self.used())

    def restart(self) -> None:
        """Start again empty; what it had carried out is forgotten."""
        self.memory.clear()
        self.known.clear()
        self.applied.clear()
        self.seq = 0

    def report(self) -> LoadReport:
        """Return the load as it is now."""
        self.seq += 1
        return LoadReport(
            self.seq,
            0.0,
            self.running,
            0,
            8,
            self.capacity,
            self.used(),
            0,
            tuple(self.memory.values()),
            self.role,
            self.last_fence,
            frozenset(self.applied),
            frozenset(self.refused),
            self.leaving,
        )


class FakeBackends:
    """Reaches `FakeEngine`s by address; is a `BackendClient`."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self.engines = engines
        self.down: set[str] = set()
        """Engines that answer nothing."""
        self.order_outcomes: list[str] = []
        """What becomes of the next orders: `lose`, `lose_answer`, `late`, `late_ack`,
        `double` or `ok`; `ok` once it is empty."""
        self.undelivered: list[tuple[str, Order]] = []
        """Orders that have not arrived yet."""
        self.frozen: dict[str, LoadReport] = {}
        """Reports that are answered instead of new ones, by engine."""
        self.events: dict[str, CacheEvents] = {}
        self.orders: list[tuple[str, Order]] = []
        """Every order that was sent."""
        self.reads: Counter[str] = Counter()

    async def load(self, address: str) -> LoadReport:
        """Read an engine's load."""
        self.reads[address] += 1
        self._check(address)
        return self.frozen.get(address) or self.engines[address].report()

    async def service_load(self, address: str) -> LoadReport:
        """Read a service's load."""
        return await self.load(address)

    async def cache_events(self, address: str, after: int) -> CacheEvents:
        """Read the cache events that a test laid down."""
        self._check(address)
        answer = self.events.get(address, CacheEvents((), 1, 0))
        later = tuple(event for event in answer.events if event.seq > after)
        return answer._replace(events=later)

    async def order(self, address: str, order: Order) -> None:
        """Send an order, which meets the next fate."""
        self.orders.append((address, order))
        self._check(address)
        outcome = self.order_outcomes.pop(0) if self.order_outcomes else "ok"
        if outcome in ("late", "late_ack", "double"):
            self.undelivered.append((address, order))
        if outcome in ("lose", "late"):
            raise OrderUnanswered(outcome)
        if outcome in ("ok", "double", "lose_answer"):
            self.engines[address].apply(order)
        if outcome == "lose_answer":
            raise OrderUnanswered(outcome)

    def deliver_order(self, index: int = 0) -> None:
        """Let an order in transit arrive; nobody hears the answer."""
        address, order = self.undelivered.pop(index)
        try:
            self.engines[address].apply(order)
        except (OrderStale, OrderLacksMemory):
            return

    def step(self) -> None:
        """Let every engine end what it has begun."""
        for engine in self.engines.values():
            engine.step()

    def _check(self, address: str) -> None:
        if address in self.down:
            raise BackendUnreachable(f"{address} is down")


class FakeMembers:
    """Chooses one fixed instance for every key."""

    def __init__(self, author: PeerId | None) -> None:
        self.chosen = author

    def author(self, key: str) -> PeerId | None:
        """Return the fixed instance."""
        return self.chosen


def fleet(
    engines: dict[str, FakeEngine],
    models: list[Model],
    adapters: list[Adapter] | None = None,
) -> Configuration:
    """Return a configuration in which engines are named as their addresses."""
    servers = {
        name: BackendServer(
            name,
            "engine",
            name,
            "dc",
            "pool",
            memory_mib=engine.capacity,
            checks_orders=engine.checks_fence,
        )
        for name, engine in engines.items()
    }
    return EMPTY._replace(
        version=1,
        models={m.name: m for m in models},
        adapters={a.name: a for a in adapters or []},
        backends=servers,
    )
