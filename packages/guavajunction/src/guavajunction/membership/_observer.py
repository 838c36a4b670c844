"""How long member rows have stayed as they are, on this instance's own clock."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.peers import PeerId

from ._model import NO_VIEW, Member, State, View


class _Seen(NamedTuple):
    version: int
    state: State
    voter: bool
    version_since: float
    """When the first read ended that showed the row's version."""
    state_since: float
    """When the first read ended that showed the row's state."""
    outside_since: float
    """When the first read ended after which no view named the member."""


class MemberObserver:
    """Holds the latest read of the members and how long each row has been so.

    A duration counts from the end of the first read to the start of the latest one.
    After a gap between two reads all durations begin anew: in an outage of the store
    the members could not renew their rows either.
    """

    def __init__(self, max_gap: float) -> None:
        """Create an observer that has read nothing yet.

        Args:
            max_gap: Longest time between two reads, in seconds, that is no gap.
        """
        self._max_gap = max_gap
        self.members: dict[PeerId, Member] = {}
        """The members as last read."""
        self.view: View = NO_VIEW
        """The view as last read."""
        self.read_at = float("-inf")
        """When the latest read began."""
        self._seen: dict[PeerId, _Seen] = {}

    def record_read(
        self, started: float, ended: float, members: list[Member], view: View
    ) -> None:
        """Take the result of one read.

        Args:
            started: Before the read was sent.
            ended: After its answer arrived.
            members: Every member row.
            view: The view, read after the members.
        """
        if started < self.read_at or view.number < self.view.number:
            return
        if started - self.read_at > self._max_gap:
            self._seen.clear()
        self.read_at = started
        self.view = view
        self.members = {member.peer: member for member in members}
        voters = frozenset(view.voters)
        self._seen = {m.peer: self._see(m, m.peer in voters, ended) for m in members}

    def silent_for(self, peer: PeerId) -> float:
        """Return for how many seconds the member has not renewed its row."""
        seen = self._seen.get(peer)
        return self.read_at - seen.version_since if seen else 0.0

    def in_state_for(self, peer: PeerId, state: State) -> float:
        """Return for how many seconds the row has been in a state, 0 if it is not."""
        seen = self._seen.get(peer)
        if seen is None or seen.state != state:
            return 0.0
        return self.read_at - seen.state_since

    def outside_for(self, peer: PeerId) -> float:
        """Return for how many seconds no view has named the member."""
        seen = self._seen.get(peer)
        if seen is None or seen.voter:
            return 0.0
        return self.read_at - seen.outside_since

    def _see(self, member: Member, voter: bool, ended: float) -> _Seen:
        old = self._seen.get(member.peer)
        same_version = old is not None and old.version == member.version
        same_state = old is not None and old.state == member.row.state
        stays_outside = old is not None and not old.voter and not voter
        return _Seen(
            member.version,
            member.row.state,
            voter,
            old.version_since if old and same_version else ended,
            old.state_since if old and same_state else ended,
            old.outside_since if old and stays_outside else ended,
        )
