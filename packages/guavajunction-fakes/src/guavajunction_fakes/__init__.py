"""Development stand-ins for the systems around guavajunction.

Each stand-in is a class that a test runs in its own loop, ``async with
FakeTable().serve() as url``, and a subcommand of ``guavafakes`` that runs it as a
process. Nothing of the product imports this package.
"""

from __future__ import annotations

from ._faults import FaultBoard, Faults, FaultsInvalid
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
    "FaultBoard",
    "Faults",
    "FaultsInvalid",
    "Resident",
    "Run",
    "RunLog",
    "WeightStoreConfig",
    "expected_answer",
]
