"""Tests of what an instance keeps of the statements of backend servers."""

from __future__ import annotations

import pytest

from fakes_clock import ManualClock
from guavajunction.quarantine import BackendId
from guavajunction.statements import ServerStatements

A, B = BackendId("a", 1), BackendId("b", 1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def statements(clock):
    return ServerStatements(clock)


class TestLeaving:
    """A backend server that leaves does so until it restarts."""

    def test_leaving_server_takes_no_requests(self, statements):
        assert statements.may_send(A)
        assert statements.note_leaving([A])
        assert not statements.note_leaving([A])
        assert not statements.may_send(A)
        assert statements.may_send(B)

    def test_restart_under_the_same_name_takes_requests(self, statements):
        statements.note_leaving([A])
        assert statements.may_send(A._replace(incarnation=2))

    def test_only_known_servers_are_told_to_others(self, statements):
        statements.note_leaving([A, B])
        assert statements.leaving_of({B}) == [B]

    def test_memory_is_limited(self, statements):
        statements.note_leaving(BackendId(f"x{n}", n) for n in range(10_000))
        for number in range(10_000):
            statements.note_pause(BackendId(f"x{number}", 1), "9")
        assert len(statements._leaving) == ServerStatements.MAX_SERVERS
        assert len(statements._paused_until) == ServerStatements.MAX_SERVERS


class TestPause:
    """A backend server gets nothing for the time that it named."""

    def test_pause_ends_with_its_time(self, statements, clock):
        statements.note_pause(A, "1.5")
        clock.advance(1.4)
        assert not statements.may_send(A)
        assert statements.pause_left(A) == pytest.approx(0.1)
        clock.advance(0.2)
        assert statements.may_send(A)

    def test_shorter_time_does_not_end_a_longer_one(self, statements, clock):
        statements.note_pause(A, "5")
        statements.note_pause(A, "0.5")
        clock.advance(4.0)
        assert not statements.may_send(A)

    @pytest.mark.parametrize(
        "text", ["", "-1", "nan", "inf", "1e9", "2, 3", "soon", "9" * 400]
    )
    def test_malformed_time_changes_nothing(self, statements, text):
        statements.note_pause(A, text)
        assert statements.may_send(A)

    def test_endless_time_is_limited(self, statements):
        statements.note_pause(A, "999999999999")
        assert statements.pause_left(A) == ServerStatements.MAX_PAUSE_SECONDS
