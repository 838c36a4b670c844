"""Runs a fleet with all its stand-ins on this machine until it is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

import uvloop
from absl import flags

from guavajunction_fakes._errors import FakesError
from guavajunction_fakes._serving import stop_event
from guavajunction_fakes.fleet import PROFILES, Fleet, get_profile

EXIT_FAILED = 1


def define(values: flags.FlagValues) -> None:
    """Declare the command's flags."""
    names = sorted(PROFILES)
    flags.DEFINE_enum(
        "profile", "demo", names, "profile of the fleet", flag_values=values
    )
    flags.DEFINE_string(
        "var", "var/fleet", "folder for settings, secrets and logs", flag_values=values
    )
    flags.DEFINE_integer(
        "entries",
        0,
        "number of entry instances, 0 for the profile's number",
        flag_values=values,
    )
    flags.DEFINE_float(
        "ready_within",
        0.0,
        "seconds to wait until all models are ready, 0 for no wait",
        flag_values=values,
    )
    flags.DEFINE_float(
        "seconds", 0.0, "seconds to run, 0 to run until stopped", flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Run the fleet.

    Returns:
        Exit status: 1 if the fleet did not start or its models were not ready in time.
    """
    try:
        uvloop.run(_run(values))
    except FakesError as exc:
        print(f"{type(exc).__name__}: {exc}", file=sys.stderr)
        return EXIT_FAILED
    return 0


async def _run(values: flags.FlagValues) -> None:
    stopped = stop_event()
    fleet = Fleet(get_profile(values.profile), Path(values.var), entries=values.entries)
    async with fleet:
        print(f"instances: {' '.join(fleet.urls)}", flush=True)
        print(f"roster: {fleet.var / 'fleet.json'}", flush=True)
        if values.ready_within:
            seconds = await fleet.wait_until_ready(within=values.ready_within)
            print(f"all models ready after {seconds:.1f} s", flush=True)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), values.seconds or None)
