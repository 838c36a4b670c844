"""Fakes of what routing reads and writes, and routers that use them."""

from __future__ import annotations

import random
from typing import NamedTuple

from guavajunction.clock import SystemClock
from guavajunction.configuration import (
    EMPTY_CONFIGURATION,
    BackendServer,
    Customer,
    Objective,
    Route,
    Service,
)
from guavajunction.routing import (
    DecisionLog,
    RetryBudget,
    RoutedRequest,
    ServiceRouter,
)

LIVE = Objective("live", first_token=1.0, between_tokens=0.1, max_wait=2.0)
BATCH = Objective("batch", first_token=60.0, between_tokens=1.0, max_wait=60.0)


class State(NamedTuple):
    """A load report of a backend server."""

    name: str
    running: int = 0
    waiting: int = 0
    slots: int = 4
    as_of: float = 0.0


class FakeReplicas:
    """Replicas with load reports and cached prefixes set by the test."""

    def __init__(self, *states: State) -> None:
        self.states = {state.name: state for state in states}
        self.prefixes: set[tuple[str, str]] = set()
        self.failures: list[str] = []

    def ready(self, artifact: str) -> list[State]:
        return list(self.states.values())

    def ready_in_pool(self, pool: str) -> list[State]:
        return list(self.states.values())

    def cached(self, backend: str, prefix: str) -> bool:
        return (backend, prefix) in self.prefixes

    def note_failure(self, backend: str) -> None:
        self.failures.append(backend)


def customer(name: str, weight: float = 1.0) -> Customer:
    return Customer(name, rate=1000.0, burst=1000.0, weight=weight)


_ids = iter(range(10**9))


def request(
    of: Customer,
    objective: Objective = LIVE,
    *,
    arrived: float = 0.0,
    cost: float = 10.0,
    prefix: str = "p",
) -> RoutedRequest:
    return RoutedRequest(
        request_id=f"r{next(_ids)}",
        customer=of,
        artifact="m@1",
        objective=objective,
        prefix=prefix,
        cost=cost,
        arrived=arrived,
    )


class Sink:
    """Collects the answer that a caller would receive."""

    def __init__(self) -> None:
        self.started = False
        self.body = b""

    async def start(self, status, content_type):
        self.started = True

    async def write(self, chunk):
        self.body += chunk


class Times:
    """Ignores all latencies."""

    def on_slot_granted(self):
        pass

    def on_tokens(self, count):
        pass


DESK = Route("desk", "/bookings", ("POST", "PUT"), idempotent=False)


def config_of(addresses, kind="engine"):
    backends = {
        name: BackendServer(name, kind, address, "dc", "pool")
        for name, address in addresses.items()
    }
    return EMPTY_CONFIGURATION._replace(
        backends=backends, services={"desk": Service("desk", "pool", (DESK,))}
    )


def service_router(session, addresses):
    """Return a router whose backend servers are all replicas of one service."""
    cfg = config_of(addresses, kind="service")
    return ServiceRouter(
        session,
        FakeReplicas(*map(State, addresses)),
        RetryBudget(random.Random(1)),
        DecisionLog(),
        SystemClock(),
        random.Random(1),
        lambda: cfg,
        timeout=0.5,
    )
