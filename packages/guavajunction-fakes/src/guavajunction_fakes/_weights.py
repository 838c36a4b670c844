"""Stand-in for the weight store."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import xxhash
from aiohttp import web

from ._server import FakeServer


class WeightStoreConfig(NamedTuple):
    """Limits of the weight store."""

    models_per_second: float = 1.5
    """Rate at which fetches of base models may start."""
    models_burst: float = 2.0
    """Number of fetches of base models that may start at once."""
    models_at_once: int = 10
    """Maximum number of base model fetches in flight."""
    model_seconds: float = 3.0
    """Duration of one fetch of a base model."""
    adapters_knee: int = 90
    """Number of adapter fetches in flight above which the duration of a fetch grows
    in proportion to the number in flight."""
    adapter_min_seconds: float = 0.004
    """Minimum duration of an adapter fetch below the knee."""
    adapter_max_seconds: float = 0.015
    """Maximum duration of an adapter fetch below the knee."""


class FakeWeights(FakeServer):
    """Serves weights with a delay, limited by rate and by fetches in flight."""

    BODY = b"weights"

    def __init__(self, cfg: WeightStoreConfig | None = None) -> None:
        super().__init__()
        self._cfg = cfg or WeightStoreConfig()
        self._tokens = self._cfg.models_burst
        self._refilled_at = time.monotonic()
        self._model_fetches = _InFlightCounter()
        self._adapter_fetches = _InFlightCounter()
        self._refused = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [
            web.get("/weights/adapters/{artifact}", self._handle_adapter),
            web.get("/weights/{artifact}", self._handle_model),
        ]

    def kind_of(self, req: web.Request) -> str:
        """Return `adapter` or `model`."""
        return "adapter" if req.path.startswith("/weights/adapters/") else "model"

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {
            **super().stats(),
            "loads": self._model_fetches.started + self._adapter_fetches.started,
            "model_loads": self._model_fetches.started,
            "model_loads_in_flight_max": self._model_fetches.max_in_flight,
            "adapter_loads": self._adapter_fetches.started,
            "adapter_loads_in_flight_max": self._adapter_fetches.max_in_flight,
            "slow_downs": self._refused,
        }

    async def _handle_model(self, req: web.Request) -> web.Response:
        if not self._admit_model():
            self._refused += 1
            text = "<Error><Code>SlowDown</Code></Error>"
            return web.Response(status=503, text=text, content_type="application/xml")
        with self._model_fetches:
            await asyncio.sleep(self._cfg.model_seconds)
        return web.Response(body=self.BODY)

    async def _handle_adapter(self, req: web.Request) -> web.Response:
        with self._adapter_fetches:
            await asyncio.sleep(self._adapter_seconds(req.match_info["artifact"]))
        return web.Response(body=self.BODY)

    def _admit_model(self) -> bool:
        now = time.monotonic()
        gained = (now - self._refilled_at) * self._cfg.models_per_second
        self._tokens = min(self._cfg.models_burst, self._tokens + gained)
        self._refilled_at = now
        if (
            self._tokens < 1.0
            or self._model_fetches.in_flight >= self._cfg.models_at_once
        ):
            return False
        self._tokens -= 1.0
        return True

    def _adapter_seconds(self, artifact: str) -> float:
        share = xxhash.xxh3_64_intdigest(artifact.encode()) % 1000 / 1000
        cfg = self._cfg
        span = cfg.adapter_max_seconds - cfg.adapter_min_seconds
        seconds = cfg.adapter_min_seconds + share * span
        return seconds * max(1.0, self._adapter_fetches.in_flight / cfg.adapters_knee)


class _InFlightCounter:
    """Counts fetches; a fetch is in flight while its context is open."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.max_in_flight = 0
        self.started = 0

    def __enter__(self) -> None:
        self.started += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)

    def __exit__(self, *exc_info: object) -> None:
        self.in_flight -= 1
