"""Interfaces that membership requires."""

from __future__ import annotations

from typing import Protocol

from guavajunction.peers import Links, PeerId
from guavajunction.storage import InstanceRecord


class Mesh(Links, Protocol):
    """Links to the other instances, with the times of their heartbeats."""

    def peers_seen_within(self, seconds: float) -> set[PeerId]:
        """Return the peers whose latest heartbeat was received recently.

        Args:
            seconds: Maximum age of the heartbeat.
        """
        ...

    def echoed_at(self, peer: PeerId) -> float | None:
        """Return a lower bound of the time when a peer sent its latest heartbeat.

        Args:
            peer: Sender of the heartbeat.

        Returns:
            Time on this instance's monotonic clock, in seconds: when this instance
            sent the heartbeat that the peer's latest one echoes. None if no heartbeat
            has been echoed.
        """
        ...

    def set_targets(self, records: list[InstanceRecord]) -> None:
        """Set the instances to link to."""
        ...

    async def ready(self) -> None:
        """Wait until this instance listens for its peers."""
        ...
