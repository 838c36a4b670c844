"""The pace at which a backend server that starts or recovers gets requests.

The load that this answers: up to 600 backend servers, of which one to all of a data
centre ramp up at once, and 300 instances, each of which sees few of their answers. Each
instance counts good and bad answers. The counts only grow, so messages that are late,
lost, repeated or out of order do no harm, and the pace is a function of their sums.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.events import LogEvent
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId

from . import _events as events


class AnswerCounts(NamedTuple):
    """Numbers of answers of a backend server since its ramp began."""

    good: float = 0.0
    """Weighted; one that raises the pace slowly counts less than 1."""
    bad: int = 0
    floor_bad: int = 0
    """Bad answers that did not lower the pace further; they only keep the ramp."""

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Return the sum of two counts."""
        return AnswerCounts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: AnswerCounts) -> AnswerCounts:
        """Return the rest of these counts without others that they include."""
        return AnswerCounts(*(a - b for a, b in zip(self, other, strict=True)))

    def newest(self, other: AnswerCounts) -> AnswerCounts:
        """Return the later values of counts that only grow."""
        return AnswerCounts(*map(max, self, other))


class RampCounts(NamedTuple):
    """Answers that one instance, or several in sum, saw in one ramp."""

    ramp: int
    """Number of the ramp; a higher one replaces it."""
    slots: int
    """Slots of the backend server, from which its paces follow."""
    counts: AnswerCounts
    is_ended: bool = False
    """Whether the ramp has ended for the sender."""


class _Paces(NamedTuple):
    floor: float
    initial: float
    full: float

    @classmethod
    def of(cls, slots: int) -> _Paces:
        """Return the paces of a backend server, in requests a second.

        A request occupies a slot for about a second.
        """
        full = max(ServerPaces.MIN_FULL, float(slots))
        return cls(max(ServerPaces.MIN_FLOOR, full / 16), full / 4, full)


class _Ramp:
    def __init__(self, number: int, slots: int, now: float) -> None:
        self.number = number
        self.slots = slots
        self.paces = _Paces.of(slots)
        self.own = AnswerCounts()
        self.peers: dict[PeerId, AnswerCounts] = {}
        self.heard = AnswerCounts()
        """Sum of the counts of the peers."""
        self.hub = AnswerCounts()
        self.began_at = self.changed_at = self.own_changed_at = now
        self.logged = self.paces.initial
        self.is_ended = False
        self.full_since: float | None = None
        self._bad_known = 0
        self._lowest = 0.0
        self._lowered_at = self._bad_at = float("-inf")
        self._slow_above = 0.0

    def note_trouble(self, rate: float, now: float) -> None:
        """Record a bad answer at a pace.

        In each `LOWERING_SECONDS` the pace falls to no less than `LOWERING` of what it
        was; answers to earlier sends would lower it too far.
        """
        lowest = ServerPaces.LOWERING * rate
        if now - self._bad_at > ServerPaces.SLOW_SECONDS:
            self._slow_above = lowest
        self._slow_above = max(self._slow_above, lowest)
        self._bad_at = now
        if now - self._lowered_at >= ServerPaces.LOWERING_SECONDS:
            self._lowered_at = now
            self._lowest = lowest

    def note_total(self, rate_before: float, now: float) -> None:
        """Record bad answers that peers have counted."""
        bad = self.total().bad
        if bad > self._bad_known:
            self._bad_known = bad
            self.note_trouble(rate_before, now)

    def is_outdated(self, sent_at: float) -> bool:
        """Return whether a request was sent before the pace was lowered."""
        return sent_at < self._lowered_at

    def may_fall(self) -> bool:
        """Return whether another bad answer lowers the pace."""
        return self.unbounded() > max(self.paces.floor, self._lowest)

    def weight(self, now: float) -> float:
        """Return how much a good answer counts.

        For some time after a bad one, the pace rises slowly from where it fell to.
        """
        rate = self.rate()
        if now - self._bad_at > ServerPaces.SLOW_SECONDS or rate < self._slow_above:
            return 1.0
        slow = self.paces.full * ServerPaces.SLOW_RISE
        return min(1.0, slow / (ServerPaces.GAIN * rate))

    def total(self) -> AnswerCounts:
        """Return the counts of all instances.

        Those of a hub are sums of those of the peers, so they are not added to them.
        """
        return self.own.plus(self.heard.newest(self.hub))

    def unbounded(self) -> float:
        counts = self.total()
        return (
            self.paces.initial
            + ServerPaces.GAIN * counts.good
            - ServerPaces.LOSS * counts.bad
        )

    def rate(self) -> float:
        return min(self.paces.full, max(self.paces.floor, self.unbounded()))


class ServerPaces:
    """The paces of the backend servers that ramp up.

    A good answer raises the pace by `GAIN`, so it doubles in 1.4 s of good answers; a
    bad one lowers it by `LOSS`. It rises while fewer than 1 in 5 answers are bad. After
    bad answers it rises by a fixed amount a second for some time.
    """

    GAIN = 0.5
    """Requests a second for each good answer."""
    LOSS = 2.0
    """Requests a second for each bad answer."""
    LOWERING = 0.6
    """Part of the pace that is left after `LOWERING_SECONDS` of bad answers."""
    LOWERING_SECONDS = 2.0
    """Time until a queue has drained and answers show the effect of a lower pace."""
    FULL_SECONDS = 2.0
    """Time at the full pace, without a bad answer, after which the ramp ends; answers
    to the last requests show whether the server bears it."""
    SLOW_SECONDS = 6.0
    """Time after a bad answer in which the pace rises slowly."""
    SLOW_RISE = 1 / 64
    """Part of the full pace by which the pace then rises in a second."""
    MIN_FULL = 8.0
    """Pace at which the ramp of a backend server with few slots ends."""
    MIN_FLOOR = 1.0
    """Lowest pace: a recovery is noticed within about a second."""
    SEND_SECONDS = 3.0
    """How long counts are sent after a change: some 20 heartbeats."""
    IDLE_SECONDS = 60.0
    """A ramp without any answer ends after this time."""
    MAX_BACKENDS = 4096
    """Number of incarnations whose last ramp is kept."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ramps: dict[BackendId, _Ramp] = {}
        self._listed: set[BackendId] = set()
        self.is_enabled = False
        """Whether backend servers ramp up at all."""

    def note_listed(self, backend: BackendId, slots: int, *, is_first: bool) -> None:
        """Begin the ramp of a new incarnation.

        Args:
            backend: A backend server that has an entry.
            slots: Number of its slots.
            is_first: Whether it is in the first list; it may be running for long.
        """
        if backend not in self._listed:
            self._listed.add(backend)
            # A peer may have told of its ramp before its entry arrives here.
            if not is_first and backend not in self._ramps:
                self.begin(backend, slots, "started")

    def begin(self, backend: BackendId, slots: int, cause: str) -> None:
        """Begin a ramp, unless one is in progress."""
        known = self._ramps.get(backend)
        if self.is_enabled and (known is None or known.is_ended):
            self._begin(backend, slots, known.number + 1 if known else 1, cause)

    def note_good(self, backend: BackendId) -> None:
        """Count an answer that came in time."""
        ramp = self._ramps.get(backend)
        if ramp is None or ramp.is_ended:
            return
        # Bad answers that were on their way when the pace reached its floor have
        # lowered the sum further. The first good answer makes up for them.
        deficit = max(0.0, ramp.paces.floor - ramp.unbounded())
        good = ramp.weight(self._clock.monotonic()) + math.ceil(deficit / self.GAIN)
        self._count(backend, ramp, ramp.own._replace(good=ramp.own.good + good))

    def note_bad(self, backend: BackendId, seconds: float = 0.0) -> None:
        """Count a late answer, a rejection or a failure.

        Args:
            backend: The backend server.
            seconds: Time since the request was sent. An answer to a request from
                before the pace was lowered does not lower it again.
        """
        ramp = self._ramps.get(backend)
        if ramp is None or ramp.is_ended:
            return
        own = ramp.own
        now = self._clock.monotonic()
        is_outdated = ramp.is_outdated(now - seconds)
        if not is_outdated:
            ramp.note_trouble(ramp.rate(), now)
        if not is_outdated and ramp.may_fall():
            own = own._replace(bad=own.bad + 1)
        else:
            own = own._replace(floor_bad=own.floor_bad + 1)
        self._count(backend, ramp, own)

    def rate(self, backend: BackendId) -> float | None:
        """Return the pace of a backend server; None if it does not ramp up."""
        ramp = self._ramps.get(backend)
        return None if ramp is None or ramp.is_ended else ramp.rate()

    def own(self) -> dict[BackendId, RampCounts]:
        """Return this instance's counts that changed a moment ago, for its peers."""
        since = self._clock.monotonic() - self.SEND_SECONDS
        return {
            backend: RampCounts(ramp.number, ramp.slots, ramp.own, ramp.is_ended)
            for backend, ramp in self._ramps.items()
            if ramp.own_changed_at >= since
        }

    def total_without(self, peer: PeerId) -> dict[BackendId, RampCounts]:
        """Return the counts of all instances but one, to send to that peer."""
        since = self._clock.monotonic() - self.SEND_SECONDS
        totals: dict[BackendId, RampCounts] = {}
        for backend, ramp in self._ramps.items():
            if ramp.changed_at >= since:
                others = ramp.heard.minus(ramp.peers.get(peer, AnswerCounts()))
                total = ramp.own.plus(others)
                totals[backend] = RampCounts(
                    ramp.number, ramp.slots, total, ramp.is_ended
                )
        return totals

    def update_peer(
        self, peer: PeerId, received: Mapping[BackendId, RampCounts]
    ) -> None:
        """Apply the counts of a peer."""
        for backend, one in received.items():
            ramp = self._joined(backend, one)
            if ramp is not None:
                rate, before = ramp.rate(), ramp.peers.get(peer, AnswerCounts())
                ramp.peers[peer] = newest = before.newest(one.counts)
                ramp.heard = ramp.heard.plus(newest.minus(before))
                ramp.note_total(rate, self._clock.monotonic())
                self._note_change(backend, ramp, before != ramp.peers[peer])

    def update_hub(self, received: Mapping[BackendId, RampCounts]) -> None:
        """Apply the sums that a hub sends, which leave out this instance."""
        for backend, one in received.items():
            ramp = self._joined(backend, one)
            if ramp is not None:
                rate, before = ramp.rate(), ramp.hub
                ramp.hub = before.newest(one.counts)
                ramp.note_total(rate, self._clock.monotonic())
                self._note_change(backend, ramp, before != ramp.hub)

    def keep_only(self, backends: set[BackendId]) -> None:
        """Forget the backend servers that have left, and end ramps without answers."""
        self._listed &= backends
        now = self._clock.monotonic()
        for backend, ramp in list(self._ramps.items()):
            is_idle = now - ramp.changed_at > self.IDLE_SECONDS
            since = ramp.full_since
            is_full = since is not None and now - since >= self.FULL_SECONDS
            if (is_idle or is_full) and not ramp.is_ended:
                self._end(backend, ramp)
            # A peer may have told of it before its entry arrives here.
            if is_idle and backend not in backends:
                del self._ramps[backend]

    def count(self) -> int:
        """Return the number of backend servers that ramp up."""
        return sum(not ramp.is_ended for ramp in self._ramps.values())

    def _begin(self, backend: BackendId, slots: int, number: int, cause: str) -> _Ramp:
        self._ramps.pop(backend, None)
        ramp = self._ramps[backend] = _Ramp(number, slots, self._clock.monotonic())
        drop_oldest(self._ramps, self.MAX_BACKENDS)
        events.RAMP_BEGAN.log(
            backend=backend.name,
            incarnation=backend.incarnation,
            ramp=number,
            cause=cause,
            pace=ramp.rate(),
            full=ramp.paces.full,
        )
        return ramp

    def _joined(self, backend: BackendId, received: RampCounts) -> _Ramp | None:
        """Return the ramp of received counts; None if it is over or not wanted."""
        ramp = self._ramps.get(backend)
        if ramp is None or received.ramp > ramp.number:
            if not self.is_enabled:
                return None
            return self._begin(backend, received.slots, received.ramp, "peer")
        if received.ramp < ramp.number:
            return None
        if ramp.is_ended:
            if received.is_ended:
                return None
            # The peer has missed the last counts.
            ramp.own_changed_at = ramp.changed_at = self._clock.monotonic()
            return None
        return ramp

    def _count(self, backend: BackendId, ramp: _Ramp, own: AnswerCounts) -> None:
        ramp.own = own
        ramp.own_changed_at = self._clock.monotonic()
        self._note_change(backend, ramp, True)

    def _note_change(self, backend: BackendId, ramp: _Ramp, is_changed: bool) -> None:
        if not is_changed:
            return
        ramp.changed_at = self._clock.monotonic()
        rate = ramp.rate()
        if rate < ramp.paces.full:
            ramp.full_since = None
        elif ramp.full_since is None:
            ramp.full_since = ramp.changed_at
        elif ramp.changed_at - ramp.full_since >= self.FULL_SECONDS:
            self._end(backend, ramp)
            return
        if not ramp.logged / 2 < rate < ramp.logged * 2:
            ramp.logged = rate
            self._log(events.PACE_CHANGED, backend, ramp)

    def _end(self, backend: BackendId, ramp: _Ramp) -> None:
        ramp.is_ended = True
        self._log(events.RAMP_ENDED, backend, ramp)

    def _log(self, event: LogEvent, backend: BackendId, ramp: _Ramp) -> None:
        total = ramp.total()
        event.log(
            backend=backend.name,
            incarnation=backend.incarnation,
            ramp=ramp.number,
            pace=round(ramp.rate(), 2),
            good=round(total.good, 2),
            bad=total.bad,
            own_good=round(ramp.own.good, 2),
            own_bad=ramp.own.bad,
            age=round(self._clock.monotonic() - ramp.began_at, 2),
        )
