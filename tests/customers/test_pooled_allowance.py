"""Tests of a customer's pool, spent by all instances."""

from __future__ import annotations

import random

import pytest

from guavajunction.customers import AllowanceTerms, PooledAllowance
from guavajunction.peers import PeerId

RATE, BURST, WINDOW = 1000.0, 1000.0, 8.0
OVERSHOOT, SLACK = 0.1, 1100.0
TERMS = AllowanceTerms(RATE, BURST, (RATE * WINDOW + BURST) * OVERSHOOT + SLACK)
BOUND = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK


class Fleet:
    """Instances that hear each other's counts a heartbeat late."""

    HEARTBEAT_SECONDS = 0.15

    def __init__(self, count):
        self.peers = [PeerId(f"i{n}", "1") for n in range(count)]
        self.pools = {peer: PooledAllowance(TERMS, 0.0) for peer in self.peers}
        self.cut = set()
        self._told_at = 0.0

    def tell(self, now):
        if now - self._told_at < self.HEARTBEAT_SECONDS:
            return
        self._told_at = now
        for sender, pool in self.pools.items():
            for receiver in self.peers:
                if sender != receiver and (sender in self.cut) == (
                    receiver in self.cut
                ):
                    self.pools[receiver].hear(sender, pool.spent, now)

    def keep_to_parts(self, now):
        for peer, pool in self.pools.items():
            side = [p for p in self.peers if (p in self.cut) == (peer in self.cut)]
            pool.keep_to(len(side) / len(self.peers), len(self.peers) - 1, now)


def replay(fleet, *, load, seconds, seed=1, cut_at=None, units=100.0):
    """Return the times and units that were let through."""
    rng = random.Random(seed)
    passed = []
    for step in range(round(seconds * 200)):
        now = step / 200
        if cut_at is not None and now >= cut_at:
            fleet.cut = set(fleet.peers[:1])
            if now >= cut_at + 1.0:
                fleet.keep_to_parts(now)
        fleet.tell(now)
        for _ in range(rng.choice([0, 1, 2])):
            if rng.random() < load * RATE / units / 200:
                pool = fleet.pools[rng.choice(fleet.peers)]
                if pool.spend(units, now):
                    passed.append((now, units))
    return passed


def worst_window(passed):
    return max(
        sum(units for at, units in passed if start <= at < start + WINDOW)
        for start, _ in passed
    )


class TestHotCustomer:
    """One customer at several times its rate over all instances."""

    @pytest.mark.parametrize("seed", range(4))
    def test_no_window_exceeds_the_bound(self, seed):
        passed = replay(Fleet(8), load=7.5, seconds=20, seed=seed)
        assert worst_window(passed) <= BOUND

    def test_it_gets_what_it_was_promised(self):
        passed = replay(Fleet(8), load=7.5, seconds=20)
        assert sum(units for _, units in passed) >= RATE * 18

    def test_cut_instance_and_the_others_keep_to_their_parts(self):
        passed = replay(Fleet(8), load=7.5, seconds=20, cut_at=8.0)
        assert worst_window(passed) <= BOUND


class TestCalmCustomer:
    """A customer within its rate is not refused."""

    def test_half_the_rate_in_bursts_passes_whole(self):
        fleet = Fleet(8)
        fleet.tell(0.0)
        passed = replay(fleet, load=0.5, seconds=20, seed=5)
        offered = replay(Fleet(1), load=0.5, seconds=20, seed=5)
        assert len(passed) >= len(offered) * 0.98


class TestPool:
    """Levels, terms and restarts."""

    def test_restarted_instance_starts_empty(self):
        pool = PooledAllowance(AllowanceTerms(100.0, 200.0, 0.0), now=50.0)
        assert not pool.spend(100.0, 50.0)
        assert pool.spend(100.0, 51.0)

    def test_first_word_of_a_peer_is_no_spending(self):
        pool = PooledAllowance(AllowanceTerms(100.0, 200.0, 0.0), now=0.0)
        pool.hear(PeerId("p", "1"), 5000.0, 2.0)
        assert pool.level(2.0) == 200.0
        pool.hear(PeerId("p", "1"), 5050.0, 2.0)
        assert pool.level(2.0) == 150.0

    def test_lowered_burst_binds_at_once(self):
        pool = PooledAllowance(AllowanceTerms(100.0, 200.0, 0.0), now=0.0)
        pool.change_terms(AllowanceTerms(10.0, 20.0, 0.0), 5.0)
        assert pool.level(5.0) == 20.0

    def test_time_told_is_when_the_units_are_there(self):
        pool = PooledAllowance(AllowanceTerms(100.0, 200.0, 0.0), now=0.0)
        wait = pool.seconds_until(100.0, 0.5)
        assert not pool.spend(100.0, 0.5 + wait - 0.01)
        assert pool.spend(100.0, 0.5 + wait)
