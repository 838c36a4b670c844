"""Randomized soak test: runs real instances under faults and checks guarantees."""

from __future__ import annotations

from ._fault_injector import CutKind, LinkProxies
from ._guarantees import find_violations
from ._history import Call, Change, Crash, EndedInstance, History, LimitedRunner
from ._link_proxy import LinkProxy
from ._loyal_callers import LoyalCallers
from ._plan import (
    CUT_KINDS,
    REPEAT_KINDS,
    Fault,
    FaultKind,
    draw_conditions,
    draw_cuts,
    draw_plan,
    draw_repeats,
    draw_returns,
    reports_lost_at,
)
from ._soak import Soak, SoakResult

__all__ = [
    "CUT_KINDS",
    "Call",
    "Change",
    "Crash",
    "CutKind",
    "EndedInstance",
    "Fault",
    "FaultKind",
    "History",
    "LimitedRunner",
    "LinkProxies",
    "LinkProxy",
    "LoyalCallers",
    "REPEAT_KINDS",
    "Soak",
    "SoakResult",
    "find_violations",
    "draw_conditions",
    "draw_cuts",
    "draw_plan",
    "draw_repeats",
    "draw_returns",
    "reports_lost_at",
]
