"""The typed configuration that the other packages use."""

from __future__ import annotations

from typing import Literal, NamedTuple


class Customer(NamedTuple):
    """An organisation that sends requests with its own keys."""

    name: str
    rate: float
    """Tokens per second, over all instances together."""
    burst: float
    """Tokens that may be used at once, over all instances together."""
    weight: float = 1.0
    """Share of a contended backend server relative to other customers."""
    models: tuple[str, ...] = ()
    """Names of the models and adapters that the customer may use; empty for all."""


class KeyRecord(NamedTuple):
    """A key that operators issued. The key itself is never stored."""

    key_id: str
    """Public id, for logs and withdrawal."""
    customer: str
    digest: str
    """HMAC-SHA256 of the key in hexadecimal."""


class Model(NamedTuple):
    """A base model."""

    name: str
    version: str
    pool: str
    """Group of engines that may load the model."""
    memory_mib: int
    """Accelerator memory of one replica."""
    min_replicas: int = 1
    """Minimum number of engines that have the model loaded."""

    @property
    def artifact(self) -> str:
        """Name under which engines load this version, `name@version`."""
        return f"{self.name}@{self.version}"


class Adapter(NamedTuple):
    """A small set of weights on top of a base model."""

    name: str
    version: str
    model: str
    """Name of the base model."""
    memory_mib: int
    """Accelerator memory of one copy."""

    @property
    def artifact(self) -> str:
        """Name under which engines load this version, `name@version`."""
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
    """Part of `memory_mib` that is reserved for KV cache."""
    slots: int = 8
    """Maximum number of concurrent requests."""
    checks_orders: bool = False
    """Whether the server refuses an order with an outdated fencing number."""
    leaving: bool = False
    """Whether the server is being drained and must get no new work."""

    @property
    def weights_mib(self) -> int:
        """MiB available for weights and adapters."""
        return self.memory_mib - self.kv_reserve_mib


class Route(NamedTuple):
    """A path prefix of a plain service, with its methods and cost."""

    service: str
    prefix: str
    """Path below the service, such as `/bookings`."""
    methods: tuple[str, ...]
    idempotent: bool
    """Whether a request may be retried."""
    open_to_all: bool = False
    """Whether requests need no key."""
    cost: float = 1.0
    """Tokens charged for one request."""


class Service(NamedTuple):
    """A plain service beside the model engines."""

    name: str
    pool: str
    """Group of backend servers that run the service."""
    routes: tuple[Route, ...]


class Objective(NamedTuple):
    """Latency objective of a class of requests."""

    name: str
    """`live` or `batch`."""
    first_token: float
    """Maximum time to the first token, in seconds."""
    between_tokens: float
    """Maximum time between two tokens, in seconds."""
    max_wait: float
    """Maximum wait of a request in the queue, in seconds."""


class Configuration(NamedTuple):
    """One accepted version of the whole document."""

    version: int
    customers: dict[str, Customer]
    keys: dict[str, KeyRecord]
    """Issued keys by digest; all other entries are by name."""
    models: dict[str, Model]
    adapters: dict[str, Adapter]
    backends: dict[str, BackendServer]
    services: dict[str, Service]
    objectives: dict[str, Objective]

    @property
    def engines(self) -> list[BackendServer]:
        """Return the backend servers that are model engines."""
        return [b for b in self.backends.values() if b.kind == "engine"]


EMPTY_CONFIGURATION = Configuration(0, {}, {}, {}, {}, {}, {}, {})
"""Configuration before the first document is accepted."""
