"""Requests that wait on all instances of a fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from guavajunction.peers import PeerId

Backlog = dict[str, dict[int, int]]
"""Number of waiting requests, by what they wait for and by priority."""


class FleetBacklog:
    """Sums the requests that wait on the other instances, as last reported."""

    MAX_KEYS = 64
    """Number of keys that an instance reports, those with most waiting requests."""

    def __init__(self) -> None:
        self._peers: dict[PeerId, Backlog] = {}
        self._total: dict[str, Counter[int]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no request waits on another instance."""
        return not self._total

    @property
    def size(self) -> int:
        """Return the number of requests that wait on other instances."""
        return sum(sum(counts.values()) for counts in self._total.values())

    def of_others(self, key: str) -> Mapping[int, int]:
        """Return the requests that wait on other instances, by priority.

        Args:
            key: What they wait for.
        """
        return self._total.get(key, {})

    def update_peer(self, peer: PeerId, backlog: Backlog) -> None:
        """Replace the backlog that a peer reported."""
        self._subtract(self._peers.pop(peer, {}))
        backlog = {
            key: positive
            for key, counts in backlog.items()
            if (positive := {priority: n for priority, n in counts.items() if n > 0})
        }
        if not backlog:
            return
        self._peers[peer] = backlog
        for key, counts in backlog.items():
            self._total.setdefault(key, Counter()).update(counts)

    def keep_only(self, peers: Iterable[PeerId]) -> None:
        """Discard the backlogs of all peers that are not listed."""
        for removed in self._peers.keys() - set(peers):
            self._subtract(self._peers.pop(removed))

    def total_without(self, peer: PeerId, own: Backlog) -> Backlog:
        """Return the backlog of all instances but one, to send to that peer.

        Args:
            peer: The instance to leave out.
            own: Backlog of this instance.
        """
        left_out = self._peers.get(peer, {})
        total: Backlog = {}
        for key in self._total.keys() | own.keys():
            counts = Counter(self._total.get(key, {}))
            counts.update(own.get(key, {}))
            counts.subtract(left_out.get(key, {}))
            positive = {priority: n for priority, n in counts.items() if n > 0}
            if positive:
                total[key] = positive
        return largest(total, self.MAX_KEYS)

    def _subtract(self, backlog: Backlog) -> None:
        for key, counts in backlog.items():
            total = self._total[key]
            total.subtract(counts)
            if not any(total.values()):
                del self._total[key]


def largest(backlog: Backlog, limit: int) -> Backlog:
    """Return the keys with most waiting requests.

    >>> largest({"m1": {0: 1}, "m2": {0: 1, 1: 2}}, 1)
    {'m2': {0: 1, 1: 2}}
    """
    if len(backlog) <= limit:
        return backlog
    keys = sorted(backlog, key=lambda key: -sum(backlog[key].values()))[:limit]
    return {key: backlog[key] for key in keys}
