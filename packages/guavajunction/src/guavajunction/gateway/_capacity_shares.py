"""Shares scarce slots of backend servers among the instances of a fleet.

Hundreds of requests for one model may wait on tens of instances while few slots are
free, or until a new replica is ready. An instance learns of the sends of the others
some tenths of a second later. If each one filled all slots that it believes to be free,
a backend server would get many times what it can hold and reject most of it. Each
instance therefore sends only its share: the free slots go to the most urgent requests
of the whole fleet, and to each instance in proportion to its waiting requests.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple


class Contention(NamedTuple):
    """Requests that compete for the free slots of some backend servers."""

    free: int
    """Slots that are free as far as this instance knows, its own sends included."""
    own: Mapping[int, int]
    """Waiting requests of this instance, by priority."""
    others: Mapping[int, int]
    """Waiting requests of the other instances, by priority."""


class _Round:
    """What this instance has sent since the other instances last knew its load."""

    def __init__(self, began_at: float, draw: float) -> None:
        self.began_at = began_at
        self.draw = draw
        """Rounds a fractional share at random, so that the sum over all instances is
        right on average and an instance with one request is not left out."""
        self.sent: Counter[int] = Counter()
        """Sent requests, by priority."""


class CapacityShares:
    """Decides whether an instance may send one more request in a round."""

    ROUND_SECONDS = 0.4
    """Time until a send shows in the load that other instances know: two heartbeats
    and the hub between them."""
    MAX_ROUNDS = 4096
    """Number of keys whose rounds are kept."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rounds: dict[str, _Round] = {}

    def may_send(
        self, key: str, priority: int, contention: Contention, now: float
    ) -> bool:
        """Return whether a request is within the share of this instance.

        Args:
            key: What the request waits for.
            priority: Priority of the request, 0 is the most urgent.
            contention: What competes with it.
            now: Monotonic time in seconds.
        """
        if not contention.others:
            return True
        current = self._round(key, now)
        sent = current.sent[priority]
        return sent < math.floor(
            share(contention, priority, current.sent) + current.draw
        )

    def on_sent(self, key: str, priority: int, now: float) -> None:
        """Count a request that was sent."""
        self._round(key, now).sent[priority] += 1

    def _round(self, key: str, now: float) -> _Round:
        current = self._rounds.get(key)
        if current is None or now - current.began_at >= self.ROUND_SECONDS:
            if len(self._rounds) >= self.MAX_ROUNDS:
                self._rounds.clear()
            current = self._rounds[key] = _Round(now, self._rng.random())
        return current


def share(
    contention: Contention, priority: int, sent: Mapping[int, int] | None = None
) -> float:
    """Return how many requests of a priority an instance may send in a round.

    Args:
        contention: What competes for the free slots.
        priority: Priority of the requests.
        sent: Requests that this instance sent in the round, by priority.

    >>> share(Contention(free=16, own={1: 2}, others={1: 198}), 1)
    0.14
    >>> share(Contention(free=20, own={1: 2}, others={0: 16, 1: 8}), 1)
    0.6
    """
    sent = sent or {}
    free = contention.free + sum(sent.values())
    for counts in (contention.own, contention.others, sent):
        free -= sum(n for urgency, n in counts.items() if urgency < priority)
    own = contention.own.get(priority, 0) + sent.get(priority, 0)
    waiting = own + contention.others.get(priority, 0)
    if not own or free <= 0:
        return 0.0
    if waiting > free:
        # The shares of many instances are rounded at random, so that their sum varies
        # by the square root of the slots. Too many sends are rejected, too few cost
        # only a part of a round.
        free -= math.sqrt(free) / 2
    return min(own, free * own / waiting)


def requests_ahead(contention: Contention, priority: int, position: int) -> float:
    """Return how many requests of the fleet are served before one.

    Args:
        contention: What competes with the request.
        priority: Priority of the request.
        position: Its place among this instance's requests, counted from 1.

    >>> requests_ahead(Contention(0, own={1: 2}, others={0: 5, 1: 8}), 1, 1)
    10.0
    >>> requests_ahead(Contention(0, own={0: 10, 1: 1}, others={1: 99}), 1, 11)
    110.0
    """
    urgent = sum(n for urgency, n in contention.others.items() if urgency < priority)
    own_urgent = sum(n for urgency, n in contention.own.items() if urgency < priority)
    own = max(1, contention.own.get(priority, 0))
    waiting = own + contention.others.get(priority, 0)
    return urgent + own_urgent + max(1, position - own_urgent) * waiting / own
