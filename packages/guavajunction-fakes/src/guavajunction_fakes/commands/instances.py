"""Runs the stand-in of the platform's instance list."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._instances import FakeInstances
from guavajunction_fakes._serving import define_port, serve_until_stopped


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    define_port(values)
    flags.DEFINE_float(
        "lag",
        2.0,
        "seconds by which the list that readers receive is stale",
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Serve until the process is stopped; return the exit status."""
    return serve_until_stopped([FakeInstances(lag=values.lag)], values.port)
