"""Intervals, timeouts and limits of membership."""

from __future__ import annotations

from typing import NamedTuple


class MembershipConfig(NamedTuple):
    """Intervals, timeouts and limits of membership, in seconds."""

    lease: float = 6.0
    """Time without a renewal of its row after which a member is expired."""
    drift_margin: float = 1.0
    """Added to waits that depend on another instance's clock, which may drift."""
    staleness: float = 2.0
    """Maximum age of a confirmation of the store's state that gives standing."""
    heartbeat_max_age: float = 2.0
    """Maximum age of a peer's heartbeat that counts towards a majority."""
    poll: float = 0.8
    """Interval between reads of the member rows and the view."""
    list_poll_interval: float = 5.0
    """Interval between reads of the platform's instance list."""
    ack_timeout: float = 1.0
    """Timeout of a request for a voter's acknowledgement of a pending change."""
    announce_timeout: float = 4.0
    """Time for which announcing a change is retried before `NoMajority` is raised."""
    pending_validity: float = 5.0
    """Time after its announcement in which a change may be sent to the store."""
    max_write_delay: float = 5.0
    """Longest time from sending a write until it takes effect in the store."""
    outage_limit: float = 1800.0
    """Time after its last renewal in which a member may serve by majority alone."""
    relay_limit: float = 300.0
    """Time after its own last read in which a member accepts peers' confirmations."""
    retention: float = 600.0
    """Time for which rows of members that left or were revoked are kept."""

    @property
    def renew(self) -> float:
        """Interval between renewals of a member row."""
        return self.lease / 3

    @property
    def settle_bound(self) -> float:
        """Time after the announcement by which a change takes effect or never will."""
        return self.pending_validity + self.max_write_delay + self.drift_margin

    @property
    def reclaim_wait(self) -> float:
        """Time by which a member has stopped acting after its revocation.

        Only time in which the row is revoked and no view names the member counts.
        """
        return (
            self.settle_bound
            + max(self.staleness, self.heartbeat_max_age)
            + self.drift_margin
        )

    @property
    def max_renewal_gap(self) -> float:
        """Time without a renewal after which a member cannot serve by majority."""
        return self.outage_limit + self.heartbeat_max_age + self.drift_margin
