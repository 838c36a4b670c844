"""What the HTTP front works with."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from guavajunction.backends import Inventory
from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.customers import KeyRing, Limits
from guavajunction.directory import Directory
from guavajunction.idempotency import OnceRegister
from guavajunction.metrics import MetricsRegistry
from guavajunction.routing import (
    DecisionLog,
    DemandMeter,
    InferenceRouter,
    ServiceRouter,
)
from guavajunction.settings import ServingSettings, TimingSettings


class FrontParts(NamedTuple):
    """The aggregates that a request walks through."""

    configuration: Callable[[], Configuration]
    key_ring: KeyRing
    limits: Limits
    once: OnceRegister
    inventory: Inventory
    inference: InferenceRouter
    services: ServiceRouter
    directory: Directory
    decisions: DecisionLog
    demand: DemandMeter
    metrics: MetricsRegistry
    clock: Clock
    ready: Callable[[], bool]
    """Whether callers may be sent to this instance."""
    standing: Callable[[], bool]
    """Whether this instance may serve requests that need a key."""
    draining: Callable[[], bool]
    """Whether a planned stop has begun."""
    serving: ServingSettings
    timing: TimingSettings
