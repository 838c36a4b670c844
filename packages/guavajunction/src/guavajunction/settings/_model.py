"""The sections of a settings file and the parser of each value.

The annotation of each field names its parser. A field with a default is optional.
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
    """`[instance]`: name, location and ports of this instance."""

    name: Text
    data_centre: Text
    address: Address
    http_port: Port
    """Port for HTTP requests of callers and operators."""
    peer_port: Port
    """Port for connections of other instances."""


class PlatformSettings(NamedTuple):
    """`[platform]`: services of the platform that store all durable data."""

    table_url: Url
    object_url: Url
    instances_url: Url
    table_name: Text = "guavajunction"
    bucket: Text = "guavajunction"
    timeout: Seconds = 2.0
    """Timeout of one call, in seconds."""


class SecretSettings(NamedTuple):
    """`[secrets]`: files with secrets; their content is never logged."""

    peer_keys_file: KeyPairFile
    """CURVE keys shared by all instances of the fleet."""
    pepper_file: SecretFile
    """HMAC key for the digests of issued keys."""
    operator_token_file: SecretFile
    """Bearer token of operators."""


class TimingSettings(NamedTuple):
    """`[timing]`: durations in seconds, equal on every instance of a fleet."""

    heartbeat: Seconds = 0.5
    """Time between two heartbeats to a peer."""
    lease: Seconds = 6.0
    """Duration of a lease without renewal."""
    drift_margin: Seconds = 1.0
    """Added to the duration of a lease by its observers, to allow for clock drift."""
    staleness: Seconds = 2.0
    """Largest age of the last confirmation that the version in force is the accepted
    one, at which keys are still accepted."""
    configuration_poll: Seconds = 0.8
    """Mean time between two reads of the accepted version."""
    load_poll: Seconds = 0.5
    """Time between two reads of the load of a backend server."""
    directory_ttl: Seconds = 2.0
    """Time that callers may cache a response of the directory."""
    drain: Seconds = 900.0
    """Longest wait for requests in flight at a planned stop; then they are aborted."""


class ServingSettings(NamedTuple):
    """`[serving]`: limits of requests and their queue."""

    max_body_bytes: Count = 1_048_576
    body_timeout: Seconds = 10.0
    """Timeout of reading the body of a request, in seconds."""
    service_timeout: Seconds = 30.0
    """Timeout of a response of a plain service, in seconds."""
    default_max_tokens: Count = 256
    """Output tokens reserved for a request that sets no limit."""
    max_queue: Count = 1_024
    """Largest number of requests queued on this instance."""


class PlacementSettings(NamedTuple):
    """`[placement]`: fleet-wide limits of orders, equal on every instance."""

    loads_per_second: Seconds = 1.5
    """Base models fetched from the weight store per second."""
    loads_at_once: Count = 10
    """Base models fetched from the weight store concurrently."""
    adapter_loads_at_once: Count = 90
    """Adapters fetched from the weight store concurrently."""
    plan_every: Seconds = 1.0
    """Seconds between two planning rounds."""


class PolicySettings(NamedTuple):
    """`[policy]`: choice of policies, equal on every instance of a fleet.

    The values other than the defaults are baselines for comparisons.
    """

    routing: Annotated[
        str, values.parse_choice("affinity", "least_loaded", "random")
    ] = "affinity"
    queue: Annotated[str, values.parse_choice("fair", "fifo")] = "fair"
    placement: Annotated[str, values.parse_choice("planned", "static")] = "planned"
    shares: Annotated[str, values.parse_choice("moving", "equal")] = "moving"


class LoggingSettings(NamedTuple):
    """`[logging]`: destination of log lines."""

    destination: Text = "stdout"
    """`stdout`, `stderr` or a file name."""


class Settings(NamedTuple):
    """A whole settings file; each field is the section of the same name."""

    instance: InstanceSettings
    platform: PlatformSettings
    secrets: SecretSettings
    timing: TimingSettings
    serving: ServingSettings
    placement: PlacementSettings
    policy: PolicySettings
    logging: LoggingSettings
