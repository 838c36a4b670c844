"""A fleet in virtual time whose instances can be cut from each other and the store."""

from __future__ import annotations

from guavajunction.clock import ManualClock
from guavajunction.fleet import Member, Roster
from guavajunction.gateway import PooledRateLimit, RateLimitTerms
from guavajunction.peers import PeerId

STEP_SECONDS = 0.1
HEARTBEAT_STEPS = 2
MAINTENANCE_STEPS = 3
RENEWAL_CHECK_STEPS = 3
READ_CHECK_STEPS = 15
"""Steps between two checks whether the rows must be read."""
REGULAR_READ_STEPS = 360
"""Longest interval at which an instance reads the rows in any case."""
HUB_LIST_STEPS = 6
HUBS = 2


class _Instance:
    def __init__(self, peer, clock, terms):
        self.peer = peer
        self.roster = Roster(peer, clock)
        self.pool = PooledRateLimit(terms, clock.monotonic())
        self.running = True
        self.follows = ""
        self.has_read = False

    @property
    def name(self):
        return self.peer.name


class CutFleet:
    """Instances with rosters and one customer's pools, under saturating demand.

    With `hubs`, all send heartbeats to two hubs, which send their lists and sums.
    """

    def __init__(self, count, terms, *, hubs=False):
        self.clock = ManualClock()
        self.terms = terms
        self.rows = {}
        self.calls = 0
        """Calls to the store besides the regular reads."""
        self.store_out = set()
        self.hears = lambda _receiver, _sender: True
        self.admitted = []
        self.demand_rate = 8.0
        """Demand on each instance, relative to the rate of the customer."""
        self._hub_count = HUBS if hubs else 0
        self._step = 0
        self.instances = {}
        for number in range(count):
            self.start(f"i{number:02}", "1")

    @property
    def now(self):
        return self.clock.monotonic()

    def start(self, name, incarnation):
        one = _Instance(PeerId(name, incarnation), self.clock, self.terms)
        self.instances[name] = one
        self.rows[name] = (self.rows.get(name, (0, ""))[0] + 1, incarnation)

    def kill(self, name):
        self.instances[name].running = False

    def stop(self, name):
        self.kill(name)
        self.rows.pop(name)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._step += 1
            self._advance()

    def cut(self, *sides):
        """Cut the instances into sides, by name; the rest is one more side."""
        side_of = {name: n for n, side in enumerate(sides) for name in side}
        self.hears = lambda a, b: side_of.get(a) == side_of.get(b)

    def heal(self):
        self.hears = lambda _receiver, _sender: True

    def shares(self):
        return {i.name: i.roster.share for i in self._running()}

    def spent_in_worst_window(self, seconds):
        worst = total = start = 0
        for at, units in self.admitted:
            total += units
            while self.admitted[start][0] < at - seconds:
                total -= self.admitted[start][1]
                start += 1
            worst = max(worst, total)
        return worst

    def _running(self):
        return [i for i in self.instances.values() if i.running]

    def _advance(self):
        running = self._running()
        if self._step % HEARTBEAT_STEPS == 0:
            self._send_heartbeats(running)
        if self._hub_count and self._step % HUB_LIST_STEPS == 0:
            self._send_hub_lists(running)
        for number, one in enumerate(running):
            step = self._step + number
            if step % MAINTENANCE_STEPS == 0:
                one.roster.expire()
                others = one.roster.serving - 1
                one.pool.limit_to_share(one.roster.share, others, self.now)
            if one.name not in self.store_out:
                self._call_store(one, step)
            units = self.terms.rate * self.demand_rate * STEP_SECONDS / len(running)
            if one.pool.spend(units, self.now):
                self.admitted.append((self.now, units))

    def _call_store(self, one, step):
        if step % RENEWAL_CHECK_STEPS == 0 and one.roster.must_renew_row():
            one.roster.note_renewal()
            version, incarnation = self.rows[one.name]
            self.rows[one.name] = version + 1, incarnation
            one.roster.note_renewed(self.now)
            self.calls += 1
        must_read = step % READ_CHECK_STEPS == 0 and one.roster.must_read_rows()
        self.calls += must_read
        if must_read or not one.has_read or step % REGULAR_READ_STEPS == 0:
            one.has_read = True
            versions = {
                PeerId(name, incarnation): version
                for name, (version, incarnation) in self.rows.items()
            }
            one.roster.on_rows(versions, self.now)

    def _send_heartbeats(self, running):
        receivers = [
            i for i in running if not self._hub_count or i.name in self._hub_names()
        ]
        for sender in running:
            member = Member(
                sender.name, "here", ready=True, sees_store=True, follows=sender.follows
            )
            for receiver in receivers:
                if receiver is not sender and self.hears(receiver.name, sender.name):
                    receiver.roster.on_heartbeat(sender.peer, member)
                    receiver.pool.update_peer(sender.peer, sender.pool.spent, self.now)

    def _hub_names(self):
        return [f"i{number:02}" for number in range(self._hub_count)]

    def _send_hub_lists(self, running):
        hubs = [i for i in running if i.name in self._hub_names()]
        for one in running:
            reached = [h for h in hubs if h is not one and self.hears(one.name, h.name)]
            if one in hubs or not reached:
                one.follows = "" if one in hubs else one.follows
                continue
            hub = reached[hash(one.name) % len(reached)]
            for other in reached:
                hub = other if other.name == one.follows else hub
            if one.follows != hub.name:
                one.follows = hub.name
                one.pool.reset_peer_counts()
            member = Member(hub.name, "here", ready=True, sees_store=True)
            one.roster.on_heartbeat(hub.peer, member)
            one.roster.on_hub_members(hub.roster.may_be_serving())
            spent = hub.pool.spent_without(one.peer)
            one.pool.update_peer(hub.peer, spent, self.now)


def terms_of(rate, burst, *, overshoot=0.1, slack=0.0, window=8.0):
    """Return the terms of a customer's limit."""
    return RateLimitTerms(rate, burst, (rate * window + burst) * overshoot + slack)


def bound_of(terms, window=8.0):
    """Return the units that may be spent in a window."""
    return terms.rate * window + terms.burst + terms.tolerance
