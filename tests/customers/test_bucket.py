"""Tests that no window of time holds more than rate and burst."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from guavajunction.configuration import Customer
from guavajunction.customers._bucket import MICRO, Charge, TokenBucket
from guavajunction.customers._local_share import TOTAL_UNITS, Holding
from guavajunction.customers._messages import Transfer
from guavajunction.peers import PeerId

RATE = 10
CAPACITY = 100


def widest_overshoot(
    spent: list[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return the most that any window holds above rate times window plus burst."""
    worst = float("-inf")
    for first, (start, _) in enumerate(spent):
        total = 0.0
        for end, amount in spent[first:]:
            total += amount
            worst = max(worst, total - rate * (end - start) - burst)
    return worst


class TestTokenBucket:
    """One bucket and its refunds."""

    def test_refund_of_a_charge_that_was_refilled_since_is_void(self):
        bucket = TokenBucket(RATE, CAPACITY, 0.0)
        first = bucket.charge(100, 10.0)
        assert first is not None
        assert bucket.level(20.0) == 100
        assert bucket.charge(100, 20.0) is not None
        assert bucket.settle(first, 0, 20.0) == 0
        assert bucket.charge(1, 20.0) is None

    def test_refund_counts_as_if_less_had_been_charged(self):
        bucket = TokenBucket(RATE, CAPACITY, 0.0)
        charge = bucket.charge(80, 10.0)
        assert charge is not None
        assert bucket.settle(charge, 20, 11.0) == 60
        assert bucket.level(11.0) == 90

    @pytest.mark.parametrize(("charge_first", "left"), [(True, 60), (False, 30)])
    def test_refunds_share_the_headroom_that_there_was(self, charge_first, left):
        bucket = TokenBucket(RATE, CAPACITY, 0.0)
        first, second = bucket.charge(50, 10.0), bucket.charge(30, 10.0)
        assert first is not None
        assert second is not None
        # Without these two charges the bucket would have stayed full until 12.
        if charge_first:
            assert bucket.charge(40, 12.0) is not None
        bucket.settle(second, 0, 12.0)
        if not charge_first:
            assert bucket.charge(70, 12.0) is not None
        bucket.settle(first, 0, 12.0)
        assert bucket.level(12.0) == left

    def test_use_above_the_charge_is_taken_from_the_level(self):
        bucket = TokenBucket(RATE, CAPACITY, 0.0)
        charge = bucket.charge(10, 10.0)
        assert charge is not None
        bucket.settle(charge, 120, 10.0)
        assert bucket.level(10.0) == -20
        assert bucket.level(13.0) == 10

    @settings(max_examples=400)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((0, 0, 4, 10)),
                st.sampled_from(("charge", "charge", "settle")),
                st.sampled_from((0, 40, 100)),
                st.integers(0, 1),
            ),
            min_size=5,
            max_size=20,
        )
    )
    def test_no_window_exceeds_rate_and_capacity(self, steps):
        bucket = TokenBucket(RATE, CAPACITY, -CAPACITY / RATE)
        charged: dict[int, tuple[float, Charge]] = {}
        net: dict[int, tuple[float, float]] = {}
        now = 0.0
        for wait, kind, amount, pick in steps:
            now += wait
            if kind == "charge":
                charge = bucket.charge(amount, now)
                if charge is not None:
                    charged[charge.number] = (now, charge)
                    net[charge.number] = (now, charge.cost)
            elif charged:
                number = sorted(charged)[pick % len(charged)]
                at, charge = charged.pop(number)
                used = min(amount, charge.cost)
                back = bucket.settle(charge, used, now)
                assert 0 <= back <= charge.cost - used
                # What was used counts, whatever of the rest was given back.
                net[number] = (at, used)
        spent = [net[number] for number in sorted(net)]
        assert widest_overshoot(spent, RATE, CAPACITY) <= 0


class TestHoldings:
    """Units that move between instances, with messages lost, late and twice."""

    CUSTOMER = Customer("a", rate=10 / MICRO, burst=TOTAL_UNITS / MICRO)
    PEERS = [PeerId(name, f"{name}-1") for name in ("a", "b")]

    def test_the_level_goes_along_with_its_units(self):
        giver, receiver = Holding(self.CUSTOMER, 0.0), Holding(self.CUSTOMER, 0.0)
        giver.grant(TOTAL_UNITS, 0.0, full=True)
        assert giver.charge(TOTAL_UNITS // 2, 0.0) is not None
        receiver.receive(self.PEERS[0], giver.give(self.PEERS[1], 512, 0.0), 0.0)
        assert giver.level(0.0) + receiver.level(0.0) == TOTAL_UNITS // 2

    def test_units_that_refunds_need_stay_until_they_are_settled(self):
        giver, receiver = Holding(self.CUSTOMER, 0.0), Holding(self.CUSTOMER, 0.0)
        giver.grant(TOTAL_UNITS, 0.0, full=True)
        charge = giver.charge(TOTAL_UNITS // 2, 0.0)
        assert charge is not None
        assert giver.givable(0.0) == TOTAL_UNITS // 2
        moved = giver.give(self.PEERS[1], giver.givable(0.0), 0.0)
        assert receiver.receive(self.PEERS[0], moved, 0.0)
        assert receiver.level(0.0) == TOTAL_UNITS // 2
        giver.settle(charge, 0, 0.0)
        assert giver.level(0.0) == giver.givable(0.0) == TOTAL_UNITS // 2

    def test_a_repeat_below_the_floor_adds_nothing(self):
        giver, receiver = Holding(self.CUSTOMER, 0.0), Holding(self.CUSTOMER, 0.0)
        giver.grant(TOTAL_UNITS, 0.0)
        first = giver.give(self.PEERS[1], 512, 0.0)
        assert receiver.receive(self.PEERS[0], first, 0.0)
        giver.acknowledged(self.PEERS[1], first.sequence)
        second = giver.give(self.PEERS[1], 256, 0.0)
        for repeat in (second, first, second):
            assert receiver.receive(self.PEERS[0], repeat, 0.0)
        assert receiver.units == 512 + 256

    @settings(max_examples=400)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((0, 0, 0, 50)),
                st.sampled_from(("charge", "charge", "settle", "give", "arrive")),
                st.integers(0, 1),
                st.sampled_from((256, 512, 1024)),
                st.integers(0, 2),
            ),
            min_size=5,
            max_size=25,
        )
    )
    def test_moving_units_lets_no_window_exceed_rate_and_burst(self, steps):
        holdings = [Holding(self.CUSTOMER, 0.0) for _ in self.PEERS]
        for holding in holdings:
            holding.enter(1)
        holdings[0].grant(TOTAL_UNITS, 0.0, full=True)
        sent: list[tuple[int, int, Transfer]] = []
        charged: list[tuple[int, int, Charge]] = []
        net: list[tuple[float, float]] = []
        now = 0.0
        for wait, kind, who, amount, pick in steps:
            now += wait
            holding = holdings[who]
            if kind == "charge":
                charge = holding.charge(amount, now)
                if charge is not None:
                    charged.append((who, len(net), charge))
                    net.append((now, charge.cost))
            elif kind == "settle" and charged:
                owner, at, charge = charged.pop(pick % len(charged))
                used = min(amount, charge.cost)
                holdings[owner].settle(charge, used, now)
                net[at] = (net[at][0], used)
            elif kind == "give" and holding.units:
                to = 1 - who
                units = min(amount, holding.units)
                transfer = holding.give(self.PEERS[to], units, now)
                sent.append((who, to, transfer))
            elif kind == "arrive" and sent:
                # Never removed: a message may arrive again at any time.
                giver, to, transfer = sent[pick % len(sent)]
                assert holdings[to].receive(self.PEERS[giver], transfer, now)
                holdings[giver].acknowledged(self.PEERS[to], transfer.sequence)
            assert sum(h.units for h in holdings) <= TOTAL_UNITS
        assert widest_overshoot(net, RATE, TOTAL_UNITS) <= 1e-6
