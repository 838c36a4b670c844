"""Requests on their way from callers to backend servers and back."""

from __future__ import annotations

from ._allowances import RateLimitBounds, RateLimits
from ._backend import BackendRecord
from ._backend_book import BackendRegistry, HoldingNotice, RetireNotice
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
from ._gateway import Gateway, GatewayParts
from ._load_view import Load, LoadView
from ._model_demand import NO_DEMAND, Demand, ModelDemand
from ._pooled_allowance import PooledRateLimit, RateLimitTerms
from ._protocols import AnswerHead, AnswerSink, BackendAnswer, BackendCaller
from ._request import GatewayRequest, GenerationSize, PromptPart
from ._retry_allowance import RetryBounds, RetryBudget
from ._route_table import RouteTable
from ._waiting_room import QueuedRequest, RequestQueue

__all__ = [
    "NO_DEMAND",
    "HoldingNotice",
    "RateLimitBounds",
    "RateLimitTerms",
    "RateLimits",
    "AnswerHead",
    "AnswerSink",
    "BackendAnswer",
    "BackendRegistry",
    "BackendCaller",
    "BackendRecord",
    "Catalogue",
    "Customer",
    "Demand",
    "EngineSpec",
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
    "Service",
    "QueuedRequest",
    "RequestQueue",
    "WeightedService",
]
