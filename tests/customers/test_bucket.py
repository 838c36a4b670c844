"""Tests that the net charges of any time window stay within rate and burst."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from guavajunction.configuration import Customer
from guavajunction.customers._bucket import MICROTOKENS_PER_TOKEN, Charge, TokenBucket
from guavajunction.customers._local_share import TOTAL_UNITS, LocalShare
from guavajunction.customers._messages import Transfer
from guavajunction.peers import PeerId

RATE = 10
CAPACITY = 100


def widest_overshoot(
    spent: list[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return the largest excess of a window over rate times window plus burst."""
    worst = float("-inf")
    for first, (start, _) in enumerate(spent):
        total = 0.0
        for end, amount in spent[first:]:
            total += amount
            worst = max(worst, total - rate * (end - start) - burst)
    return worst


class TestTokenBucket:
    """Refunds of a single bucket."""

    def test_charge_is_not_refunded_after_the_bucket_was_full_again(self):
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
    def test_refunds_together_are_limited_by_the_smallest_headroom(
        self, charge_first, left
    ):
        bucket = TokenBucket(RATE, CAPACITY, 0.0)
        first, second = bucket.charge(50, 10.0), bucket.charge(30, 10.0)
        assert first is not None
        assert second is not None
        # Without these two charges, the bucket would have been full until time 12.
        if charge_first:
            assert bucket.charge(40, 12.0) is not None
        bucket.settle(second, 0, 12.0)
        if not charge_first:
            assert bucket.charge(70, 12.0) is not None
        bucket.settle(first, 0, 12.0)
        assert bucket.level(12.0) == left

    def test_use_above_the_charge_is_deducted_from_the_level(self):
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
                refund = bucket.settle(charge, used, now)
                assert 0 <= refund <= charge.cost - used
                # Only the used part counts, whatever part of the rest was refunded.
                net[number] = (at, used)
        spent = [net[number] for number in sorted(net)]
        assert widest_overshoot(spent, RATE, CAPACITY) <= 0


class TestLocalShares:
    """Units that move between instances by late and repeated messages."""

    CUSTOMER = Customer(
        "a", rate=10 / MICROTOKENS_PER_TOKEN, burst=TOTAL_UNITS / MICROTOKENS_PER_TOKEN
    )
    PEERS = [PeerId(name, f"{name}-1") for name in ("a", "b")]

    def test_transferred_units_carry_their_part_of_the_level(self):
        giver, receiver = LocalShare(self.CUSTOMER, 0.0), LocalShare(self.CUSTOMER, 0.0)
        giver.grant(TOTAL_UNITS, 0.0, full=True)
        assert giver.charge(TOTAL_UNITS // 2, 0.0) is not None
        receiver.receive(
            self.PEERS[0], giver.create_transfer(self.PEERS[1], 512, 0.0), 0.0
        )
        assert giver.level(0.0) + receiver.level(0.0) == TOTAL_UNITS // 2

    def test_units_needed_for_refunds_are_not_transferable_until_settled(self):
        giver, receiver = LocalShare(self.CUSTOMER, 0.0), LocalShare(self.CUSTOMER, 0.0)
        giver.grant(TOTAL_UNITS, 0.0, full=True)
        charge = giver.charge(TOTAL_UNITS // 2, 0.0)
        assert charge is not None
        assert giver.transferable_units(0.0) == TOTAL_UNITS // 2
        moved = giver.create_transfer(self.PEERS[1], giver.transferable_units(0.0), 0.0)
        assert receiver.receive(self.PEERS[0], moved, 0.0)
        assert receiver.level(0.0) == TOTAL_UNITS // 2
        giver.settle(charge, 0, 0.0)
        assert giver.level(0.0) == giver.transferable_units(0.0) == TOTAL_UNITS // 2

    def test_repeated_transfer_below_the_floor_adds_no_units(self):
        giver, receiver = LocalShare(self.CUSTOMER, 0.0), LocalShare(self.CUSTOMER, 0.0)
        giver.grant(TOTAL_UNITS, 0.0)
        first = giver.create_transfer(self.PEERS[1], 512, 0.0)
        assert receiver.receive(self.PEERS[0], first, 0.0)
        giver.confirm_transfer(self.PEERS[1], first.sequence)
        second = giver.create_transfer(self.PEERS[1], 256, 0.0)
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
    def test_no_window_exceeds_rate_and_burst_while_units_move(self, steps):
        local_shares = [LocalShare(self.CUSTOMER, 0.0) for _ in self.PEERS]
        for local_share in local_shares:
            local_share.enter_epoch(1)
        local_shares[0].grant(TOTAL_UNITS, 0.0, full=True)
        sent: list[tuple[int, int, Transfer]] = []
        charged: list[tuple[int, int, Charge]] = []
        net: list[tuple[float, float]] = []
        now = 0.0
        for wait, kind, who, amount, pick in steps:
            now += wait
            local_share = local_shares[who]
            if kind == "charge":
                charge = local_share.charge(amount, now)
                if charge is not None:
                    charged.append((who, len(net), charge))
                    net.append((now, charge.cost))
            elif kind == "settle" and charged:
                owner, at, charge = charged.pop(pick % len(charged))
                used = min(amount, charge.cost)
                local_shares[owner].settle(charge, used, now)
                net[at] = (net[at][0], used)
            elif kind == "give" and local_share.units:
                to = 1 - who
                units = min(amount, local_share.units)
                transfer = local_share.create_transfer(self.PEERS[to], units, now)
                sent.append((who, to, transfer))
            elif kind == "arrive" and sent:
                # Not removed from `sent`, since a message may arrive repeatedly.
                giver, to, transfer = sent[pick % len(sent)]
                assert local_shares[to].receive(self.PEERS[giver], transfer, now)
                local_shares[giver].confirm_transfer(self.PEERS[to], transfer.sequence)
            assert sum(share.units for share in local_shares) <= TOTAL_UNITS
        assert widest_overshoot(net, RATE, TOTAL_UNITS) <= 1e-6
