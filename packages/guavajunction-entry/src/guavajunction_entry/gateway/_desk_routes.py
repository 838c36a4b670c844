"""Finds the instance that hands out sends to a backend server."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from guavajunction.fleet import Relay, Roster
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId


class DeskRoutes:
    """The way of a question from an instance to the one that answers it.

    One instance answers for each backend server, which all choose alike among those
    that hear each other: the hubs, which is every instance in a fleet without
    followers. A follower asks its hub, which passes the question on.
    """

    def __init__(
        self,
        me: PeerId,
        relay: Relay,
        roster: Roster,
        answers: Callable[[PeerId], bool] = lambda _: True,
    ) -> None:
        """Create the routes of one instance.

        Args:
            me: This instance.
            relay: Knows which hub it follows.
            roster: Knows the other instances.
            answers: Returns whether another hub can answer.
        """
        self._me = me
        self._relay = relay
        self._roster = roster
        self._answers = answers

    @property
    def follows(self) -> bool:
        """Return whether this instance asks a hub."""
        return bool(self._relay.follows)

    def next_peer(self, backend: BackendId) -> PeerId | None:
        """Return the peer to ask: the followed hub, or the answering instance.

        Returns:
            None if the followed hub is not known; this instance if it answers itself.
        """
        if self._relay.follows:
            return self._relay.hub_peer()
        return self.holder(backend)

    def holder(self, backend: BackendId) -> PeerId:
        """Return the instance that answers, in the view of a hub."""
        return self._heaviest(backend.name)

    def answers_for(self, name: str) -> bool:
        """Return whether this instance is the one that answers for a name."""
        return not self.follows and self._heaviest(name) == self._me

    def _heaviest(self, name: str) -> PeerId:
        hubs = self._roster.peers_matching(lambda member: member.is_hub)
        able = [peer for peer in hubs if self._answers(peer)]
        return max([*able, self._me], key=lambda peer: _weight(name, peer))


def _weight(name: str, peer: PeerId) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}/{peer.name}".encode())
