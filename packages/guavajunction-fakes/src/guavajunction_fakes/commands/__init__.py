"""Commands of ``guavafakes``, one module for each command.

A command module declares its flags in ``define``. Its ``run`` runs the command and
returns the exit status. A module is imported only to run its command, since most
processes of a fleet need few imports.
"""

from __future__ import annotations

import importlib
from types import ModuleType

SUMMARIES = {
    "table": "table service",
    "objects": "object store",
    "weights": "weight store",
    "instances": "instance list",
    "engine": "model engine",
    "engines": "model engines in one process",
    "service": "servers of a plain service",
    "load": "load test of a running fleet",
    "fleet": "fleet with all its stand-ins on this machine",
    "soak": "instances under random faults, with their guarantees checked",
    "demo": "small fleet that serves requests of each kind, then stops",
}
"""Short description of each command, by command name."""


def find_command(name: str) -> ModuleType | None:
    """Return the module of a command, or None if the name is unknown."""
    if name not in SUMMARIES:
        return None
    return importlib.import_module(f"{__name__}.{name}")
