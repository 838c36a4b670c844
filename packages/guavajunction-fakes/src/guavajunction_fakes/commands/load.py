"""Sends load to a running fleet and prints a report."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import uvloop
from absl import flags

from guavajunction_fakes._errors import FakesError
from guavajunction_fakes.fleet import read_roster
from guavajunction_fakes.load import LoadPlan, run_load

EXIT_GUARANTEE_VIOLATED = 1
EXIT_USAGE = 2
EXIT_FAILED = 3


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    flags.DEFINE_string(
        "roster", "var/fleet/fleet.json", "roster file of the fleet", flag_values=values
    )
    flags.DEFINE_bool("json", False, "print the report as JSON", flag_values=values)
    flags.DEFINE_multi_string(
        "over",
        [],
        "CUSTOMER=FACTOR, additional factor for the request rate of one customer",
        flag_values=values,
    )
    for name, default in LoadPlan()._asdict().items():
        if name == "over":
            continue
        is_count = isinstance(default, int)
        declare = flags.DEFINE_integer if is_count else flags.DEFINE_float
        declare(name, default, name.replace("_", " "), flag_values=values)


def run(values: flags.FlagValues) -> int:
    """Send the load and print the report.

    Returns:
        Exit status: 1 if a guarantee was violated, 2 for a wrong flag, 3 if the roster
        could not be read or the fleet is unreachable.
    """
    try:
        over = dict(_parse_factor(text) for text in values.over)
    except ValueError as exc:
        print(f"--over: {exc}", file=sys.stderr)
        return EXIT_USAGE
    fields = {n: values[n].value for n in LoadPlan._fields if n != "over"}
    plan = LoadPlan(**fields, over=over)
    try:
        report = uvloop.run(run_load(read_roster(Path(values.roster)), plan))
    except (FakesError, OSError) as exc:
        print(f"{type(exc).__name__}: {exc}", file=sys.stderr)
        return EXIT_FAILED
    print(json.dumps(report.as_dict()) if values.json else report.table())
    violated = any(report.as_dict()["promises"].values())
    return EXIT_GUARANTEE_VIOLATED if violated else 0


def _parse_factor(text: str) -> tuple[str, float]:
    name, _, factor = text.partition("=")
    return name, float(factor)
