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
    """Name of the instance, unique in the fleet."""
    data_centre: Text
    """Name of the data centre in which the instance runs."""
    address: Address
    """IP address on which the instance listens and at which others reach it."""
    http_port: Port
    """Port for HTTP requests of callers and operators."""
    peer_port: Port
    """Port for connections of other instances."""


class PlatformSettings(NamedTuple):
    """`[platform]`: services of the platform that store all durable data."""

    table_url: Url
    """Base URL of the table service."""
    object_url: Url
    """Base URL of the object store."""
    instances_url: Url
    """Base URL of the instance list."""
    table_name: Text = "guavajunction"
    """Name of the table in the table service."""
    bucket: Text = "guavajunction"
    """Name of the bucket in the object store."""
    timeout: Seconds = 2.0
    """Timeout of one call to these services, in seconds."""


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
    """Added to waits that depend on another instance's clock, which may drift."""
    staleness: Seconds = 2.0
    """Maximum age of the last read of the store, by this instance or a peer, that shows
    that this instance may serve. After that time it serves only while it exchanges
    heartbeats with a majority of the voters."""
    configuration_poll: Seconds = 0.8
    """Mean time between two reads of the accepted version."""
    load_poll: Seconds = 0.5
    """Time between two reads of the load of a backend server."""
    directory_ttl: Seconds = 2.0
    """Time for which callers may cache a response of the directory."""
    drain: Seconds = 900.0
    """Time after which a planned stop aborts the requests that are still in flight."""


class ServingSettings(NamedTuple):
    """`[serving]`: limits of requests and their queue."""

    max_body_bytes: Count = 1_048_576
    """Maximum size of the body of a request, in bytes."""
    max_head_bytes: Count = 65_536
    """Maximum size of all header lines of a request, in bytes."""
    body_timeout: Seconds = 10.0
    """Timeout for reading the body of a request, in seconds."""
    service_timeout: Seconds = 30.0
    """Timeout for the response of a plain service, in seconds."""
    default_max_tokens: Count = 256
    """Output tokens reserved for a request that sets no limit."""
    max_queue: Count = 1_024
    """Maximum number of requests queued on this instance."""


class MachineSettings(NamedTuple):
    """`[machine]`: what this instance may use of its machine."""

    memory_mb: Count = 512
    """Memory in MiB. A quarter of it may be held for callers' requests."""
    max_descriptors: Count = 4_096
    """Open descriptors. Less 200 for files, 0.6 of them are for callers."""


class PlacementSettings(NamedTuple):
    """`[placement]`: fleet-wide limits on loads, equal on every instance of a fleet."""

    loads_per_second: Seconds = 1.5
    """Maximum number of base models fetched from the weight store per second."""
    loads_at_once: Count = 10
    """Maximum number of base models fetched from the weight store concurrently."""
    adapter_loads_at_once: Count = 90
    """Maximum number of adapters fetched from the weight store concurrently."""
    plan_every: Seconds = 1.0
    """Time between two planning rounds, in seconds."""


class PolicySettings(NamedTuple):
    """`[policy]`: choice of algorithms, equal on every instance of a fleet.

    The values other than the defaults are baselines for comparisons.
    """

    routing: Annotated[
        str, values.parse_choice("affinity", "least_loaded", "random")
    ] = "affinity"
    """How a backend server is chosen: `affinity` (by load and by cached prefixes),
    `least_loaded` or `random`."""
    queue: Annotated[str, values.parse_choice("fair", "fifo")] = "fair"
    """Order of queued requests: `fair` (by class, then by the customers' weights) or
    `fifo` (first in, first out)."""
    placement: Annotated[str, values.parse_choice("planned", "static")] = "planned"
    """How replicas are planned: `planned` (follows demand) or `static` (ignores
    demand)."""
    shares: Annotated[str, values.parse_choice("moving", "equal")] = "moving"
    """How a customer's rate is divided: `moving` (units are moved between instances as
    needed) or `equal` (the same part for each live instance)."""


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
    machine: MachineSettings
    placement: PlacementSettings
    policy: PolicySettings
    logging: LoggingSettings
