"""Gateway-specific settings, read from an INI file; each setting is optional."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from guavajunction.settings import (
    Count,
    LoggingSettings,
    Seconds,
    parse_choice,
    read_sections,
)


class TimingTuning(NamedTuple):
    """`[timing]`: intervals in seconds; must be equal on all instances."""

    heartbeat: Seconds = 0.15
    """Time between two heartbeats of an instance."""
    backends_rest: Seconds = 0.4
    """Pause after each read of changed backend servers, in which further changes
    accumulate; shorter on the order leader. Must be well below the time within which
    all instances must know that a backend server is leaving."""


class DirectoryTuning(NamedTuple):
    """`[directory]`: the addresses that the directory returns to callers."""

    ttl: Seconds = 2.0
    """Time, in seconds, for which callers may cache a response. Short, so that callers
    soon stop using a failed instance."""
    near_enough: Count = 4
    """Minimum number of ready instances in the caller's data centre for a response with
    only a few instances of other data centres."""


class FleetTuning(NamedTuple):
    """`[fleet]`: topology of the links; must be equal on all instances."""

    full_mesh: Count = 20
    """Maximum number of instances for which each is linked to every other. Larger
    fleets use hubs."""
    followers: Count = 32
    """Number of instances in a data centre for each hub, in fleets that use hubs."""
    readers: Annotated[str, parse_choice("one", "all")] = "one"
    """Whether `one` of the hubs reads the store and relays its rows to the others, or
    `all` hubs read it, which costs as many times the calls."""


class AdmissionTuning(NamedTuple):
    """`[admission]`: which requests are sent first when slots are scarce."""

    share_capacity: Annotated[str, parse_choice("never", "large", "always")] = "never"
    """Whether scarce slots are shared among the instances by their waiting requests:
    `never`, in `large` fleets, which use hubs, or `always`. Must be equal on all
    instances."""


class RoutingTuning(NamedTuple):
    """`[routing]`: the choice among backend servers."""

    server_speeds: Annotated[str, parse_choice("fixed", "learned")] = "fixed"
    """Whether the speeds of services and backend servers are `learned` from answers, or
    `fixed` figures hold for all. Must be equal on all instances."""


class IntakeTuning(NamedTuple):
    """`[intake]`: how backend servers take up work; must be equal on all instances."""

    pace: Annotated[str, parse_choice("on", "off")] = "off"
    """Whether a backend server that starts or recovers gets requests at a pace that
    follows its answers."""


class Tuning(NamedTuple):
    """The complete settings file; each field is the section of the same name."""

    timing: TimingTuning = TimingTuning()
    directory: DirectoryTuning = DirectoryTuning()
    fleet: FleetTuning = FleetTuning()
    admission: AdmissionTuning = AdmissionTuning()
    routing: RoutingTuning = RoutingTuning()
    intake: IntakeTuning = IntakeTuning()
    logging: LoggingSettings = LoggingSettings()


def read_tuning(path: str) -> Tuning:
    """Read and validate a file of gateway settings.

    Raises:
        SettingsInvalid: The file has faults; the message has a line for each.
    """
    return read_sections(path, Tuning)
