"""What membership needs from its collaborators."""

from __future__ import annotations

from typing import Protocol

from guavajunction.peers import Links, PeerId
from guavajunction.storage import InstanceRecord


class Mesh(Links, Protocol):
    """Links that also tell when a peer was heard."""

    def heard(self, within: float) -> set[PeerId]:
        """Return the peers whose latest heartbeat arrived within some seconds."""
        ...

    def echoed_at(self, peer: PeerId) -> float | None:
        """Return a moment after which the peer's latest heartbeat was sent."""
        ...

    def set_targets(self, records: list[InstanceRecord]) -> None:
        """Set the known instances."""
        ...

    async def ready(self) -> None:
        """Wait until this instance listens."""
        ...
