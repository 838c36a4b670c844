"""Replays of what a process holds for its callers, without a network."""

from __future__ import annotations

import random

import pytest

from guavajunction.clock import ManualClock
from guavajunction.errors import MemoryShort
from guavajunction.memory import (
    ConnectionSlots,
    Held,
    MemoryBudget,
    ParsingMeter,
    ParsingUse,
    Standing,
    choose_shed,
)
from guavajunction.metrics import MetricsRegistry

MB = 1_000_000
NOW = 100.0


def held(number, **changes):
    fresh = Held(number, Standing.KNOWN, "a", MB, MB // 2, NOW - 0.5, NOW - 0.1)
    return fresh._replace(**changes)


class TestChooseShed:
    """The choice guards ordinary callers against those that fill the memory."""

    def test_unknown_callers_are_shed_first(self):
        requests = [held(1), held(2, standing=Standing.UNKNOWN, customer="")]
        assert choose_shed(requests, held(9, reserved=0), MB, NOW) == [2]

    def test_unknown_caller_sheds_no_known_one(self):
        requests = [held(1, last_received_at=0.0)]
        asking = held(9, standing=Standing.UNKNOWN, customer="", reserved=0)
        assert choose_shed(requests, asking, MB, NOW) == []

    def test_silent_sender_is_shed_before_a_fast_one(self):
        requests = [held(1), held(2, last_received_at=NOW - 2)]
        assert choose_shed(requests, held(9, reserved=0), MB, NOW) == [2]

    def test_trickling_sender_is_shed(self):
        requests = [held(1), held(2, began_at=NOW - 60, received=1000)]
        assert choose_shed(requests, held(9, reserved=0), MB, NOW) == [2]

    def test_fast_senders_of_one_customer_do_not_shed_each_other(self):
        requests = [held(number) for number in range(20)]
        assert choose_shed(requests, held(99, reserved=0), MB, NOW) == []

    def test_customer_that_holds_most_makes_room_for_another(self):
        requests = [held(n) for n in range(10)] + [held(20, customer="b")]
        asking = held(99, customer="c", reserved=0)
        (number,) = choose_shed(requests, asking, MB, NOW)
        assert number < 10

    def test_sent_request_is_never_shed(self):
        requests = [held(1, standing=Standing.SENT, last_received_at=0.0)]
        assert choose_shed(requests, held(9, reserved=0), MB, NOW) == []

    def test_nothing_is_shed_if_it_would_not_be_enough(self):
        requests = [held(1, last_received_at=0.0)]
        assert choose_shed(requests, held(9, reserved=0), 2 * MB, NOW) == []


class TestBudget:
    """The sum of reservations stays in its limit, whatever the callers do."""

    def test_replay_of_a_crowd_stays_in_the_limit_and_serves_ordinary_callers(self):
        rng = random.Random(7)
        clock = ManualClock()
        budget = MemoryBudget(40 * MB, clock, MetricsRegistry())
        crowd, served, refused, shed = [], 0, 0, []
        for _ in range(3000):
            clock.advance(0.01)
            holding = budget.hold(lambda: shed.append(1))
            try:
                holding.note_known("crowd")
                holding.reserve(rng.randrange(100_000, MB))
                crowd.append(holding)
            except MemoryShort:
                budget.end(holding)
            with budget.hold(lambda: shed.append(1)) as ordinary:
                ordinary.note_known("ordinary")
                try:
                    ordinary.reserve(3000)
                    served += 1
                except MemoryShort:
                    refused += 1
            assert 0 <= budget.reserved <= 40 * MB
        assert (served, refused) == (3000, 0)
        assert shed
        for holding in crowd:
            budget.end(holding)
        assert budget.reserved == 0

    def test_largest_request_is_served_alone(self):
        budget = MemoryBudget(MB, ManualClock(), MetricsRegistry())
        with budget.hold(lambda: None) as holding:
            holding.reserve(1000)
            holding.reserve(50 * MB)
            assert budget.reserved == 50 * MB + 1000

    def test_without_a_limit_nothing_is_refused(self):
        budget = MemoryBudget(None, ManualClock(), MetricsRegistry())
        holdings = [budget.hold(lambda: None) for _ in range(100)]
        for holding in holdings:
            holding.reserve(100 * MB)
        assert not any(holding.is_shed for holding in holdings)


class _Connection:
    def __init__(self, *, at, served=0, receiving=False, running=False, unread=False):
        self.last_received_at = at
        self.served = served
        self.is_receiving = receiving
        self.has_unread = unread
        self.is_running = running
        self.is_closed = False

    def shed(self):
        self.is_closed = True


class TestConnectionSlots:
    """Silent connections do not take all descriptors."""

    def slots(self, limit):
        clock = ManualClock()
        clock.advance(50.0)
        descriptors = round(limit / ConnectionSlots.CALLERS_SHARE) + 1
        descriptors += ConnectionSlots.FILES
        return ConnectionSlots(descriptors, clock, MetricsRegistry())

    def test_silent_connection_makes_room_for_a_new_one(self):
        slots = self.slots(2)
        now = slots._clock.monotonic()
        silent, used = _Connection(at=now - 9), _Connection(at=now - 20, served=3)
        assert slots.add(silent)
        assert slots.add(used)
        assert slots.add(_Connection(at=now))
        assert (silent.is_closed, used.is_closed) == (True, False)
        assert slots.open == slots.limit == 2

    @pytest.mark.parametrize("state", ["running", "receiving", "unread"])
    def test_working_connections_are_kept_and_the_new_one_is_refused(self, state):
        slots = self.slots(2)
        now = slots._clock.monotonic()
        working = [_Connection(at=now - 0.1, **{state: True}) for _ in range(2)]
        assert all(slots.add(connection) for connection in working)
        assert not slots.add(_Connection(at=now))
        assert not any(connection.is_closed for connection in working)


class TestParsingMeter:
    """Parsing of a crowd takes a bounded share of the time."""

    def test_crowd_rests_and_ordinary_connections_do_not(self):
        meter = ParsingMeter()
        uses = [ParsingUse() for _ in range(150)]
        free_at = [0.0] * len(uses)
        parsed = 0.0
        for step in range(6000):
            now = step * 0.01
            for number, use in enumerate(uses):
                if now >= free_at[number]:
                    free_at[number] = now + meter.note(use, 0.002, now)
                    parsed += 0.002
            assert meter.note(ParsingUse(), 0.002, now) == 0.0
        shares = ParsingMeter.SHARE + len(uses) * ParsingMeter.OWN_SHARE
        at_once = len(uses) * (ParsingMeter.OWN_FREE_SECONDS + 0.002)
        assert parsed < 60 * shares + at_once + ParsingMeter.FREE_SECONDS
