"""Dependencies of the HTTP front."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from guavajunction.backends import Inventory
from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.customers import KeyAuthenticator, RateLimitPolicy
from guavajunction.directory import Directory
from guavajunction.idempotency import IdempotencyRegistry
from guavajunction.memory import MemoryBudget
from guavajunction.metrics import MetricsRegistry
from guavajunction.routing import (
    DecisionLog,
    DemandMeter,
    InferenceRouter,
    ServiceRouter,
)
from guavajunction.settings import ServingSettings, TimingSettings


class FrontParts(NamedTuple):
    """The aggregates and settings that request handlers use."""

    configuration: Callable[[], Configuration]
    key_authenticator: KeyAuthenticator
    limits: RateLimitPolicy
    idempotency: IdempotencyRegistry
    inventory: Inventory
    inference: InferenceRouter
    services: ServiceRouter
    directory: Directory
    decisions: DecisionLog
    demand: DemandMeter
    budget: MemoryBudget
    """What requests may hold in this process."""
    metrics: MetricsRegistry
    clock: Clock
    ready: Callable[[], bool]
    """Returns whether the directory may send callers to this instance."""
    may_serve: Callable[[], bool]
    """Returns whether this instance may run requests that need an API key."""
    draining: Callable[[], bool]
    """Returns whether a planned stop has begun."""
    serving: ServingSettings
    timing: TimingSettings
