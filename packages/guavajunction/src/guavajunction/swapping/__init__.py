"""Which backend server holds which models and adapters, changed by orders."""

from __future__ import annotations

from ._adapter_demand import AdapterPlace, choose_place
from ._author import LEASE_NAME, OrderAuthor
from ._ledger import BackendLedger
from ._load_ceiling import LoadCeiling
from ._messages import AdapterReady, AdapterWanted, AuthorBeat
from ._order_desk import OrderDesk
from ._protocols import EngineReport, Order, OrderKind, OrderOutcome, OrderSender
from ._rare_models import Holding, Move, Situation, copies_needed, plan
from ._term import Term, TermParts

__all__ = [
    "LEASE_NAME",
    "AdapterPlace",
    "AdapterReady",
    "AdapterWanted",
    "AuthorBeat",
    "BackendLedger",
    "EngineReport",
    "Holding",
    "LoadCeiling",
    "Move",
    "Order",
    "OrderAuthor",
    "OrderDesk",
    "OrderKind",
    "OrderOutcome",
    "OrderSender",
    "Situation",
    "Term",
    "TermParts",
    "choose_place",
    "copies_needed",
    "plan",
]
