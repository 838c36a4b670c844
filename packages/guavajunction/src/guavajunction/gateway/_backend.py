"""The state of a backend server that the gateway works with."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.quarantine import BackendId


class BackendRecord(NamedTuple):
    """State of a backend server, as of its last heartbeat."""

    name: str
    service: str
    address: str
    """`host:port`."""
    data_centre: str
    slots: int
    draining: bool
    incarnation: int
    """Start time in Unix milliseconds; distinguishes restarts under the same name."""
    report_number: int
    """Number of the heartbeat, counted from the start of the backend server."""
    models: dict[str, frozenset[str]]
    """Adapters by resident model. A change of models is sent at once, a change of
    adapters with the next heartbeat."""
    in_memory: frozenset[str]
    """Models whose weights are in main memory."""
    on_disk: frozenset[str]
    """Models whose weights are on disk."""
    software_version: str
    """Version of the software, not of a model's weights; empty if it is unknown."""
    cold_seconds: float = 0.0
    """Time for which it was still cold at the heartbeat, 0 if it was not."""

    @property
    def identity(self) -> BackendId:
        """Return name and incarnation, which change with every restart."""
        return BackendId(self.name, self.incarnation)
