"""Messages between instances about orders."""

from __future__ import annotations

from typing import NamedTuple


class AdapterWanted(NamedTuple):
    """Requests an adapter that queued requests need from the leader."""

    service: str
    model: str
    adapter: str
    refused_by: tuple[str, ...] = ()
    """Backend servers that should hold the adapter but reported it as missing."""
    forwarded: bool = False
    """Whether a hub has forwarded this message; it is forwarded only once."""


class ResumeAdapterWanted(NamedTuple):
    """Requests an adapter for resumed streams, which only one version may continue."""

    wanted: AdapterWanted
    software_version: str
    """Version of the backend servers that may load the adapter."""


class AdapterReady(NamedTuple):
    """Answers a request for an adapter once it is loaded or cannot be loaded."""

    backend: str
    """Backend server that holds the adapter; empty if none can load it now."""


class LeaderStatus(NamedTuple):
    """Status of the leader in its heartbeats.

    Other instances send the defaults, plus their last term's release if there was one.
    """

    fence: int = 0
    """Fencing number of the leader; 0 from any other instance."""
    released_fence: int = 0
    """Fencing number that the sender released and never uses again; 0 if none."""
    seconds_since_order: dict[str, float] = {}
    """Time since the last order to each backend server under the released number."""
    store_loads: tuple[float, ...] = ()
    """Seconds since the start of each load that still counts towards the rate limit of
    the weight store."""
    loads_due: dict[str, float] = {}
    """Seconds until each model that is being loaded is expected."""
