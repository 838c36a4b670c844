"""Measures request and token rates per artifact on this instance."""

from __future__ import annotations

import math
from typing import NamedTuple

from guavajunction.clock import Clock


class DemandRate(NamedTuple):
    """Demand for one artifact."""

    requests_per_s: float
    tokens_per_s: float
    waiting: int
    """Number of requests in the queue."""


class DecayingRate:
    """Exponentially weighted moving average of a rate."""

    TIME_CONSTANT_SECONDS = 5.0
    """Time in which the weight of an amount decays to 1/e."""

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._updated_at = now

    def add(self, now: float, amount: float) -> None:
        """Add an amount at the time `now`, in monotonic seconds."""
        self._value = self.per_second(now) + amount / self.TIME_CONSTANT_SECONDS
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the rate per second at the time `now`, in monotonic seconds."""
        return self._value * math.exp(
            (self._updated_at - now) / self.TIME_CONSTANT_SECONDS
        )


class DemandMeter:
    """Measures arrival rates and slot hold times per artifact."""

    HOLD_TIME_SMOOTHING = 0.2
    """Weight of the newest hold time in the exponential moving average."""
    IDLE_REQUESTS_PER_S = 0.001
    """Rate of requests below which both rates of an artifact are dropped."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: dict[str, DecayingRate] = {}
        self._tokens: dict[str, DecayingRate] = {}
        self._mean_hold_seconds: dict[str, float] = {}

    def add_arrival(self, artifact: str, tokens: float) -> None:
        """Count an arrived request and its reserved tokens."""
        now = self._clock.monotonic()
        if artifact not in self._requests:
            self._requests[artifact] = DecayingRate(now)
            self._tokens[artifact] = DecayingRate(now)
        self._requests[artifact].add(now, 1.0)
        self._tokens[artifact].add(now, tokens)

    def add_hold_time(self, artifact: str, seconds: float) -> None:
        """Add the time in seconds for which a request held its slot."""
        mean = self._mean_hold_seconds.get(artifact, seconds)
        self._mean_hold_seconds[artifact] = mean + self.HOLD_TIME_SMOOTHING * (
            seconds - mean
        )

    def mean_hold_seconds(self, artifact: str) -> float | None:
        """Return the mean slot hold time in seconds, None before the first request."""
        return self._mean_hold_seconds.get(artifact)

    def rates(self) -> dict[str, DemandRate]:
        """Return the demand by artifact; `waiting` is always 0 here."""
        now = self._clock.monotonic()
        self._drop_idle(now)
        return {
            artifact: DemandRate(
                rate.per_second(now), self._tokens[artifact].per_second(now), 0
            )
            for artifact, rate in self._requests.items()
        }

    def _drop_idle(self, now: float) -> None:
        idle = [
            artifact
            for artifact, rate in self._requests.items()
            if rate.per_second(now) < self.IDLE_REQUESTS_PER_S
        ]
        for artifact in idle:
            del self._requests[artifact]
            del self._tokens[artifact]
