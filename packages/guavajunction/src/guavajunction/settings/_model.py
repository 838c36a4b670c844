"""The sections of a settings file and the form of each value.

Each field's annotation names its parser; a field with a default may be left out.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

from . import _values as values

Text = Annotated[str, values.parse_text]
Address = Annotated[str, values.parse_address]
Port = Annotated[int, values.parse_port]
Count = Annotated[int, values.parse_count]
Seconds = Annotated[float, values.parse_seconds]
Url = Annotated[str, values.parse_url]
SecretFile = Annotated[bytes, values.parse_secret_file]
KeyPairFile = Annotated[tuple[bytes, bytes], values.parse_key_pair_file]


class InstanceSettings(NamedTuple):
    """`[instance]`: who and where this instance is."""

    name: Text
    data_centre: Text
    address: Address
    http_port: Port
    """Callers and operators connect here."""
    peer_port: Port
    """Other instances connect here."""


class PlatformSettings(NamedTuple):
    """`[platform]`: the services that everything lasting is kept in."""

    table_url: Url
    object_url: Url
    instances_url: Url
    table_name: Text = "guavajunction"
    bucket: Text = "guavajunction"
    timeout: Seconds = 2.0
    """Seconds for one call."""


class SecretSettings(NamedTuple):
    """`[secrets]`: files whose content never appears in a log."""

    peer_keys_file: KeyPairFile
    """CURVE keys shared by all instances of the fleet."""
    pepper_file: SecretFile
    """Key of the keyed hash under which callers' keys are kept."""
    operator_token_file: SecretFile
    """Token that operators present."""


class TimingSettings(NamedTuple):
    """`[timing]`: all in seconds; every instance of a fleet must have the same."""

    heartbeat: Seconds = 0.5
    """Between two heartbeats to a peer."""
    lease: Seconds = 6.0
    """How long a lease lasts without renewal."""
    drift_margin: Seconds = 1.0
    """Added by observers of a lease for clocks that drift."""
    staleness: Seconds = 2.0
    """Age of the last confirmation up to which keys are trusted."""
    configuration_poll: Seconds = 0.8
    """Between two reads of the accepted version."""
    load_poll: Seconds = 0.5
    """Between two reads of a backend server's load."""
    directory_ttl: Seconds = 2.0
    """How long callers may keep the directory's answer."""
    drain: Seconds = 900.0
    """Longest wait for requests in flight in a planned stop; longer ones are cut."""


class ServingSettings(NamedTuple):
    """`[serving]`: bounds on what callers may send and wait for."""

    max_body_bytes: Count = 1_048_576
    body_timeout: Seconds = 10.0
    """Seconds in which a request's body must arrive."""
    service_timeout: Seconds = 30.0
    """Seconds in which a plain service must answer."""
    default_max_tokens: Count = 256
    """Reserved output of a request that names no bound."""
    max_queue: Count = 1_024
    """Requests that may wait in this instance."""


class PlacementSettings(NamedTuple):
    """`[placement]`: bounds on orders, fleet-wide, the same on every instance."""

    loads_per_second: Seconds = 1.5
    """Base models fetched from the weight store a second."""
    loads_at_once: Count = 10
    """Base models in flight from the weight store."""
    adapter_loads_at_once: Count = 90
    """Adapters in flight from the weight store."""
    plan_every: Seconds = 1.0
    """Seconds between two planning rounds."""


class PolicySettings(NamedTuple):
    """`[policy]`: the policies; all but the defaults serve as baselines.

    Every instance of a fleet must have the same.
    """

    routing: Annotated[
        str, values.parse_choice("affinity", "least_loaded", "random")
    ] = "affinity"
    queue: Annotated[str, values.parse_choice("fair", "fifo")] = "fair"
    placement: Annotated[str, values.parse_choice("planned", "static")] = "planned"
    shares: Annotated[str, values.parse_choice("moving", "equal")] = "moving"


class LoggingSettings(NamedTuple):
    """`[logging]`: where log lines go."""

    destination: Text = "stdout"
    """`stdout`, `stderr` or a file name."""


class Settings(NamedTuple):
    """A whole settings file; each field is a section of that name."""

    instance: InstanceSettings
    platform: PlatformSettings
    secrets: SecretSettings
    timing: TimingSettings
    serving: ServingSettings
    placement: PlacementSettings
    policy: PolicySettings
    logging: LoggingSettings
