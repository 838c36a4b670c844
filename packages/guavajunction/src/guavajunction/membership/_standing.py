"""Whether an instance may trust its keys and spend its shares."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from guavajunction.peers import PeerId

from ._config import MembershipConfig
from ._messages import Status
from ._model import View


class _ReceivedStatus(NamedTuple):
    status: Status
    sent_after: float
    """A moment, on this instance's clock, after which the status was sent."""


class StandingRule:
    """Decides from confirmations and from what peers say of themselves.

    Rule 1: the store's state was confirmed lately, by this instance or by a peer
    whose configuration is not newer than the one in force here and that has not
    seen this incarnation revoked.

    Rule 2: a majority of the voters, this one included, was heard lately, and each
    is eligible, has the same view, and no newer configuration. The store is not
    asked: whoever changes the configuration or the view first makes a majority
    hold a note, and a voter that holds a note is not eligible.
    """

    def __init__(
        self, me: PeerId, version: Callable[[], int], cfg: MembershipConfig
    ) -> None:
        self._me = me
        self._version = version
        self._cfg = cfg
        self._peers: dict[PeerId, _ReceivedStatus] = {}
        self.view: View | None = None
        """The latest view that was read, or None before the first read."""
        self.confirmed_at = float("-inf")
        """When the latest own confirmation of the store's state began."""
        self.renewed_at = float("-inf")
        """When the latest successful renewal of the own row began."""

    def on_status(self, peer: PeerId, status: Status, sent_after: float | None) -> None:
        """Take what a peer says; without an echo nothing is known of its age."""
        if sent_after is not None:
            self._peers[peer] = _ReceivedStatus(status, sent_after)

    def retain_peers(self, keep: set[PeerId]) -> None:
        """Drop what was heard from all but some peers."""
        self._peers = {p: heard for p, heard in self._peers.items() if p in keep}

    def confirmed(self, now: float) -> bool:
        """Return whether rule 1 holds."""
        since = now - self._cfg.staleness
        if self.confirmed_at > since:
            return True
        if self.confirmed_at <= now - self._cfg.relay_limit:
            return False
        return any(self._confirms(heard, since) for heard in self._peers.values())

    def eligible(self, now: float, *, blocked: bool) -> bool:
        """Return whether this instance may be counted towards a majority.

        Args:
            now: Monotonic time in seconds.
            blocked: Whether it holds a note of a pending change.
        """
        in_view = self.view is not None and self._me in self.view.voters
        lately = now - self.renewed_at < self._cfg.outage_limit
        return in_view and lately and not blocked

    def majority(self, now: float, *, blocked: bool) -> bool:
        """Return whether rule 2 holds."""
        if self.view is None or not self.eligible(now, blocked=blocked):
            return False
        since = now - self._cfg.heard
        votes = 1 + sum(self._counts_as_vote(peer, since) for peer in self.view.voters)
        return votes >= self.view.majority

    def _confirms(self, heard: _ReceivedStatus, since: float) -> bool:
        status = heard.status
        if status.age is None or heard.sent_after - status.age <= since:
            return False
        fresh_enough = status.version <= self._version()
        return fresh_enough and self._me.incarnation not in status.revoked

    def _counts_as_vote(self, peer: PeerId, since: float) -> bool:
        heard = self._peers.get(peer)
        if heard is None or self.view is None or heard.sent_after <= since:
            return False
        status = heard.status
        same_view = status.view == self.view.number
        return status.eligible and same_view and status.version <= self._version()
