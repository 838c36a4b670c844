"""Runs stand-ins of model engines in one process, on consecutive ports."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from absl import flags

from guavajunction_fakes._serving import define_port, serve_until_stopped
from guavajunction_fakes.engine import EngineConfig, FakeEngine, Resident


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    define_port(values)
    flags.DEFINE_integer(
        "count", 1, "number of engines, without --config", flag_values=values
    )
    flags.DEFINE_string(
        "config", "", "JSON file with a list of engine settings", flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Serve until the process is stopped; return the exit status."""
    configs = (
        _read_configs(Path(values.config))
        if values.config
        else _default_configs(values.count)
    )
    return serve_until_stopped([FakeEngine(cfg) for cfg in configs], values.port)


def _default_configs(count: int) -> list[EngineConfig]:
    return [EngineConfig(name=f"engine-{number + 1}") for number in range(count)]


def _read_configs(path: Path) -> list[EngineConfig]:
    return [_parse_config(entry) for entry in json.loads(path.read_text())]


def _parse_config(entry: dict[str, Any]) -> EngineConfig:
    residents = tuple(Resident(*resident) for resident in entry.get("residents", ()))
    return EngineConfig(**{**entry, "residents": residents})
