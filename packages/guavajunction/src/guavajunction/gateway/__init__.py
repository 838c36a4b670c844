"""Requests on their way from callers to backend servers and back."""

from __future__ import annotations

from ._allowances import AllowanceBounds, Allowances
from ._backend import BackendRecord
from ._backend_book import BackendBook, HoldingNotice, RetireNotice
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
from ._pooled_allowance import AllowanceTerms, PooledAllowance
from ._protocols import AnswerHead, AnswerSink, BackendAnswer, BackendCaller
from ._request import GatewayRequest, GenerationSize, PromptPart
from ._retry_allowance import RetryAllowance, RetryBounds
from ._route_table import RouteTable
from ._waiting_room import Ticket, WaitingRoom

__all__ = [
    "NO_DEMAND",
    "HoldingNotice",
    "AllowanceBounds",
    "AllowanceTerms",
    "Allowances",
    "AnswerHead",
    "AnswerSink",
    "BackendAnswer",
    "BackendBook",
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
    "PooledAllowance",
    "PromptPart",
    "RequestKind",
    "RetireNotice",
    "RetryAllowance",
    "RetryBounds",
    "Route",
    "RouteTable",
    "Service",
    "Ticket",
    "WaitingRoom",
    "WeightedService",
]
