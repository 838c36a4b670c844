"""Routes callers' requests to backend servers: queueing, rate limits and retries."""

from __future__ import annotations

from ._backend import BackendRecord
from ._backend_registry import BackendRegistry, HoldingNotice, RetireNotice
from ._catalogue import (
    Catalogue,
    Customer,
    EngineSpec,
    IngressLimits,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from ._fleet_backlog import Backlog, FleetBacklog
from ._framing import Framing
from ._gateway import Gateway, GatewayParts
from ._homes import Homes, Regions
from ._load_view import Load, LoadView
from ._model_demand import NO_DEMAND, Demand, ModelDemand
from ._pooled_rate_limit import PooledRateLimit, RateLimitTerms
from ._protocols import AnswerHead, AnswerSink, BackendAnswer, BackendCaller
from ._rate_limits import RateLimitBounds, RateLimits
from ._request import GatewayRequest, GenerationSize, PromptPart
from ._request_queue import QueuedRequest, RequestQueue
from ._retry_budget import RetryBounds, RetryBudget
from ._route_table import RouteTable
from ._server_speeds import ServerSpeeds
from ._speed_factors import SlowServer
from ._stream_origins import StreamBegan, StreamOrigin, StreamOrigins

__all__ = [
    "NO_DEMAND",
    "HoldingNotice",
    "Homes",
    "Regions",
    "RateLimitBounds",
    "RateLimitTerms",
    "RateLimits",
    "AnswerHead",
    "AnswerSink",
    "BackendAnswer",
    "BackendRegistry",
    "Backlog",
    "BackendCaller",
    "BackendRecord",
    "Catalogue",
    "Customer",
    "Demand",
    "EngineSpec",
    "FleetBacklog",
    "Framing",
    "Gateway",
    "GatewayParts",
    "GatewayRequest",
    "GenerationSize",
    "IngressLimits",
    "Load",
    "LoadView",
    "ModelDemand",
    "ModelSpec",
    "PooledRateLimit",
    "PromptPart",
    "RequestKind",
    "RetireNotice",
    "RetryBudget",
    "RetryBounds",
    "Route",
    "RouteTable",
    "ServerSpeeds",
    "Service",
    "SlowServer",
    "StreamBegan",
    "StreamOrigin",
    "StreamOrigins",
    "QueuedRequest",
    "RequestQueue",
    "WeightedService",
]
