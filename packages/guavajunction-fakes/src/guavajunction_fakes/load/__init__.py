"""Load tool: generates traffic for a fleet, checks every answer, reports figures."""

from __future__ import annotations

from ._arrivals import Arrival, LoadPlan, arrivals
from ._bucket import ClientTokenBucket
from ._outcome import Outcome, Verdict
from ._report import LoadReport
from ._runner import run_load

__all__ = [
    "Arrival",
    "LoadPlan",
    "LoadReport",
    "Outcome",
    "ClientTokenBucket",
    "Verdict",
    "arrivals",
    "run_load",
]
