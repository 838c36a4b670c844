"""Runs the stand-in of the object store."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._objects import FakeObjects
from guavajunction_fakes._serving import define_port, serve_until_stopped


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    define_port(values)


def run(values: flags.FlagValues) -> int:
    """Serve until the process is stopped; return the exit status."""
    return serve_until_stopped([FakeObjects()], values.port)
