"""Runs a demo: a small fleet that serves requests and checks the answers."""

from __future__ import annotations

import sys
from pathlib import Path

import uvloop
from absl import flags

from guavajunction_fakes._errors import FakesError
from guavajunction_fakes.demo import Demo, PlatformDemo

EXIT_FAILED = 1

DEMOS = {"own": Demo, "platform": PlatformDemo}
"""Demos by profile: guavajunction's own interface, and the users' platform."""


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    flags.DEFINE_string(
        "var", "var/demo", "folder for settings, secrets and logs", flag_values=values
    )
    flags.DEFINE_enum(
        "profile", "own", sorted(DEMOS), "which demo to run", flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Run the demo.

    Returns:
        Exit status: 1 if a check failed or the demo could not run.
    """
    try:
        failed = uvloop.run(DEMOS[values.profile](Path(values.var)).run())
    except FakesError as exc:
        print(f"{type(exc).__name__}: {exc}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_FAILED if failed else 0
