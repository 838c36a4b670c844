"""Tests of how the gateway daemon applies changes from the store."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from fakes_clock import QuickClock
from fakes_gateway import ENGINES, HOST, backend, gateway_settings, request, route
from guavajunction.clock import ManualClock
from guavajunction.errors import DocumentInvalid, InstanceNotReady
from guavajunction.fleet import Member
from guavajunction.gateway import Catalogue, Regions, RequestKind, RouteTable
from guavajunction.intake import ColdLimit
from guavajunction.peers import PeerId
from guavajunction.storage import Changes, RowChange, position
from guavajunction_entry.gateway import (
    DirectoryQuery,
    GatewayDaemon,
    RowAddress,
)


def decode(name, body):
    if body == b"broken":
        raise DocumentInvalid(f"entry {name!r} is broken")
    return backend(name, report_number=int(body))


@pytest.fixture
def daemon():
    deployment = SimpleNamespace(
        store=None,
        caller=None,
        orders=SimpleNamespace(answers=None),
        backend_connections=SimpleNamespace(dialer=None, stray_responses=0),
        configuration_row=RowAddress("configuration", "head"),
        backends_partition="backends",
        decode_backend=decode,
        decode_evacuation=lambda sort: sort.partition("out/")[2] or None,
        decode_configuration=lambda body: catalogue(int(body)),
    )
    return GatewayDaemon(gateway_settings(), deployment, ManualClock())


def catalogue(version):
    return Catalogue(version, (), {}, (), None)


def apply_changes(daemon, *rows, complete=False, era=0):
    changes = tuple(
        RowChange(name, body, position(era, n)) for n, (name, body) in enumerate(rows)
    )
    version = position(era, len(rows))
    daemon._apply_backend_changes(Changes(changes, version, complete))
    return sorted(r.name for r in daemon._registry.of_service(ENGINES))


class TestBackendChanges:
    """Changes of backend servers are applied in order, and decoded once each."""

    def test_server_written_and_removed_in_one_answer_is_removed(self, daemon):
        assert apply_changes(daemon, ("e1", b"1"), ("e2", b"1")) == ["e1", "e2"]
        assert apply_changes(daemon, ("e1", b"2"), ("e1", None)) == ["e2"]

    def test_server_removed_and_written_in_one_answer_is_kept(self, daemon):
        apply_changes(daemon, ("e1", b"1"))
        assert apply_changes(daemon, ("e1", None), ("e1", b"2")) == ["e1"]

    def test_malformed_entry_does_not_affect_the_others(self, daemon):
        assert apply_changes(daemon, ("e1", b"1"), ("x", b"broken"), ("e2", b"1")) == [
            "e1",
            "e2",
        ]

    def test_complete_list_replaces_all_known_servers(self, daemon):
        apply_changes(daemon, ("e1", b"1"))
        assert apply_changes(daemon, ("e2", b"1"), complete=True) == ["e2"]

    def test_entry_is_decoded_once_for_the_registry_and_the_followers(
        self, daemon, monkeypatch
    ):
        decoded = []

        def count(name, body):
            decoded.append((name, body))
            return decode(name, body)

        monkeypatch.setattr(daemon._deployment, "decode_backend", count)
        for number in (b"1", b"2", b"3"):
            rows = (RowChange("e1", number, int(number)),)
            changes = Changes(rows, int(number), complete=number == b"1")
            daemon._publish_to_followers("backends", changes)
            daemon._apply_backend_changes(changes)
        assert decoded == [("e1", b"1"), ("e1", b"2"), ("e1", b"3")]


class TestColdServers:
    """The cold state of entries is applied, and relayed only if it is news."""

    ENTRIES = (
        backend("e1", report_number=1, cold_seconds=3.0),
        backend("e1", report_number=2, cold_seconds=1.8),
        backend("e1", report_number=3, cold_seconds=3.0),
        backend("e1", report_number=4, cold_seconds=0.0),
    )

    def test_heartbeats_that_count_down_are_not_relayed(self, daemon):
        rows = [RowChange("e1", b"%d" % n, n) for n in range(4)]
        daemon._deployment.decode_backend = lambda _, body: self.ENTRIES[int(body)]
        relevant = []
        for before, row in zip([None, *rows], rows, strict=False):
            relevant.append(daemon._has_new_backend_state(before, row))
            daemon._clock.advance(1.2)
        assert relevant == [True, False, True, True]

    def test_entry_that_the_registry_refuses_changes_nothing(self, daemon):
        daemon._limits.cold.configure({ENGINES: ColdLimit(13.0)})
        daemon._deployment.decode_backend = lambda _, body: self.ENTRIES[int(body)]
        apply_changes(daemon, ("e1", b"3"))
        apply_changes(daemon, ("e1", b"0"))
        assert "guavajunction_cold_servers 0" in daemon.metrics.exposition()

    def test_cold_servers_are_a_metric(self, daemon):
        daemon._limits.cold.configure({ENGINES: ColdLimit(13.0)})
        daemon._deployment.decode_backend = lambda _, body: self.ENTRIES[int(body)]
        apply_changes(daemon, ("e1", b"0"))
        assert "guavajunction_cold_servers 1" in daemon.metrics.exposition()


class TestStoreComesBackFromACopy:
    """Backend servers that the copy lacks are kept until they should be back."""

    @pytest.mark.parametrize("complete", [True, False])
    def test_missing_server_is_kept_for_a_while(self, daemon, complete):
        apply_changes(daemon, ("e1", b"1"), ("e2", b"1"))
        lost = [("e2", b"1")] if complete else [("e1", None)]
        assert apply_changes(daemon, *lost, complete=complete, era=1) == ["e1", "e2"]
        daemon._clock.advance(daemon._registry.RETURN_SECONDS)
        daemon._registry.expire()
        assert apply_changes(daemon, era=1) == ["e2"]

    def test_era_is_a_metric(self, daemon):
        apply_changes(daemon, ("e1", b"1"), era=3)
        assert "guavajunction_store_era 3" in daemon.metrics.exposition()

    def test_server_removed_later_in_the_era_is_removed_at_once(self, daemon):
        apply_changes(daemon, ("e1", b"1"), ("e2", b"1"), era=1)
        assert apply_changes(daemon, ("e1", None), era=1) == ["e2"]


class TestFirstConfiguration:
    """After a return of the store, the first configuration is not older than others'.

    An instance that starts may read a row that the operator has not written again yet.
    """

    def hear(self, daemon, version):
        member = Member("x:1", "here", True, True, configuration=version)
        daemon._roster.on_heartbeat(PeerId("other", "1"), member)

    def active(self, daemon):
        daemon._activate_offered()
        routes = daemon._gateway.routes
        return routes.catalogue.version if routes else None

    def test_without_a_return_it_is_active_at_once(self, daemon):
        self.hear(daemon, 9)
        daemon._offer(b"7", 0)
        assert self.active(daemon) == 7

    def test_it_waits_until_the_others_are_heard(self, daemon):
        daemon._offer(b"7", 1)
        assert self.active(daemon) is None
        daemon._clock.advance(daemon.HEAR_MEMBERS_SECONDS)
        assert self.active(daemon) == 7

    def test_it_waits_for_the_version_of_the_others(self, daemon):
        daemon._offer(b"7", 1)
        daemon._clock.advance(daemon.HEAR_MEMBERS_SECONDS)
        self.hear(daemon, 9)
        assert self.active(daemon) is None
        daemon._offer(b"9", 1)
        assert self.active(daemon) == 9

    def test_it_does_not_wait_for_ever(self, daemon):
        daemon._offer(b"7", 1)
        daemon._clock.advance(daemon.MAX_OFFER_SECONDS + 0.1)
        self.hear(daemon, 9)
        assert self.active(daemon) == 7

    def test_a_running_instance_never_goes_back(self, daemon):
        daemon._offer(b"7", 0)
        daemon._offer(b"6", 1)
        assert self.active(daemon) == 7
        daemon._offer(b"8", 1)
        assert self.active(daemon) == 8

    def test_own_version_is_told_to_the_others(self, daemon):
        daemon._offer(b"7", 0)
        assert daemon._own_member().configuration == 7


class TestDirectory:
    """Callers of a host whose routes all have homes are directed there."""

    REGIONS = Regions({"n1": "north", "s1": "south", "w1": "west"})

    @pytest.fixture
    def daemon(self, daemon):
        daemon._queue.regions = self.REGIONS
        daemon._settings = daemon._settings._replace(data_centre="w1")
        for place in ("n1", "s1"):
            self.hear(daemon, place)
        return daemon

    def hear(self, daemon, place, *, ready=True, cut=False):
        peer = PeerId(place, "1")
        daemon._roster.on_heartbeat(peer, Member(f"{place}:1", place, ready, True))
        daemon._roster.on_cut(peer, cut)

    def resolve(self, daemon, *homes, region=None, place=None):
        routes = [
            route(f"r{n}", RequestKind.SAFE, "x", homes=frozenset(one))
            for n, one in enumerate(homes)
        ]
        daemon._gateway.configure(RouteTable(catalogue(1)._replace(routes=routes)))
        return daemon._addresses(DirectoryQuery(HOST, region, place))

    @pytest.mark.parametrize(
        ("homes", "region", "place", "expected"),
        [
            ([["north"]], None, None, ["n1:1"]),
            ([["north"]], "south", None, ["n1:1", "s1:1"]),
            ([["north"]], None, "s1", ["n1:1", "s1:1"]),
            ([["north"], ["north", "south"]], None, None, ["n1:1"]),
            ([["north"], []], None, None, ["n1:1", "s1:1"]),
            ([["east"]], None, None, ["n1:1", "s1:1"]),
            ([["north"]], "nowhere", "nowhere", ["n1:1"]),
        ],
    )
    def test_named_instances(self, daemon, homes, region, place, expected):
        found = self.resolve(daemon, *homes, region=region, place=place)
        assert [one for one in found if one in ("n1:1", "s1:1")] == expected

    def test_cut_instance_at_home_is_named_before_others(self, daemon):
        self.hear(daemon, "n1", cut=True)
        assert self.resolve(daemon, ["north"]) == ["n1:1"]

    def test_all_are_named_if_none_at_home_is_ready(self, daemon):
        self.hear(daemon, "n1", ready=False)
        assert self.resolve(daemon, ["north"]) == ["s1:1"]


class TestRowsOfAHub:
    """After a return, a hub keeps the later of two reports of a backend server."""

    @pytest.fixture
    def daemon(self, daemon):
        daemon._deployment.decode_backend = lambda name, body: backend(
            name, incarnation=int(body[:1]), report_number=int(body[1:])
        )
        return daemon

    @pytest.mark.parametrize(
        ("before", "found", "older"),
        [
            (b"15", b"14", True),
            (b"15", b"15", False),
            (b"15", b"16", False),
            (b"21", b"19", True),
            (b"19", b"21", False),
            (b"15", None, False),
        ],
    )
    def test_age_of_a_report(self, daemon, before, found, older):
        rows = RowChange("e1", before, 5), RowChange("e1", found, position(1, 2))
        assert daemon._is_older_report(*rows) is older


class TestRamps:
    """A new incarnation begins a ramp, unless it is in the first list."""

    def test_server_that_starts_later_ramps_up(self, daemon):
        daemon._limits.paces.is_enabled = True
        apply_changes(daemon, ("e1", b"1"), complete=True)
        daemon._backends_known = True
        apply_changes(daemon, ("e1", b"2"), ("e2", b"1"))
        assert "guavajunction_ramping_servers 1" in daemon.metrics.exposition()
        daemon._on_readmitted("e1")
        assert "guavajunction_ramping_servers 2" in daemon.metrics.exposition()

    def test_pace_is_off_by_default(self, daemon):
        daemon._backends_known = True
        apply_changes(daemon, ("e1", b"1"))
        assert "guavajunction_ramping_servers 0" in daemon.metrics.exposition()


class FakeConnections:
    """Callers that read their answers until some time on a clock."""

    def __init__(self, clock, read_until):
        self._clock = clock
        self._read_until = read_until

    @property
    def unread(self):
        return int(self._clock.monotonic() < self._read_until)


class TestPlannedStop:
    """A process ends when its callers have their answers, or at the deadline."""

    async def stop(self, daemon, reading_seconds):
        """Return the seconds from the signal until the process may end."""
        clock = daemon._clock = QuickClock()
        began = clock.monotonic()
        daemon.stop()
        connections = FakeConnections(clock, began + reading_seconds)
        await daemon._drain_requests(connections)
        return clock.monotonic() - began

    @pytest.mark.parametrize("reading_seconds", [0.0, 2.0])
    async def test_stop_takes_no_longer_than_without_slow_readers(
        self, daemon, reading_seconds
    ):
        seconds = await self.stop(daemon, reading_seconds)
        assert seconds == pytest.approx(GatewayDaemon.MIN_STOP_SECONDS, abs=0.1)

    async def test_slow_reader_gets_the_rest_of_its_answer(self, daemon):
        assert await self.stop(daemon, 4.0) == pytest.approx(4.0, abs=0.1)

    async def test_reader_that_never_ends_does_not_delay_the_deadline(self, daemon):
        seconds = await self.stop(daemon, 1000.0)
        grace = daemon._settings.grace_seconds
        assert grace - 1.0 < seconds < grace

    async def test_request_that_comes_as_the_stop_ends_is_not_sent(self, daemon):
        """Guards against requests that run and whose answers are lost."""
        await self.stop(daemon, 0.0)
        with pytest.raises(InstanceNotReady, match="the instance stops"):
            await daemon._gateway.serve(request("/book/1"), None)
