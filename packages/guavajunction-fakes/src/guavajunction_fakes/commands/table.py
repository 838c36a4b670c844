"""Runs the stand-in of the table service."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._serving import define_port, serve_until_stopped
from guavajunction_fakes._table import FakeTable


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    inf = float("inf")
    define_port(values)
    flags.DEFINE_string(
        "table", "guavajunction", "name of the table", flag_values=values
    )
    flags.DEFINE_float("writes", inf, "maximum writes per second", flag_values=values)
    flags.DEFINE_float("reads", inf, "maximum reads per second", flag_values=values)


def run(values: flags.FlagValues) -> int:
    """Serve until the process is stopped; return the exit status."""
    fake = FakeTable(
        table=values.table,
        writes_per_second=values.writes,
        reads_per_second=values.reads,
    )
    return serve_until_stopped([fake], values.port)
