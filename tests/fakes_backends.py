"""In-memory engines, with faults in the delivery of orders and responses."""

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
    EMPTY_CONFIGURATION,
    Adapter,
    BackendServer,
    Configuration,
    Model,
)
from guavajunction.peers import PeerId


class FakeEngine:
    """One engine, which carries out each order id at most once.

    Loads and unloads finish with the next call of `step()`.
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
        """Greatest memory used so far, in MiB."""
        self.running = 0
        self.leaving = False
        self.role = "both"

    def used(self) -> int:
        """Return the memory in use, in MiB."""
        return sum(resident.mib for resident in self.memory.values())

    def apply(self, order: Order) -> None:
        """Carry out an order, unless its id is known already."""
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
        """Finish the loads and unloads under way."""
        self.memory = {
            artifact: resident._replace(state="ready")
            for artifact, resident in self.memory.items()
            if resident.state != "unloading"
        }

    def add_ready(self, artifact: str, mib: int) -> None:
        """Add an artifact to the memory in the state `ready`."""
        self.memory[artifact] = Resident(artifact, mib, "ready", f"held-{artifact}")
        self.peak = max(self.peak, self.used())

    def restart(self) -> None:
        """Restart with empty memory, report number 0 and no known orders."""
        self.memory.clear()
        self.known.clear()
        self.applied.clear()
        self.seq = 0

    def report(self) -> LoadReport:
        """Return a new load report."""
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
    """A `BackendClient` that reaches `FakeEngine`s by address."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self.engines = engines
        self.down: set[str] = set()
        """Engines that cannot be reached."""
        self.order_outcomes: list[str] = []
        """Outcomes of the next orders, `ok` once the list is empty.

        - `ok`: the order is carried out and accepted.
        - `lose`: the order is lost.
        - `lose_answer`: the order is carried out, but its response is lost.
        - `late`: the order arrives later; no response.
        - `late_ack`: the order is accepted, but arrives later.
        - `double`: the order is carried out, and a copy arrives later.
        """
        self.undelivered: list[tuple[str, Order]] = []
        """Orders that have not arrived yet, with the address of their engine."""
        self.frozen: dict[str, LoadReport] = {}
        """Reports that are returned instead of new ones, by engine."""
        self.events: dict[str, CacheEvents] = {}
        self.orders: list[tuple[str, Order]] = []
        """Every order that was sent, with the address of its engine."""
        self.reads: Counter[str] = Counter()
        """Number of load queries by engine."""

    async def load(self, address: str) -> LoadReport:
        """Return the load report of an engine."""
        self.reads[address] += 1
        self._check(address)
        return self.frozen.get(address) or self.engines[address].report()

    async def service_load(self, address: str) -> LoadReport:
        """Return the load report of a service."""
        return await self.load(address)

    async def cache_events(self, address: str, after: int) -> CacheEvents:
        """Return the cache events that a test has set."""
        self._check(address)
        answer = self.events.get(address, CacheEvents((), 1, 0))
        later = tuple(event for event in answer.events if event.seq > after)
        return answer._replace(events=later)

    async def order(self, address: str, order: Order) -> None:
        """Send an order with the next of `order_outcomes`."""
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
        """Deliver an undelivered order to its engine; the response is lost."""
        address, order = self.undelivered.pop(index)
        try:
            self.engines[address].apply(order)
        except (OrderStale, OrderLacksMemory):
            return

    def step(self) -> None:
        """Finish the loads and unloads of every engine."""
        for engine in self.engines.values():
            engine.step()

    def _check(self, address: str) -> None:
        if address in self.down:
            raise BackendUnreachable(f"{address} is down")


class FakeMembers:
    """Assigns every key to one fixed instance."""

    def __init__(self, owner: PeerId | None) -> None:
        self.chosen = owner

    def owner_of(self, key: str) -> PeerId | None:
        """Return the fixed instance."""
        return self.chosen


def fleet(
    engines: dict[str, FakeEngine],
    models: list[Model],
    adapters: list[Adapter] | None = None,
) -> Configuration:
    """Return a configuration with the address of each engine as its name."""
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
    return EMPTY_CONFIGURATION._replace(
        version=1,
        models={m.name: m for m in models},
        adapters={a.name: a for a in adapters or []},
        backends=servers,
    )
