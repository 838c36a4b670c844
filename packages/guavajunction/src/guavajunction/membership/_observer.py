"""Measures how long member rows have been unchanged, by this instance's own clock."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.peers import PeerId

from ._model import NO_VIEW, Member, State, View


class _RowObservation(NamedTuple):
    """The latest content of one member row, and since when it has been unchanged.

    Times are in seconds of the monotonic clock.
    """

    version: int
    state: State
    voter: bool
    """Whether the latest view names the member."""
    version_since: float
    """End of the first read that returned the row's version."""
    state_since: float
    """End of the first read that returned the row's state."""
    outside_since: float
    """End of the first read since which no view has named the member."""


class MemberObserver:
    """Holds the latest read of the members and how long each row has been unchanged.

    A duration is measured from the end of the first read that returned a row's
    version or state to the start of the latest read. After a gap between two reads
    all durations restart from zero: in an outage of the store the members could not
    renew their rows either.
    """

    def __init__(self, max_gap: float) -> None:
        """Create an observer without any reads.

        Args:
            max_gap: Longest time in seconds from the start of one read to the start
                of the next that does not restart the durations.
        """
        self._max_gap = max_gap
        self.members: dict[PeerId, Member] = {}
        """The members as of the latest read."""
        self.view: View = NO_VIEW
        """The view as of the latest read."""
        self.read_at = float("-inf")
        """Monotonic time, in seconds, when the latest read began."""
        self._observations: dict[PeerId, _RowObservation] = {}

    def record_read(
        self, started: float, ended: float, members: list[Member], view: View
    ) -> None:
        """Record the result of one read. A result older than the latest is ignored.

        Args:
            started: Monotonic time, in seconds, before the read was sent.
            ended: Monotonic time, in seconds, after its answer arrived.
            members: Every member row.
            view: The view, read after the members.
        """
        if started < self.read_at or view.number < self.view.number:
            return
        if started - self.read_at > self._max_gap:
            self._observations.clear()
        self.read_at = started
        self.view = view
        self.members = {member.peer: member for member in members}
        voters = frozenset(view.voters)
        self._observations = {
            m.peer: self._update_observation(m, m.peer in voters, ended)
            for m in members
        }

    def seconds_since_renewal(self, peer: PeerId) -> float:
        """Return the seconds since the latest renewal of the row was first read."""
        observation = self._observations.get(peer)
        return self.read_at - observation.version_since if observation else 0.0

    def seconds_in_state(self, peer: PeerId, state: State) -> float:
        """Return the seconds for which the row has been in a state; 0 if it is not."""
        observation = self._observations.get(peer)
        if observation is None or observation.state != state:
            return 0.0
        return self.read_at - observation.state_since

    def seconds_outside_view(self, peer: PeerId) -> float:
        """Return the seconds for which no view has named the member."""
        observation = self._observations.get(peer)
        if observation is None or observation.voter:
            return 0.0
        return self.read_at - observation.outside_since

    def _update_observation(
        self, member: Member, voter: bool, ended: float
    ) -> _RowObservation:
        previous = self._observations.get(member.peer)
        same_version = previous is not None and previous.version == member.version
        same_state = previous is not None and previous.state == member.row.state
        stays_outside = previous is not None and not previous.voter and not voter
        return _RowObservation(
            member.version,
            member.row.state,
            voter,
            previous.version_since if previous and same_version else ended,
            previous.state_since if previous and same_state else ended,
            previous.outside_since if previous and stays_outside else ended,
        )
