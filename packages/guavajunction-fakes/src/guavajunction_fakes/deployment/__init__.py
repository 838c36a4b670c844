"""Stand-ins for the users' platform, and a small local deployment on it."""

from __future__ import annotations

from ._local_deployment import LinkProvider, LocalDeployment
from ._operator import BOOKING_SERVICE, ENGINE_SERVICE, Operator
from ._repeats import AnswerRepeat
from ._runner import CrashingRequest, FakeRunner, Run, RunnerSpec
from ._store import FakeStore
from ._wire import HEADERS, HOST, Headers, OrderBody

__all__ = [
    "BOOKING_SERVICE",
    "ENGINE_SERVICE",
    "HEADERS",
    "HOST",
    "AnswerRepeat",
    "CrashingRequest",
    "FakeRunner",
    "FakeStore",
    "Headers",
    "LinkProvider",
    "LocalDeployment",
    "Operator",
    "OrderBody",
    "Run",
    "RunnerSpec",
]
