"""Plans which backend server holds which models and adapters, and orders changes."""

from __future__ import annotations

from ._adapter_placement import AdapterPlacement, choose_placement
from ._leader import LEASE_NAME, OrderLeader
from ._ledger import BackendLedger
from ._load_rate_limiter import LoadRateLimiter
from ._messages import AdapterReady, AdapterWanted, LeaderStatus
from ._order_manager import OrderManager
from ._planner import Holding, Move, PlannerInput, plan, replicas_needed
from ._protocols import EngineReport, Order, OrderKind, OrderOutcome, OrderSender
from ._term import Term, TermParts

__all__ = [
    "LEASE_NAME",
    "AdapterPlacement",
    "AdapterReady",
    "AdapterWanted",
    "LeaderStatus",
    "BackendLedger",
    "EngineReport",
    "Holding",
    "LoadRateLimiter",
    "Move",
    "Order",
    "OrderLeader",
    "OrderManager",
    "OrderKind",
    "OrderOutcome",
    "OrderSender",
    "PlannerInput",
    "Term",
    "TermParts",
    "choose_placement",
    "replicas_needed",
    "plan",
]
