"""A randomized soak: real instances under faults, promises checked while they run."""

from __future__ import annotations

from ._guarantees import broken_promises
from ._history import Call, Change, History
from ._link_proxy import LinkProxy
from ._plan import Fault, FaultKind, draw_plan
from ._soak import Soak, SoakResult

__all__ = [
    "Call",
    "Change",
    "Fault",
    "FaultKind",
    "History",
    "LinkProxy",
    "Soak",
    "SoakResult",
    "broken_promises",
    "draw_plan",
]
