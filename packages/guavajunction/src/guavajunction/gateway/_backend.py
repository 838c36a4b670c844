"""Backend servers as the gateway knows them."""

from __future__ import annotations

from typing import NamedTuple


class BackendRecord(NamedTuple):
    """What a backend server last said of itself."""

    name: str
    service: str
    address: str
    """`host:port`."""
    data_centre: str
    slots: int
    draining: bool
    incarnation: int
    """Start of the backend server, Unix milliseconds: a restart under the same name
    has another."""
    report_number: int
    """Counts the heartbeats since its start."""
    models: dict[str, frozenset[str]]
    """Adapters by resident model. Models are told as they change, adapters only with
    the next heartbeat."""
    in_memory: frozenset[str]
    """Models whose weights its main memory holds."""
    on_disk: frozenset[str]
    """Models whose weights its disk holds."""

    @property
    def identity(self) -> tuple[str, int]:
        """Return what differs between two starts under one name."""
        return self.name, self.incarnation
