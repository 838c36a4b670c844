"""Standing: whether an instance may trust its keys and spend its shares."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from guavajunction.peers import PeerId

from ._config import MembershipConfig
from ._messages import Status
from ._model import View


class _ReceivedStatus(NamedTuple):
    """The latest status of a peer."""

    status: Status
    sent_after: float
    """Lower bound, on this instance's clock, of the time when the status was sent."""


class StandingRule:
    """Decides by two rules whether this instance has standing; one of them is enough.

    Rule 1 (`confirmed`): this instance or a peer confirmed the store's state recently.
    A peer's confirmation counts if the peer's configuration is not newer than the one
    in force here, and the peer has not read that this incarnation is revoked.

    Rule 2 (`majority`): a majority of the voters, this instance included, sent a
    heartbeat recently, and each of them is eligible, has the same view and has no
    newer configuration. This rule is safe without reading the store: before an
    instance changes the configuration or the view, a majority of the voters must
    hold a note of the change, and a voter that holds a note is not eligible.
    """

    def __init__(
        self, me: PeerId, version: Callable[[], int], cfg: MembershipConfig
    ) -> None:
        """Create the rule for one incarnation.

        Args:
            me: Identity of this incarnation.
            version: Returns the version of the configuration in force here.
            cfg: Maximum ages.
        """
        self._me = me
        self._version = version
        self._cfg = cfg
        self._peers: dict[PeerId, _ReceivedStatus] = {}
        self.view: View | None = None
        """The latest view that was read; None before the first read."""
        self.confirmed_at = float("-inf")
        """Monotonic time, in seconds, when this instance's latest successful
        confirmation of the store's state began."""
        self.renewed_at = float("-inf")
        """Monotonic time, in seconds, when this instance's latest successful renewal of
        its row began."""

    def on_status(self, peer: PeerId, status: Status, sent_after: float | None) -> None:
        """Record a peer's status.

        Args:
            peer: Sender of the status.
            status: The status.
            sent_after: Lower bound, on this instance's clock, of the time when the
                status was sent. None if the bound is unknown. The status is then
                ignored, as its age is unknown too.
        """
        if sent_after is not None:
            self._peers[peer] = _ReceivedStatus(status, sent_after)

    def retain_peers(self, keep: set[PeerId]) -> None:
        """Drop the statuses of all other peers."""
        self._peers = {p: received for p, received in self._peers.items() if p in keep}

    def confirmed(self, now: float) -> bool:
        """Return whether rule 1 holds at a monotonic time in seconds."""
        since = now - self._cfg.staleness
        if self.confirmed_at > since:
            return True
        if self.confirmed_at <= now - self._cfg.relay_limit:
            return False
        return any(self._confirms(peer, since) for peer in self._peers.values())

    def eligible(self, now: float, *, blocked: bool) -> bool:
        """Return whether this instance may be counted towards a majority.

        Args:
            now: Monotonic time in seconds.
            blocked: Whether this instance holds a note of a pending change.
        """
        in_view = self.view is not None and self._me in self.view.voters
        recently = now - self.renewed_at < self._cfg.outage_limit
        return in_view and recently and not blocked

    def majority(self, now: float, *, blocked: bool) -> bool:
        """Return whether rule 2 holds.

        Args:
            now: Monotonic time in seconds.
            blocked: Whether this instance holds a note of a pending change.
        """
        if self.view is None or not self.eligible(now, blocked=blocked):
            return False
        since = now - self._cfg.heartbeat_max_age
        votes = 1 + sum(self._counts_as_vote(peer, since) for peer in self.view.voters)
        return votes >= self.view.majority

    def _confirms(self, received: _ReceivedStatus, since: float) -> bool:
        status = received.status
        if status.age is None or received.sent_after - status.age <= since:
            return False
        not_newer = status.version <= self._version()
        return not_newer and self._me.incarnation not in status.revoked

    def _counts_as_vote(self, peer: PeerId, since: float) -> bool:
        received = self._peers.get(peer)
        if received is None or self.view is None or received.sent_after <= since:
            return False
        status = received.status
        same_view = status.view == self.view.number
        return status.eligible and same_view and status.version <= self._version()
