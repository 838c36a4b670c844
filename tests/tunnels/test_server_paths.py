"""Tests of the decision whether an instance is cut from all backend servers."""

from __future__ import annotations

import pytest

from fakes_clock import ManualClock
from guavajunction.quarantine import BackendId
from guavajunction.tunnels import PathState, ServerPaths

SERVERS = 13


def server(number):
    return BackendId(f"b{number}", 1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def paths(clock):
    return ServerPaths(clock)


def probe(paths, reached):
    paths.begin_probe()
    paths.end_probe(reached)


class TestSuspicion:
    """Connections are tried only if the paths of several backend servers fail."""

    def test_nothing_is_tried_in_calm(self, paths, clock):
        paths.begin()
        for _ in range(100):
            clock.advance(0.1)
            paths.note_bytes(clock.monotonic())
            assert not paths.is_probe_due(SERVERS)
        paths.end()
        clock.advance(60.0)
        assert not paths.is_probe_due(SERVERS)

    def test_one_backend_server_that_ends_is_no_reason(self, paths, clock):
        for _ in range(5):
            paths.note_lost(server(1))
            paths.note_refused(server(1))
            clock.advance(0.1)
        assert not paths.is_probe_due(SERVERS)
        assert paths.is_probe_due(1)

    def test_refused_connections_to_two_are_a_reason_while_streams_go_on(
        self, paths, clock
    ):
        paths.note_refused(server(1))
        paths.note_bytes(clock.monotonic())
        paths.note_refused(server(2))
        assert paths.is_probe_due(SERVERS)

    def test_lost_connections_are_no_reason_once_a_server_sends(self, paths, clock):
        paths.note_lost(server(1))
        paths.note_lost(server(2))
        assert paths.is_probe_due(SERVERS)
        paths.note_bytes(clock.monotonic())
        assert not paths.is_probe_due(SERVERS)

    def test_silence_of_all_is_a_reason_while_requests_wait(self, paths, clock):
        paths.begin()
        clock.advance(ServerPaths.SILENCE_SECONDS - 0.1)
        assert not paths.is_probe_due(SERVERS)
        clock.advance(0.2)
        assert paths.is_probe_due(SERVERS)

    def test_server_that_is_silent_for_a_second_is_no_reason_while_others_send(
        self, paths, clock
    ):
        for _ in range(3):
            paths.begin()
        for _ in range(15):
            clock.advance(0.1)
            paths.note_bytes(clock.monotonic())
            assert not paths.is_probe_due(SERVERS)

    def test_failures_far_apart_are_no_reason(self, paths, clock):
        paths.note_refused(server(1))
        clock.advance(ServerPaths.FAILURE_SECONDS + 0.1)
        paths.note_refused(server(2))
        assert not paths.is_probe_due(SERVERS)

    def test_nothing_is_tried_without_known_backend_servers(self, paths, clock):
        paths.note_refused(server(1))
        paths.note_refused(server(2))
        assert not paths.is_probe_due(0)

    def test_memory_is_limited(self, paths):
        for number in range(10_000):
            paths.note_refused(server(number))
        assert len(paths._refused) <= ServerPaths.MAX_FAILURES


class TestState:
    """Only tried connections tell whether an instance is cut."""

    def test_instance_is_cut_from_a_failed_probe_to_a_successful_one(
        self, paths, clock
    ):
        paths.begin_probe()
        assert paths.state is PathState.SUSPECT
        assert not paths.is_probe_due(SERVERS)
        paths.end_probe(False)
        assert paths.is_cut
        paths.note_bytes(clock.monotonic())
        assert paths.is_cut
        assert not paths.is_probe_due(SERVERS)
        clock.advance(ServerPaths.PROBE_INTERVAL_SECONDS)
        assert paths.is_probe_due(SERVERS)
        paths.begin_probe()
        assert paths.is_cut
        paths.end_probe(True)
        assert paths.state is PathState.OPEN

    def test_probes_become_rare_while_they_find_the_paths_open(self, paths, clock):
        probes = 0
        for step in range(600):
            paths.note_refused(server(step % 4))
            if paths.is_probe_due(SERVERS):
                probe(paths, reached=True)
                probes += 1
            clock.advance(0.1)
        assert probes <= 60 / ServerPaths.MAX_PAUSE_SECONDS + 4

    def test_second_cut_soon_after_the_first_one_is_noticed_soon(self, paths, clock):
        probe(paths, reached=False)
        clock.advance(1.0)
        probe(paths, reached=True)
        paths.note_refused(server(1))
        paths.note_refused(server(2))
        clock.advance(ServerPaths.MIN_PAUSE_SECONDS)
        assert paths.is_probe_due(SERVERS)


class TestReplay:
    """A cut of each kind is noticed well before callers count on it."""

    CONTACT_SECONDS = 3.0
    CONNECT_SECONDS = 0.5

    @pytest.mark.parametrize("requests_a_second", [2, 9, 60])
    @pytest.mark.parametrize("kind", ["hang", "refuse", "live on"])
    def test_cut_is_noticed_in_time(self, paths, clock, kind, requests_a_second):
        """Requests arrive evenly; a hanging one fails after a second."""
        noticed_after = None
        started = clock.monotonic()
        hanging = []
        sent = 0
        if kind == "live on":
            paths.begin()
        while clock.monotonic() - started < self.CONTACT_SECONDS:
            now = clock.monotonic() - started
            if kind == "live on":
                paths.note_bytes(clock.monotonic())
            while sent < now * requests_a_second:
                sent += 1
                if kind == "hang":
                    paths.begin()
                    hanging.append((now + 1.0, sent))
                else:
                    paths.note_refused(server(sent % SERVERS))
            for until, number in list(hanging):
                if until <= now:
                    paths.end()
                    paths.note_refused(server(number % SERVERS))
                    hanging.remove((until, number))
            if paths.is_probe_due(SERVERS):
                paths.begin_probe()
                clock.advance(self.CONNECT_SECONDS if kind == "hang" else 0.001)
                paths.end_probe(False)
                noticed_after = clock.monotonic() - started
                break
            clock.advance(0.05)
        assert noticed_after is not None
        assert noticed_after < self.CONTACT_SECONDS - 1.0
