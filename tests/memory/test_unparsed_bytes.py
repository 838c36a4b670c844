"""Tests of the bound on bytes of requests that were not parsed."""

from __future__ import annotations

import random

import pytest

from fakes_clock import QuickClock
from guavajunction.memory import UnparsedBytes
from guavajunction.metrics import MetricsRegistry

LIMIT = 100_000


class Holder:
    """A connection that remembers whether it was refused."""

    def __init__(self):
        self.is_refused = False

    def refuse_unparsed(self):
        self.is_refused = True


@pytest.fixture
def unparsed():
    return UnparsedBytes(LIMIT, QuickClock(), MetricsRegistry())


class TestUnparsedBytes:
    """The connection that has held bytes for longest makes room."""

    def test_oldest_is_refused_whoever_asks(self, unparsed):
        holders = [Holder() for _ in range(3)]
        for holder in holders:
            unparsed.hold(holder, 30_000)
        unparsed.hold(holders[1], 41_000)
        assert [holder.is_refused for holder in holders] == [True, False, False]
        assert unparsed.held == 71_000

    def test_only_holder_keeps_its_bytes(self, unparsed):
        holder = Holder()
        unparsed.hold(holder, 2 * LIMIT)
        assert not holder.is_refused

    def test_ordinary_heads_in_two_parts_are_kept_under_a_crowd(self, unparsed):
        """Replays 7,000 connections that each stop before the end of a large head."""
        rng = random.Random(1)
        for number in range(7_000):
            unparsed.hold(Holder(), rng.randrange(4_000, 16_000))
            assert unparsed.held <= LIMIT
            if number % 10 == 0:
                ordinary = Holder()
                unparsed.hold(ordinary, rng.randrange(1, UnparsedBytes.SMALL_BYTES))
                unparsed.hold(Holder(), 16_000)
                assert not ordinary.is_refused
                unparsed.hold(ordinary, 0)

    def test_released_bytes_are_not_counted(self, unparsed):
        holders = [Holder() for _ in range(50)]
        for holder in holders:
            unparsed.hold(holder, 90_000)
            unparsed.hold(holder, 0)
        assert unparsed.held == 0
        assert not any(holder.is_refused for holder in holders)
