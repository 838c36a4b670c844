"""Tests of a customer's rate limit, shared by all instances."""

from __future__ import annotations

import random

import pytest

from guavajunction.gateway import PooledRateLimit, RateLimitTerms
from guavajunction.peers import PeerId

RATE, BURST, WINDOW = 1000.0, 1000.0, 8.0
OVERSHOOT, SLACK = 0.1, 1100.0
TERMS = RateLimitTerms(RATE, BURST, (RATE * WINDOW + BURST) * OVERSHOOT + SLACK)
BOUND = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK


class Fleet:
    """Instances that receive each other's counts one heartbeat late."""

    HEARTBEAT_SECONDS = 0.15

    def __init__(self, count):
        self.peers = [PeerId(f"i{n}", "1") for n in range(count)]
        self.pools = {peer: PooledRateLimit(TERMS, 0.0) for peer in self.peers}
        self.partitioned = set()
        self.requested = []
        self._sent_at = 0.0
        for pool in self.pools.values():
            pool.limit_to_share(1.0, count - 1, 0.0)

    def send_counts(self, now):
        if now - self._sent_at < self.HEARTBEAT_SECONDS:
            return
        self._sent_at = now
        for sender, pool in self.pools.items():
            for receiver in self.peers:
                if sender != receiver and (sender in self.partitioned) == (
                    receiver in self.partitioned
                ):
                    self.pools[receiver].update_peer(sender, pool.spent, now)

    def advance(self, now):
        """Apply changes between heartbeats; overridden by fleets with hubs."""

    def limit_to_shares(self, now):
        for peer, pool in self.pools.items():
            side = [
                p
                for p in self.peers
                if (p in self.partitioned) == (peer in self.partitioned)
            ]
            pool.limit_to_share(len(side) / len(self.peers), len(self.peers) - 1, now)


class HubFleet(Fleet):
    """Instances that receive the sum of the others from a hub, which changes."""

    HUB_SECONDS = 3.0
    """Time between changes of the hub."""
    GAP_SECONDS = 0.75
    """Time without counts after a change of the hub."""

    def __init__(self, count):
        super().__init__(count)
        self.hub = 0
        self._hub_at = 0.0

    def advance(self, now):
        if now - self._hub_at < self.HUB_SECONDS:
            return
        self._hub_at = now
        self.hub += 1
        for pool in self.pools.values():
            pool.reset_peer_counts()

    def send_counts(self, now):
        if now - self._sent_at < self.HEARTBEAT_SECONDS:
            return
        if self.hub and now - self._hub_at < self.GAP_SECONDS:
            return
        self._sent_at = now
        hub = self.peers[self.hub % len(self.peers)]
        for sender, pool in self.pools.items():
            if sender != hub:
                self.pools[hub].update_peer(sender, pool.spent, now)
        for receiver, pool in self.pools.items():
            if receiver != hub:
                pool.update_peer(hub, self.pools[hub].spent_without(receiver), now)


def replay(fleet, *, load, seconds, seed=1, cut_at=None, units=100.0):
    """Return times and units of the admitted requests."""
    rng = random.Random(seed)
    admitted = []
    for step in range(round(seconds * 200)):
        now = step / 200
        if cut_at is not None and now >= cut_at:
            fleet.partitioned = set(fleet.peers[:1])
            if now >= cut_at + 1.0:
                fleet.limit_to_shares(now)
        fleet.advance(now)
        fleet.send_counts(now)
        for _ in range(rng.choice([0, 1, 2])):
            if rng.random() < load * RATE / units / 200:
                fleet.requested.append((now, units))
                pool = fleet.pools[rng.choice(fleet.peers)]
                if pool.spend(units, now):
                    admitted.append((now, units))
    return admitted


def worst_window(admitted):
    return max(
        sum(units for at, units in admitted if start <= at < start + WINDOW)
        for start, _ in admitted
    )


class TestCustomerOverRate:
    """One customer at several times its rate over all instances."""

    @pytest.mark.parametrize("seed", range(4))
    def test_no_window_exceeds_the_bound(self, seed):
        admitted = replay(Fleet(8), load=7.5, seconds=20, seed=seed)
        assert worst_window(admitted) <= BOUND

    def test_customer_gets_its_rate(self):
        admitted = replay(Fleet(8), load=7.5, seconds=20)
        assert sum(units for _, units in admitted) >= RATE * 18

    def test_partitioned_instances_keep_to_their_shares(self):
        admitted = replay(Fleet(8), load=7.5, seconds=20, cut_at=8.0)
        assert worst_window(admitted) <= BOUND


class TestHubs:
    """The bound also holds with sums from hubs, and when the hub changes."""

    @pytest.mark.parametrize("seed", range(4))
    def test_no_window_exceeds_the_bound(self, seed):
        admitted = replay(HubFleet(40), load=7.5, seconds=20, seed=seed)
        assert worst_window(admitted) <= BOUND

    def test_customer_gets_most_of_its_rate(self):
        """Excludes the time without a hub and the tolerance, which is repaid first."""
        admitted = replay(HubFleet(40), load=7.5, seconds=20)
        gap_ratio = HubFleet.GAP_SECONDS / HubFleet.HUB_SECONDS
        owed = RATE * 20 * (1 - gap_ratio) - TERMS.tolerance * 0.75
        assert sum(units for _, units in admitted) >= 0.9 * owed

    def test_bound_fails_if_spending_during_a_hub_change_is_ignored(self, monkeypatch):
        monkeypatch.setattr(
            PooledRateLimit, "reset_peer_counts", lambda pool: pool._peer_counts.clear()
        )
        fleet = HubFleet(40)
        fleet.HUB_SECONDS = 0.9
        admitted = replay(fleet, load=7.5, seconds=20)
        assert worst_window(admitted) > BOUND

    def test_first_count_of_a_peer_does_not_change_the_sum(self):
        pool = PooledRateLimit(TERMS, 0.0)
        a, b = PeerId("a", "1"), PeerId("b", "1")
        assert pool.spent_without(a) == 0.0
        pool.update_peer(b, 900.0, 1.0)
        assert pool.spent_without(a) == 0.0
        pool.update_peer(b, 950.0, 2.0)
        assert (pool.spent_without(a), pool.spent_without(b)) == (50.0, 0.0)


class TestFleetRestart:
    """A customer spends its burst, and all instances are killed at once."""

    @pytest.mark.parametrize("seed", range(4))
    def test_restarted_instances_keep_to_the_bound(self, seed):
        """A sliding window would exceed the bound, as it forgets the spent burst."""
        before = replay(Fleet(8), load=7.5, seconds=2, seed=seed)
        after = replay(Fleet(8), load=7.5, seconds=12, seed=seed + 100)
        admitted = before + [(at + 2.5, units) for at, units in after]
        assert worst_window(admitted) <= BOUND


class TestCustomerWithinRate:
    """A customer within its rate is not refused."""

    def test_half_the_rate_in_bursts_is_admitted(self):
        fleet = Fleet(8)
        fleet.send_counts(0.0)
        admitted = replay(fleet, load=0.5, seconds=20, seed=5)
        offered = replay(Fleet(1), load=0.5, seconds=20, seed=5)
        assert len(admitted) >= len(offered) * 0.98


class TestPool:
    """Level, changes of the rate limit and restarts."""

    @pytest.mark.parametrize("others", [1, 40])
    def test_entries_outside_the_window_are_discarded(self, others):
        pool = PooledRateLimit(TERMS, 0.0)
        pool.limit_to_share(1.0, others, 0.0)
        for step in range(5000):
            now = step / 50
            pool.spend(100.0, now)
            pool.update_peer(PeerId("p", "1"), step * 1.0, now)
        kept = [pool._demand, pool._recent_spent, pool._recent_peer_spent]
        assert max(map(len, kept)) <= 101

    def test_restarted_instance_starts_empty(self):
        pool = PooledRateLimit(RateLimitTerms(100.0, 200.0, 0.0), now=50.0)
        assert not pool.spend(100.0, 50.0)
        assert pool.spend(100.0, 51.0)

    def test_first_count_of_a_peer_is_only_a_baseline(self):
        pool = PooledRateLimit(RateLimitTerms(100.0, 200.0, 0.0), now=0.0)
        pool.update_peer(PeerId("p", "1"), 5000.0, 2.0)
        assert pool.level(2.0) == 200.0
        pool.update_peer(PeerId("p", "1"), 5050.0, 2.0)
        assert pool.level(2.0) == 150.0

    def test_lower_burst_takes_effect_at_once(self):
        pool = PooledRateLimit(RateLimitTerms(100.0, 200.0, 0.0), now=0.0)
        pool.change_terms(RateLimitTerms(10.0, 20.0, 0.0), 5.0)
        assert pool.level(5.0) == 20.0

    def test_retry_delay_is_the_time_until_the_units_are_available(self):
        pool = PooledRateLimit(RateLimitTerms(100.0, 200.0, 0.0), now=0.0)
        wait = pool.seconds_until(100.0, 0.3)
        assert not pool.spend(100.0, 0.3 + wait - 0.01)
        assert pool.spend(100.0, 0.3 + wait)
