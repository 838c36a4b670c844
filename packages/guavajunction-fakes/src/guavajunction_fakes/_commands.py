"""The commands of ``guavafakes``, each with its flags."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from absl import flags

from ._instances import FakeInstances
from ._objects import FakeObjects
from ._server import FakeServer
from ._service import FakeService
from ._serving import serve_until_stopped
from ._table import FakeTable
from ._weights import FakeWeights, WeightStoreConfig
from .engine import EngineConfig, FakeEngine, Resident


class Command(NamedTuple):
    """One command."""

    summary: str
    define: Callable[[flags.FlagValues], None]
    """Declares its flags."""
    run: Callable[[flags.FlagValues], int]
    """Runs it and returns the exit status."""


def _define_port(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("port", 0, "TCP port, 0 for any", flag_values=values)


def _define_table(values: flags.FlagValues) -> None:
    _define_port(values)
    inf = float("inf")
    flags.DEFINE_string("table", "guavajunction", "table name", flag_values=values)
    flags.DEFINE_float("writes", inf, "writes a second", flag_values=values)
    flags.DEFINE_float("reads", inf, "reads a second", flag_values=values)


def _run_table(values: flags.FlagValues) -> int:
    fake = FakeTable(
        table=values.table,
        writes_per_second=values.writes,
        reads_per_second=values.reads,
    )
    return _serve(fake, values)


def _run_objects(values: flags.FlagValues) -> int:
    return _serve(FakeObjects(), values)


def _define_weights(values: flags.FlagValues) -> None:
    _define_port(values)
    cfg = WeightStoreConfig()
    for name, default in cfg._asdict().items():
        define = flags.DEFINE_integer if name.endswith(("once", "knee")) else None
        (define or flags.DEFINE_float)(name, default, name, flag_values=values)


def _run_weights(values: flags.FlagValues) -> int:
    fields = {name: values[name].value for name in WeightStoreConfig._fields}
    return _serve(FakeWeights(WeightStoreConfig(**fields)), values)


def _define_instances(values: flags.FlagValues) -> None:
    _define_port(values)
    flags.DEFINE_float("lag", 2.0, "seconds that readers lag", flag_values=values)


def _run_instances(values: flags.FlagValues) -> int:
    return _serve(FakeInstances(lag=values.lag), values)


def _define_service(values: flags.FlagValues) -> None:
    _define_port(values)
    flags.DEFINE_integer("count", 1, "services on ports from PORT", flag_values=values)
    flags.DEFINE_float("latency", 0.02, "seconds of a call", flag_values=values)
    flags.DEFINE_integer("slots", 32, "calls at once", flag_values=values)


def _run_service(values: flags.FlagValues) -> int:
    fakes = [
        FakeService(name=f"service-{i + 1}", latency=values.latency, slots=values.slots)
        for i in range(values.count)
    ]
    return _serve_all(fakes, values.port)


def _define_engines(values: flags.FlagValues) -> None:
    _define_port(values)
    flags.DEFINE_integer("count", 1, "engines on ports from PORT", flag_values=values)
    flags.DEFINE_string(
        "config", "", "JSON file: a list of engine settings", flag_values=values
    )


def _run_engines(values: flags.FlagValues) -> int:
    if values.config:
        cfgs = read_engine_configs(Path(values.config))
    else:
        names = [f"engine-{i + 1}" for i in range(values.count)]
        cfgs = [EngineConfig(name=name) for name in names]
    return _serve_all([FakeEngine(cfg) for cfg in cfgs], values.port)


def read_engine_configs(path: Path) -> list[EngineConfig]:
    """Read engine settings from a JSON file that holds a list of them."""
    return [_engine_config(entry) for entry in json.loads(path.read_text())]


def _engine_config(entry: dict[str, Any]) -> EngineConfig:
    residents = tuple(Resident(*resident) for resident in entry.get("residents", ()))
    return EngineConfig(**{**entry, "residents": residents})


def _serve(fake: FakeServer, values: flags.FlagValues) -> int:
    return _serve_all([fake], values.port)


def _serve_all(fakes: list[Any], port: int) -> int:
    ports = [port + i if port else 0 for i in range(len(fakes))]
    serve_until_stopped(list(zip(fakes, ports, strict=True)))
    return 0


COMMANDS: dict[str, Command] = {
    "table": Command("table service", _define_table, _run_table),
    "objects": Command("object store", _define_port, _run_objects),
    "weights": Command("weight store", _define_weights, _run_weights),
    "instances": Command("instance list", _define_instances, _run_instances),
    "engine": Command("one model engine", _define_engines, _run_engines),
    "engines": Command("several model engines", _define_engines, _run_engines),
    "service": Command("plain service", _define_service, _run_service),
}
"""Every command by name."""
