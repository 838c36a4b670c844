"""Stand-ins of the users' platform, and a small deployment on it."""

from __future__ import annotations

from ._local_deployment import LocalDeployment
from ._operator import Operator
from ._runner import FakeRunner, RunnerSpec
from ._store import FakeStore
from ._wire import HEADERS, Headers

__all__ = [
    "HEADERS",
    "FakeRunner",
    "FakeStore",
    "Headers",
    "LocalDeployment",
    "Operator",
    "RunnerSpec",
]
