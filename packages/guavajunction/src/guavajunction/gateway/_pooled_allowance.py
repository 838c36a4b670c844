"""A customer's rate and burst, spent by all instances from one pool.

Answers one customer that sends many times its usual, spread over all instances: each
counts what it let through and hears within a heartbeat or two what the others did, from
each of them or, in a large fleet, as a sum from a hub. So nobody is refused while the
pool has units, wherever they are asked for. While some instances are not heard, each
side keeps to its part of the pool, as the other may be serving.

The pool is a sliding window: whatever span of that length one looks at, it holds no
more than the rate of the span and one burst. A bucket that refills at the rate keeps to
the same bound, but is empty for ever once a customer goes a little over its rate, and
then refuses what the window still has room for.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from guavajunction.peers import PeerId


class AllowanceTerms(NamedTuple):
    """What a customer was promised and how exactly it is judged."""

    rate: float
    """Units a second."""
    burst: float
    """Units on top, in each window."""
    window: float
    """Seconds in which units are counted."""
    tolerance: float
    """Units over rate and burst that a window may hold."""

    @property
    def units(self) -> float:
        """Return the units of one window."""
        return self.rate * self.window + self.burst


class _Spent(NamedTuple):
    at: float
    """When they were spent or heard of, whichever is later."""
    units: float


class PooledAllowance:
    """One instance's view of a customer's pool.

    >>> terms = AllowanceTerms(rate=10.0, burst=20.0, window=2.0, tolerance=0.0)
    >>> allowance = PooledAllowance(terms, now=0.0)
    >>> allowance.spend(30.0, now=0.1), allowance.spend(30.0, now=2.0)
    (False, True)
    """

    TOLERANCE_USED = 0.3
    """Part of the tolerance that is lent; the rest covers what was not heard yet."""
    UNSEEN_SECONDS = 0.25
    """What peers spent in this time has not been heard: a heartbeat and its way."""
    UNSEEN_FACTOR = 0.5
    """Callers spread over the instances, so peers spend about what this one does; a
    half of that is kept back, as the rest of the tolerance covers the other half."""
    FEW = 15
    """Other instances up to which one's own requests tell of theirs; among more, one
    has too few of its own."""
    RELAYED_SECONDS = 0.45
    """The same as `UNSEEN_SECONDS` where a hub stands between."""
    ASKED_SECONDS = 2.0
    """Span over which it is judged how much is asked for, here and so elsewhere."""
    STEPS = 40
    """Parts of a window in which what was spent is counted together."""

    def __init__(self, terms: AllowanceTerms, now: float) -> None:
        """Start as if a whole window had been spent: what was spent is not known."""
        self._terms = terms
        self._part = 1.0
        self._parted_at = now
        self._spent = 0.0
        self._window: deque[_Spent] = deque()
        self._heard: dict[PeerId, float] = {}
        self._gained: dict[PeerId, float] = {}
        self._others = 0
        self._heard_at: float | None = None
        self._gap_since: float | None = None
        self._asked: deque[_Spent] = deque()
        self._recent: deque[_Spent] = deque()
        self._recent_heard: deque[_Spent] = deque()
        self._assume(terms.units, since=now - terms.window, now=now)

    @property
    def spent(self) -> float:
        """Return the units that this instance let through since its start."""
        return self._spent

    def left(self, now: float) -> float:
        """Return the units left in the window; negative if peers overspent it."""
        return self._terms.units * self._part - self._used(now)

    def spend(self, units: float, now: float) -> bool:
        """Take units for a request.

        Returns:
            Whether the pool had them.
        """
        _note(self._asked, _Spent(now, units), keep=self.ASKED_SECONDS)
        if self._available(now) < units:
            return False
        self._count(units, now)
        _note(self._recent, _Spent(now, units), keep=self.UNSEEN_SECONDS)
        self._spent += units
        return True

    def seconds_until(self, units: float, now: float) -> float:
        """Return how long a request of some units would have to wait."""
        missing = units - self._available(now)
        if missing <= 0:
            return 0.0
        for entry in self._window:
            missing -= entry.units * self._weight(entry)
            if missing <= 0:
                return max(0.0, entry.at + self._terms.window - now)
        return self._terms.window

    def change_terms(self, terms: AllowanceTerms, now: float) -> None:
        """Follow a new configuration.

        A lower limit holds for the windows that begin after it: what was spent before
        was within the limit of its time.
        """
        if terms.units < self._terms.units:
            self._window.clear()
        self._terms = terms

    def hear(self, peer: PeerId, spent: float, now: float) -> None:
        """Take off what a peer let through since it was last heard.

        The first word of a peer only sets where its count stands. After a change of
        sources it is also taken that the others spent the whole rate meanwhile.
        """
        if self._gap_since is not None:
            self._count((now - self._gap_since) * self._terms.rate * self._part, now)
            self._gap_since = None
        self._heard_at = now
        before = self._heard.get(peer)
        self._heard[peer] = spent
        if before is not None and spent > before:
            self._count(spent - before, now)
            self._gained[peer] = self._gained.get(peer, 0.0) + spent - before
            heard = _Spent(now, spent - before)
            _note(self._recent_heard, heard, keep=self.RELAYED_SECONDS)

    def spent_without(self, peer: PeerId) -> float:
        """Return what all but one peer were heard to spend, to be told to it.

        It never falls, and does not jump when a peer is first heard.
        """
        gained = sum(self._gained.values()) - self._gained.get(peer, 0.0)
        return self._spent + gained

    def change_sources(self) -> None:
        """Forget where counts stand: they will be heard from others than before."""
        self._heard.clear()
        self._gap_since = self._heard_at

    def keep_to(self, part: float, others: int, now: float) -> None:
        """Keep to a part of the pool while some instances are not heard.

        Args:
            part: Instances that are heard, this one included, by those that may
                be serving.
            others: Other instances that may be serving.
            now: Monotonic time in seconds.
        """
        if self._part == 1.0 and part < 1.0:
            self._parted_at = now
        self._part = part
        self._others = others

    def _available(self, now: float) -> float:
        return self.left(now) + self._lent() - self._unseen(now)

    def _lent(self) -> float:
        return self._terms.tolerance * self.TOLERANCE_USED * self._part

    def _unseen(self, now: float) -> float:
        """Return what peers are likely to have spent since they were last heard."""
        if self._others > self.FEW:
            return max(
                _sum_since(self._recent_heard, now - self.RELAYED_SECONDS),
                self._asked_unseen(now),
            )
        own = _sum_since(self._recent, now - self.UNSEEN_SECONDS)
        return own * self._others * self.UNSEEN_FACTOR

    def _asked_unseen(self, now: float) -> float:
        """Return what the others may let through unseen, all seeing the same left.

        They are asked for about as much as this one, refused or not.
        """
        asked = _sum_since(self._asked, now - self.ASKED_SECONDS) / self.ASKED_SECONDS
        unseen = self.RELAYED_SECONDS + self._silent_seconds(now)
        return asked * self._others * unseen * self.UNSEEN_FACTOR

    def _silent_seconds(self, now: float) -> float:
        return now - self._heard_at if self._heard_at is not None else 0.0

    def _used(self, now: float) -> float:
        while self._window and self._window[0].at <= now - self._terms.window:
            self._window.popleft()
        return sum(entry.units * self._weight(entry) for entry in self._window)

    def _weight(self, entry: _Spent) -> float:
        """Return how much of an entry counts.

        Each side bears its part of what was spent before they lost each other.
        """
        return self._part if entry.at <= self._parted_at else 1.0

    def _count(self, units: float, now: float) -> None:
        last = self._window[-1] if self._window else None
        # An entry bears the end of its step, so that nothing leaves too early.
        if last is not None and last.at > max(now, self._parted_at):
            self._window[-1] = _Spent(last.at, last.units + units)
        else:
            step = self._terms.window / self.STEPS
            self._window.append(_Spent(now + step, units))

    def _assume(self, units: float, *, since: float, now: float) -> None:
        for step in range(1, self.STEPS + 1):
            at = since + (now - since) * step / self.STEPS
            self._window.append(_Spent(at, units / self.STEPS))


def _note(spent: deque[_Spent], entry: _Spent, *, keep: float) -> None:
    """Add an entry and drop those older than some seconds."""
    spent.append(entry)
    while spent[0].at < entry.at - keep:
        spent.popleft()


def _sum_since(spent: deque[_Spent], since: float) -> float:
    return sum(entry.units for entry in spent if entry.at >= since)
