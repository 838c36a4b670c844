"""Calls a running fleet and prints what its callers saw."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import uvloop
from absl import flags

from ..fleet import read_roster
from ..load import LoadPlan, run_load

EXIT_PROMISE_BROKEN = 1


def define(values: flags.FlagValues) -> None:
    """Declare the flags."""
    flags.DEFINE_string(
        "roster", "var/fleet/fleet.json", "file of the fleet", flag_values=values
    )
    flags.DEFINE_bool("json", False, "print JSON", flag_values=values)
    flags.DEFINE_multi_string(
        "over", [], "CUSTOMER=FACTOR that multiplies its rate", flag_values=values
    )
    for name, default in LoadPlan()._asdict().items():
        if name == "over":
            continue
        is_count = isinstance(default, int)
        declare = flags.DEFINE_integer if is_count else flags.DEFINE_float
        declare(name, default, name.replace("_", " "), flag_values=values)


def run(values: flags.FlagValues) -> int:
    """Send the load; the exit status is 1 if a promise was broken."""
    try:
        over = dict(_factor(text) for text in values.over)
    except ValueError as exc:
        print(f"--over: {exc}", file=sys.stderr)
        return 2
    fields = {n: values[n].value for n in LoadPlan._fields if n != "over"}
    plan = LoadPlan(**fields, over=over)
    report = uvloop.run(run_load(read_roster(Path(values.roster)), plan))
    print(json.dumps(report.as_dict()) if values.json else report.table())
    broken = any(report.as_dict()["promises"].values())
    return EXIT_PROMISE_BROKEN if broken else 0


def _factor(text: str) -> tuple[str, float]:
    name, _, factor = text.partition("=")
    return name, float(factor)
