"""Runs the instance list."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._instances import FakeInstances
from guavajunction_fakes._serving import define_port, serve_until_stopped


def define(values: flags.FlagValues) -> None:
    """Declare the flags."""
    define_port(values)
    flags.DEFINE_float("lag", 2.0, "seconds that readers lag", flag_values=values)


def run(values: flags.FlagValues) -> int:
    """Serve until stopped."""
    return serve_until_stopped([FakeInstances(lag=values.lag)], values.port)
