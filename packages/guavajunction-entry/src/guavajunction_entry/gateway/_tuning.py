"""Settings of the gateway's own, read from an INI file; all may be left out."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.settings import (
    Count,
    LoggingSettings,
    Seconds,
    read_sections,
)


class TimingTuning(NamedTuple):
    """`[timing]`: how often instances talk; the same on every instance."""

    heartbeat: Seconds = 0.15
    """Between two heartbeats of an instance."""
    backends_rest: Seconds = 0.4
    """In which changes of backend servers gather before the next read; well below
    the time in which a leaving one must be known."""


class DirectoryTuning(NamedTuple):
    """`[directory]`: what callers are told of where to connect."""

    ttl: Seconds = 2.0
    """How long callers may keep an answer; short, so that they leave a lost instance
    soon."""
    near_enough: Count = 4
    """Ready instances of a caller's data centre from which on it is told of few
    others."""


class FleetTuning(NamedTuple):
    """`[fleet]`: the shape of the links; the same on every instance."""

    full_mesh: Count = 20
    """Instances up to which each is linked to every other."""
    followers: Count = 32
    """Instances of a data centre for each of its hubs, in larger fleets."""


class Tuning(NamedTuple):
    """A whole file; each field is a section of that name."""

    timing: TimingTuning = TimingTuning()
    directory: DirectoryTuning = DirectoryTuning()
    fleet: FleetTuning = FleetTuning()
    logging: LoggingSettings = LoggingSettings()


def read_tuning(path: str) -> Tuning:
    """Read and check a file of gateway settings.

    Raises:
        SettingsInvalid: One or more faults, a line for each.
    """
    return read_sections(path, Tuning)
