"""The configuration in force, as the other aggregates read it."""

from __future__ import annotations

from typing import Literal, NamedTuple


class Customer(NamedTuple):
    """An organisation that calls with its own keys."""

    name: str
    rate: float
    """Tokens a second, counted over all instances together."""
    burst: float
    """Tokens that may be used at once, counted over all instances together."""
    weight: float = 1.0
    """Share of a contended backend server relative to other customers."""
    models: tuple[str, ...] = ()
    """Names of models and adapters that it may use; empty for all."""


class KeyRecord(NamedTuple):
    """A key that operators issued; the key itself is never kept."""

    key_id: str
    """Public identity, for logs and withdrawal."""
    customer: str
    digest: str
    """Keyed hash of the key, hexadecimal."""


class Model(NamedTuple):
    """A base model."""

    name: str
    version: str
    pool: str
    """Group of backend servers that may hold it."""
    memory_mib: int
    min_replicas: int = 1

    @property
    def artifact(self) -> str:
        """Name of the loaded thing, `name@version`."""
        return f"{self.name}@{self.version}"


class Adapter(NamedTuple):
    """A small set of weights on top of a base model."""

    name: str
    version: str
    model: str
    """Name of the base model."""
    memory_mib: int

    @property
    def artifact(self) -> str:
        """Name of the loaded thing, `name@version`."""
        return f"{self.name}@{self.version}"


class BackendServer(NamedTuple):
    """A server that runs requests: a model engine or a plain service."""

    name: str
    kind: Literal["engine", "service"]
    address: str
    """IP number and port, `host:port`."""
    data_centre: str
    pool: str
    accelerators: int = 1
    memory_mib: int = 0
    """Accelerator memory for weights, adapters and KV cache together."""
    kv_reserve_mib: int = 0
    """Part of the memory that is kept for KV cache."""
    slots: int = 8
    """Requests that it runs at once."""
    checks_orders: bool = False
    """Whether it refuses an order with an old fencing number."""
    leaving: bool = False
    """Whether it must get no new work."""

    @property
    def weights_mib(self) -> int:
        """Memory that weights and adapters may take."""
        return self.memory_mib - self.kv_reserve_mib


class Route(NamedTuple):
    """A path prefix of a plain service."""

    service: str
    prefix: str
    """Path below the service, `/bookings`."""
    methods: tuple[str, ...]
    idempotent: bool
    """Whether a call may be sent again."""
    open_to_all: bool = False
    """Whether it needs no key."""
    cost: float = 1.0
    """Tokens charged for one call."""


class Service(NamedTuple):
    """A plain service beside the model engines."""

    name: str
    pool: str
    """Group of backend servers that run it."""
    routes: tuple[Route, ...]


class Objective(NamedTuple):
    """What a class of requests is owed."""

    name: str
    """`live` or `batch`."""
    first_token: float
    """Seconds to the first token."""
    between_tokens: float
    """Seconds between tokens."""
    max_wait: float
    """Seconds that a request may wait in the queue."""


class Configuration(NamedTuple):
    """One accepted version of the whole document."""

    version: int
    customers: dict[str, Customer]
    keys: dict[str, KeyRecord]
    """By digest."""
    models: dict[str, Model]
    adapters: dict[str, Adapter]
    backends: dict[str, BackendServer]
    services: dict[str, Service]
    objectives: dict[str, Objective]

    @property
    def engines(self) -> list[BackendServer]:
        """Return the backend servers that are model engines."""
        return [b for b in self.backends.values() if b.kind == "engine"]


EMPTY = Configuration(0, {}, {}, {}, {}, {}, {}, {})
"""What is in force before any document was accepted."""
