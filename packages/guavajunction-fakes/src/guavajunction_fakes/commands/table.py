"""Runs the table service."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._serving import define_port, serve_until_stopped
from guavajunction_fakes._table import FakeTable


def define(values: flags.FlagValues) -> None:
    """Declare the flags."""
    inf = float("inf")
    define_port(values)
    flags.DEFINE_string("table", "guavajunction", "table name", flag_values=values)
    flags.DEFINE_float("writes", inf, "writes a second", flag_values=values)
    flags.DEFINE_float("reads", inf, "reads a second", flag_values=values)


def run(values: flags.FlagValues) -> int:
    """Serve until stopped."""
    fake = FakeTable(
        table=values.table,
        writes_per_second=values.writes,
        reads_per_second=values.reads,
    )
    return serve_until_stopped([fake], values.port)
