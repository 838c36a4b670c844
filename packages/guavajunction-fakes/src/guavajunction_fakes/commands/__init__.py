"""The commands of ``guavafakes``, one module each.

A command's module declares its flags in ``define`` and runs in ``run``, which returns
the exit status. It is imported only when it is named, since most processes of a fleet
need little.
"""

from __future__ import annotations

import importlib
from types import ModuleType

SUMMARIES = {
    "table": "table service",
    "objects": "object store",
    "weights": "weight store",
    "instances": "instance list",
    "engine": "one model engine",
    "engines": "several model engines in one process",
    "service": "servers of a plain service",
    "load": "callers of a running fleet",
    "fleet": "a whole fleet on this machine",
    "soak": "instances under random faults, and what was promised",
    "demo": "a small fleet that serves requests of each kind and stops",
}
"""What each command runs, by name."""


def find_command(name: str) -> ModuleType | None:
    """Return the module of a command, or None if there is none of that name."""
    if name not in SUMMARIES:
        return None
    return importlib.import_module(f"{__name__}.{name}")
