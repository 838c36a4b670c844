"""Runs real instances under random faults and checks their guarantees."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import uvloop
from absl import flags

from guavajunction_fakes._errors import FakesError
from guavajunction_fakes.soak import Soak

EXIT_FAILED = 1
EXIT_USAGE = 2


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    flags.DEFINE_string(
        "var", "var/soak", "folder for settings files and logs", flag_values=values
    )
    flags.DEFINE_string(
        "seeds", "1", "one seed, or a range FIRST-LAST", flag_values=values
    )
    flags.DEFINE_float(
        "seconds", 8.0, "seconds with faults for each seed", flag_values=values
    )
    flags.DEFINE_integer(
        "faults", 6, "number of faults for each seed", flag_values=values
    )
    flags.DEFINE_integer("instances", 4, "number of instances", flag_values=values)
    flags.DEFINE_bool(
        "hubs",
        False,
        "whether instances follow hubs, as in a large fleet",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "port",
        18300,
        "first of five consecutive ports, the same at each instance's own address",
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Run each seed; the logs of seeds without violations are deleted.

    Returns:
        Exit status: 1 if a seed had a violation or could not run, 2 for a wrong flag.
    """
    first, _, last = values.seeds.partition("-")
    if not first.isdecimal() or (last and not last.isdecimal()):
        print(
            f"--seeds: {values.seeds!r} is neither a seed like 7 nor a range like 1-50",
            file=sys.stderr,
        )
        return EXIT_USAGE
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        var = Path(values.var) / str(seed)
        soak = Soak(
            var,
            seed,
            seconds=values.seconds,
            faults=values.faults,
            instances=values.instances,
            hubs=values.hubs,
        )
        try:
            result = uvloop.run(soak.run([values.port + n for n in range(4)]))
        except FakesError as exc:
            print(f"seed {seed}: {type(exc).__name__}: {exc}", file=sys.stderr)
            failed.append(seed)
            continue
        print(result, flush=True)
        if result.violations:
            failed.append(seed)
            for line in (*map(str, result.plan), *result.violations):
                print(f"  {line}", flush=True)
        else:
            shutil.rmtree(var, ignore_errors=True)
    print(f"{len(failed)} failed seeds: {failed}")
    return EXIT_FAILED if failed else 0
