"""Development stand-ins for the systems around guavajunction.

Each stand-in is a class that a test runs in its own event loop with ``async with
FakeTable().serve() as url``. A command of ``guavafakes`` runs it as a process. The
product never imports this package.
"""

from __future__ import annotations

from ._errors import FakesError, FaultsInvalid
from ._faults import FaultController, Faults
from ._instances import FakeInstances
from ._objects import FakeObjects
from ._run_log import Run, RunLog
from ._server import FakeServer
from ._service import FakeService
from ._table import FakeTable
from ._weights import FakeWeights, WeightStoreConfig
from .engine import EngineConfig, FakeEngine, Resident, expected_answer

__all__ = [
    "EngineConfig",
    "FakeEngine",
    "FakeInstances",
    "FakeObjects",
    "FakeServer",
    "FakeService",
    "FakeTable",
    "FakeWeights",
    "FakesError",
    "FaultController",
    "Faults",
    "FaultsInvalid",
    "Resident",
    "Run",
    "RunLog",
    "WeightStoreConfig",
    "expected_answer",
]
