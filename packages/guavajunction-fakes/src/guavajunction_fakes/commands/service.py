"""Runs stand-ins of a plain service's servers on consecutive ports."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._service import FakeService
from guavajunction_fakes._serving import define_port, serve_until_stopped


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    define_port(values)
    flags.DEFINE_integer("count", 1, "number of servers", flag_values=values)
    flags.DEFINE_float("latency", 0.02, "seconds that a call takes", flag_values=values)
    flags.DEFINE_integer(
        "slots", 32, "concurrent calls of each server", flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Serve until the process is stopped; return the exit status."""
    fakes = [
        FakeService(name=f"service-{i + 1}", latency=values.latency, slots=values.slots)
        for i in range(values.count)
    ]
    return serve_until_stopped(fakes, values.port)
