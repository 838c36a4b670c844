"""Tests of the state of cold backend servers."""

from __future__ import annotations

import pytest

from fakes_clock import ManualClock
from guavajunction.intake import ColdBounds, ColdLimit, ColdNews, ColdServers
from guavajunction.quarantine import BackendId

ENGINE = BackendId("e1", 1)
SERVICE = "engines"
LATE = ColdServers.RELAY_TOLERANCE_SECONDS


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def cold(clock):
    servers = ColdServers(clock)
    servers.configure({SERVICE: ColdLimit(13.0, 3.0)})
    return servers


class TestEntries:
    """The newest entry decides until when a backend server is cold."""

    def test_cold_server_is_limited_until_its_time_has_passed(self, cold, clock):
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        clock.advance(2.9)
        assert cold.rate(ENGINE) == 13.0
        clock.advance(0.1 + LATE)
        assert cold.rate(ENGINE) is None

    def test_repeated_entry_does_not_extend_the_time(self, cold, clock):
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        clock.advance(2.0)
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        clock.advance(1.0 + LATE)
        assert cold.rate(ENGINE) is None

    def test_older_entry_of_a_peer_does_not_make_it_cold_again(self, cold):
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        told = cold.entries()
        cold.note_entry(ENGINE, SERVICE, 2, 0.0)
        cold.note_peer(told)
        assert cold.rate(ENGINE) is None

    def test_peers_that_repeat_each_other_do_not_extend_the_time(self, cold, clock):
        other = ColdServers(clock)
        other.configure({SERVICE: ColdLimit(13.0, 3.0)})
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        for _ in range(20):
            clock.advance(0.2)
            other.note_peer(cold.entries())
            cold.note_peer(other.entries())
        assert other.rate(ENGINE) is None
        assert cold.rate(ENGINE) is None

    def test_server_may_become_cold_again(self, cold, clock):
        cold.note_entry(ENGINE, SERVICE, 1, 1.0)
        clock.advance(5.0)
        cold.note_entry(ENGINE, SERVICE, 5, 3.0)
        assert cold.rate(ENGINE) == 13.0

    def test_service_without_a_cold_rate_is_not_limited(self, cold):
        cold.note_entry(ENGINE, "bookings", 1, 3.0)
        assert cold.rate(ENGINE) is None
        assert cold.count() == 0

    def test_rate_that_is_configured_later_holds(self, cold):
        cold.note_entry(ENGINE, "bookings", 1, 3.0)
        cold.configure({"bookings": ColdLimit(7.0)})
        assert cold.rate(ENGINE) == 7.0

    def test_rate_of_a_peer_holds_before_the_own_entry_arrives(self, cold, clock):
        other = ColdServers(clock)
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        other.note_peer(cold.entries())
        other.keep_only(set())
        assert other.rate(ENGINE) == 13.0

    def test_huge_time_is_not_respected(self, cold, clock):
        cold.note_entry(ENGINE, SERVICE, 1, 1e12)
        clock.advance(ColdServers.MAX_SECONDS + LATE)
        assert cold.rate(ENGINE) is None


class TestReturn:
    """After an evacuation a server counts as cold until a later entry says else."""

    def test_returned_server_is_cold_for_the_configured_time(self, cold, clock):
        cold.note_entry(ENGINE, SERVICE, 1, 0.0)
        cold.note_returned(ENGINE, SERVICE)
        clock.advance(2.9)
        assert cold.rate(ENGINE) == 13.0
        clock.advance(0.1)
        cold.expire()
        assert cold.rate(ENGINE) is None

    def test_entry_from_before_the_return_does_not_end_it(self, cold, clock):
        cold.note_returned(ENGINE, SERVICE)
        clock.advance(1.1)
        cold.note_entry(ENGINE, SERVICE, 1, 0.0)
        assert cold.rate(ENGINE) == 13.0

    def test_later_entry_ends_it(self, cold, clock):
        cold.note_returned(ENGINE, SERVICE)
        clock.advance(1.3)
        cold.note_entry(ENGINE, SERVICE, 1, 0.0)
        assert cold.rate(ENGINE) is None

    def test_later_entry_may_extend_it(self, cold, clock):
        cold.note_returned(ENGINE, SERVICE)
        clock.advance(1.3)
        cold.note_entry(ENGINE, SERVICE, 1, 3.0)
        clock.advance(2.9)
        assert cold.rate(ENGINE) == 13.0


class TestNews:
    """A hub relays the entries that followers need, and not each heartbeat."""

    def test_heartbeats_of_a_cold_server_are_not_relayed(self, clock):
        news = ColdNews(clock)
        relayed = []
        for seconds in (3.0, 1.8, 0.6, 0.0, 0.0):
            relayed.append(news.is_news(ENGINE, seconds))
            clock.advance(1.25)
        assert relayed == [True, False, False, False, False]

    def test_server_that_becomes_cold_again_between_heartbeats_is_relayed(self, clock):
        news = ColdNews(clock)
        assert news.is_news(ENGINE, 2.0)
        clock.advance(1.2)
        assert news.is_news(ENGINE, 1.8)

    def test_early_end_is_relayed(self, clock):
        news = ColdNews(clock)
        assert news.is_news(ENGINE, 3.0)
        clock.advance(1.2)
        assert news.is_news(ENGINE, 0.0)

    def test_end_of_a_follower_is_never_before_the_true_one(self, clock):
        """Entries that a hub does not relay must not be needed for the bound."""
        news, follower = ColdNews(clock), ColdServers(clock)
        follower.configure({SERVICE: ColdLimit(13.0)})
        true_end = 0.0
        for number in range(200):
            # A server becomes cold again at any moment, for a different time.
            if number % 7 in (0, 3, 4):
                true_end = clock.monotonic() + 0.3 * (number % 11)
            left = max(0.0, true_end - clock.monotonic())
            if news.is_news(ENGINE, left):
                follower.note_entry(ENGINE, SERVICE, number, left)
            assert follower.is_cold(ENGINE) or left <= 0.0
            clock.advance(0.4)


class TestBounds:
    """What two instances hand out at once stays within the bound of a second."""

    @pytest.mark.parametrize("rate", [0.3, 2.0, 13.0, 200.0])
    @pytest.mark.parametrize("overshoot", [1.0, 1.5, 3.0])
    @pytest.mark.parametrize("slack", [0.0, 2.0, 5.0])
    def test_two_desks_stay_within_the_bound(self, rate, overshoot, slack):
        bounds = ColdBounds(overshoot, slack)
        granted = bounds.granted_rate(rate)
        share = bounds.first_share(rate)
        assert granted <= rate
        if share:
            assert granted * (1 + share) * 1.25 + 2 <= bounds.most(rate) + 1e-9
