"""Chooses backend servers for requests, queues requests and relays answers."""

from __future__ import annotations

from ._answer import AnswerSink, AnswerSummary, AnswerTimes
from ._baseline_selectors import least_loaded_selector, random_selector
from ._contention import ContentionShare
from ._decision_log import DecisionLog
from ._demand_meter import DemandMeter, DemandRate
from ._dispatcher import Dispatcher, Grant
from ._engine_call import EngineRequest, engine_session
from ._fair_queue import FairQueue, FifoQueue
from ._inference_router import InferenceRouter
from ._load_tracker import LoadTracker
from ._model import (
    BATCH,
    LIVE,
    Candidate,
    Choice,
    Replicas,
    ReplicaState,
    RoutedRequest,
)
from ._retry_budget import RetryBudget
from ._selector import AffinitySelector, Selector
from ._service_router import (
    ServiceAnswer,
    ServiceReplicas,
    ServiceRequest,
    ServiceRouter,
)
from ._single_send import single_send_session

__all__ = [
    "AffinitySelector",
    "AnswerSink",
    "AnswerSummary",
    "AnswerTimes",
    "BATCH",
    "Candidate",
    "Choice",
    "ContentionShare",
    "DecisionLog",
    "DemandMeter",
    "DemandRate",
    "Dispatcher",
    "EngineRequest",
    "FairQueue",
    "FifoQueue",
    "Grant",
    "InferenceRouter",
    "LIVE",
    "LoadTracker",
    "ReplicaState",
    "Replicas",
    "RetryBudget",
    "RoutedRequest",
    "Selector",
    "ServiceAnswer",
    "ServiceReplicas",
    "ServiceRequest",
    "ServiceRouter",
    "engine_session",
    "least_loaded_selector",
    "random_selector",
    "single_send_session",
]
