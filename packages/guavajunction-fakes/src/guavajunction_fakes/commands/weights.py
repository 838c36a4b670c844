"""Runs the stand-in of the weight store; each of its limits is a flag."""

from __future__ import annotations

from absl import flags

from guavajunction_fakes._serving import define_port, serve_until_stopped
from guavajunction_fakes._weights import FakeWeights, WeightStoreConfig


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    define_port(values)
    for name, default in WeightStoreConfig()._asdict().items():
        is_count = isinstance(default, int)
        declare = flags.DEFINE_integer if is_count else flags.DEFINE_float
        declare(name, default, name.replace("_", " "), flag_values=values)


def run(values: flags.FlagValues) -> int:
    """Serve until the process is stopped; return the exit status."""
    limits = {name: values[name].value for name in WeightStoreConfig._fields}
    return serve_until_stopped([FakeWeights(WeightStoreConfig(**limits))], values.port)
