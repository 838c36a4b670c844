"""Gateway-specific settings, read from an INI file; each setting is optional."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.settings import (
    Count,
    LoggingSettings,
    Seconds,
    read_sections,
)


class TimingTuning(NamedTuple):
    """`[timing]`: intervals of communication; must be equal on all instances."""

    heartbeat: Seconds = 0.15
    """Interval between the heartbeats of an instance."""
    backends_rest: Seconds = 0.4
    """Time for which changes of backend servers are batched before the next read.
    Must be well below the time within which a leaving backend server must be known."""


class DirectoryTuning(NamedTuple):
    """`[directory]`: the addresses that the directory returns to callers."""

    ttl: Seconds = 2.0
    """Time for which callers may cache an answer. Short, so that callers soon stop
    using a lost instance."""
    near_enough: Count = 4
    """Number of ready instances in a caller's data centre from which on the answer
    contains only a few instances of other data centres."""


class FleetTuning(NamedTuple):
    """`[fleet]`: topology of the links; must be equal on all instances."""

    full_mesh: Count = 20
    """Fleet size up to which each instance is linked to every other instance."""
    followers: Count = 32
    """Instances per hub in a data centre, in larger fleets."""


class Tuning(NamedTuple):
    """The complete settings file; each field is the section of the same name."""

    timing: TimingTuning = TimingTuning()
    directory: DirectoryTuning = DirectoryTuning()
    fleet: FleetTuning = FleetTuning()
    logging: LoggingSettings = LoggingSettings()


def read_tuning(path: str) -> Tuning:
    """Read and validate a file of gateway settings.

    Raises:
        SettingsInvalid: The file has faults; the message has a line for each.
    """
    return read_sections(path, Tuning)
