"""The times on which membership rests."""

from __future__ import annotations

from typing import NamedTuple


class MembershipConfig(NamedTuple):
    """All in seconds."""

    lease: float = 6.0
    """How long a member row may stay unchanged before its member counts as dead."""
    drift_margin: float = 1.0
    """Added by observers for clocks that drift."""
    staleness: float = 2.0
    """Age up to which a confirmation of the store's state is trusted."""
    heard: float = 2.0
    """Age up to which a peer's heartbeat counts for a majority."""
    poll: float = 0.8
    """Between two reads of the members."""
    list_poll_interval: float = 5.0
    """Between two reads of the platform's instance list."""
    ack_timeout: float = 1.0
    """Longest wait for a member's acknowledgement."""
    announce_timeout: float = 4.0
    """How long a pending change competes with others before it is given up."""
    pending_validity: float = 5.0
    """How long after its announcement a change may still be sent to the store."""
    max_write_delay: float = 5.0
    """How long after it was sent a write may still take effect."""
    outage_limit: float = 1800.0
    """How long a member may serve on the word of a majority alone."""
    relay_limit: float = 300.0
    """How long after its own last read a member trusts what peers read."""
    retention: float = 600.0
    """How long rows of members that are gone are kept."""

    @property
    def renew(self) -> float:
        """Between two renewals of a member row."""
        return self.lease / 3

    @property
    def settle_bound(self) -> float:
        """Time after which an announced change has taken effect or never will."""
        return self.pending_validity + self.max_write_delay + self.drift_margin

    @property
    def reclaim_wait(self) -> float:
        """Time after which a revoked member that is no voter has stopped acting."""
        return self.settle_bound + max(self.staleness, self.heard) + self.drift_margin

    @property
    def max_renewal_gap(self) -> float:
        """Time without renewal after which a member cannot serve on a majority."""
        return self.outage_limit + self.heard + self.drift_margin
