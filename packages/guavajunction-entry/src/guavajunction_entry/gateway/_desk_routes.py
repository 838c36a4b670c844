"""Finds the instance that hands out sends to a backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import xxhash

from guavajunction.errors import PeerError
from guavajunction.fleet import Relay, Roster
from guavajunction.peers import Links, PeerId
from guavajunction.quarantine import BackendId

from . import _events as events

T = TypeVar("T")


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


async def ask_desk(
    links: Links,
    peer: PeerId,
    backend: BackendId,
    question: tuple[Any, ...],
    unanswered: T,
    *,
    timeout: float,
) -> T:
    """Send a question about a backend server to a peer, and return its answer.

    Args:
        links: Links to the peers.
        peer: The peer to ask.
        backend: The backend server.
        question: The message to send.
        unanswered: Returned if the peer does not answer; an answer has the same type.
        timeout: Seconds to wait for an answer.
    """
    try:
        return await links.request(peer, question, type(unanswered), timeout=timeout)
    except PeerError as exc:
        events.PERMIT_NOT_ANSWERED.log(
            backend=backend.name, instance=peer.name, reason=exc.message
        )
        return unanswered


def _weight(name: str, peer: PeerId) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}/{peer.name}".encode())
