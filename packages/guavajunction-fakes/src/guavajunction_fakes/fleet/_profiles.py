"""Profiles: numbers, sizes and names of all parts of a fleet."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction_fakes._errors import ProfileUnknown
from guavajunction_fakes._weights import WeightStoreConfig


class ModelPlan(NamedTuple):
    """A base model and its adapters."""

    name: str
    version: str
    memory_mib: int
    """Accelerator memory that the loaded base model uses."""
    adapters: dict[str, int]
    """Memory of each adapter in MiB, by adapter name."""


class CustomerPlan(NamedTuple):
    """A customer, its rate limit, and the traffic that it sends."""

    name: str
    rate: float
    """Rate limit in tokens per second."""
    burst: float
    """Size of the token bucket, in tokens."""
    live_share: float = 0.35
    """Fraction of the rate that live requests use on average."""
    batch_share: float = 0.15
    """Fraction of the rate that batch requests use on average."""
    calls_per_second: float = 0.5
    """Calls of the plain service per second that must run at most once."""


class ServicePlan(NamedTuple):
    """The plain service: its servers and its two routes."""

    name: str
    servers: int
    """Number of servers."""
    change_method: str
    """HTTP method of calls that must run at most once."""
    change_prefix: str
    """Path prefix of calls that must run at most once."""
    read_prefix: str
    """Path prefix of calls that are open to all customers."""


class ObjectivePlan(NamedTuple):
    """Latency objectives of a class of requests, in seconds."""

    first_token: float
    """Longest time to the first token."""
    between_tokens: float
    """Longest average time between tokens."""
    max_wait: float
    """Longest wait in the queue."""


class FleetProfile(NamedTuple):
    """Numbers, sizes and names of all parts of one fleet."""

    name: str
    data_centres: tuple[str, ...]
    entries: int
    """Default number of entry instances."""
    pool: str
    """Pool of all engines and models."""
    engines: int
    """Number of model engines."""
    engine_memory_mib: int
    kv_reserve_mib: int
    """Memory of each engine that is reserved for the KV cache."""
    slots: int
    """Requests that each engine runs at the same time."""
    models: tuple[ModelPlan, ...]
    service: ServicePlan
    customers: tuple[CustomerPlan, ...]
    weights: WeightStoreConfig
    """Limits of the weight store."""
    live: ObjectivePlan
    batch: ObjectivePlan

    @property
    def model_names(self) -> list[str]:
        """Return the names of all models and adapters."""
        names = [model.name for model in self.models]
        return names + [name for model in self.models for name in model.adapters]


def _models(
    prefix: str, sizes_mib: tuple[int, ...], count: int, adapters: int, adapter_mib: int
) -> tuple[ModelPlan, ...]:
    """Return models of alternating sizes, with the adapters spread evenly over them."""
    plans = []
    for index in range(count):
        own = range(index, adapters, count)
        names = {f"{prefix}-adapter-{number + 1}": adapter_mib for number in own}
        size = sizes_mib[index % len(sizes_mib)]
        plans.append(ModelPlan(f"{prefix}-{index + 1}", "1", size, names))
    return tuple(plans)


def _customers(
    rates: dict[str, float], burst_seconds: float
) -> tuple[CustomerPlan, ...]:
    return tuple(
        CustomerPlan(name, rate, rate * burst_seconds) for name, rate in rates.items()
    )


LIVE = ObjectivePlan(first_token=1.0, between_tokens=0.05, max_wait=2.0)
BATCH = ObjectivePlan(first_token=60.0, between_tokens=0.5, max_wait=600.0)

DEMO = FleetProfile(
    name="demo",
    data_centres=("north", "south"),
    entries=3,
    pool="engines",
    engines=3,
    engine_memory_mib=24_000,
    kv_reserve_mib=4_000,
    slots=8,
    models=_models("model", (6_000, 4_000), count=6, adapters=9, adapter_mib=60),
    service=ServicePlan("booking", 2, "POST", "/bookings", "/availability"),
    customers=_customers({"atelier": 1_500.0, "retail": 900.0}, 8.0),
    weights=WeightStoreConfig(models_per_second=4.0, model_seconds=0.5),
    live=LIVE,
    batch=BATCH,
)
"""A small fleet that fits on a laptop."""

KAUPUNKIKUVA = FleetProfile(
    name="kaupunkikuva",
    data_centres=("tampere-1", "tampere-2", "nokia", "ylojarvi"),
    entries=8,
    pool="captioning",
    engines=9,
    engine_memory_mib=24_000,
    kv_reserve_mib=4_000,
    slots=8,
    models=_models("caption", (5_000, 3_500, 3_000), 30, adapters=100, adapter_mib=60),
    service=ServicePlan("booking", 4, "POST", "/bookings", "/availability"),
    customers=_customers(
        {
            "lookbook": 3_000.0,
            "archive": 2_000.0,
            "retail": 1_200.0,
            "designers": 600.0,
            "museum": 400.0,
        },
        8.0,
    ),
    weights=WeightStoreConfig(
        models_per_second=2.0, models_at_once=15, model_seconds=2.0, adapters_knee=130
    ),
    live=LIVE,
    batch=BATCH,
)
"""Image captions for live shoots and archive batches, and studio bookings."""

ASSOCIATION = FleetProfile(
    name="association",
    data_centres=("bangkok-1", "bangkok-2", "bangkok-3"),
    entries=7,
    pool="drafting",
    engines=6,
    engine_memory_mib=24_000,
    kv_reserve_mib=4_000,
    slots=8,
    models=_models("draft", (6_000, 5_000, 4_000), 15, adapters=75, adapter_mib=60),
    service=ServicePlan("returns", 3, "PUT", "/filings", "/availability"),
    customers=_customers(
        {
            "north-office": 2_000.0,
            "central-office": 2_000.0,
            "south-office": 1_000.0,
            "schools": 600.0,
            "district": 400.0,
        },
        8.0,
    ),
    weights=WeightStoreConfig(
        models_per_second=1.5, models_at_once=10, model_seconds=2.0, adapters_knee=90
    ),
    live=LIVE,
    batch=BATCH,
)
"""Text drafts for clerks, filings and nightly batches."""

PROFILES = {profile.name: profile for profile in (DEMO, KAUPUNKIKUVA, ASSOCIATION)}
"""All profiles by name."""


def get_profile(name: str) -> FleetProfile:
    """Return the profile with a name.

    Raises:
        ProfileUnknown: No profile has this name.
    """
    if name not in PROFILES:
        raise ProfileUnknown(f"profile {name!r} is not one of {sorted(PROFILES)}")
    return PROFILES[name]
