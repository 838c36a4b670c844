"""Tests of the backend registry: merging records, notices and refusals."""

from __future__ import annotations

import pytest

from fakes_gateway import ENGINES, backend
from guavajunction.clock import ManualClock
from guavajunction.gateway import BackendRegistry, HoldingNotice, RetireNotice


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    registry = BackendRegistry(clock)
    registry.put(backend("e1", models=["m1"]))
    return registry


def held(registry, model, adapter=""):
    return registry.holds(registry.get("e1"), model, adapter)


class TestHoldings:
    """Resident models follow from records and notices of the order leader."""

    def test_notice_adds_adapters_before_the_record(self, registry):
        assert not held(registry, "m1", "a1")
        registry.note_holding(HoldingNotice("e1", 1, 4, {"m1": ("a1",)}))
        assert held(registry, "m1", "a1")

    def test_older_notice_is_ignored(self, registry):
        registry.note_holding(HoldingNotice("e1", 1, 4, {"m1": ("a1",)}))
        registry.note_holding(HoldingNotice("e1", 1, 3, {"m1": ()}))
        assert held(registry, "m1", "a1")

    def test_restart_under_the_same_name_discards_notices(self, registry):
        registry.note_holding(HoldingNotice("e1", 1, 4, {"m1": ("a1",)}))
        registry.put(backend("e1", models=["m1"], incarnation=2))
        assert not held(registry, "m1", "a1")

    def test_late_record_of_an_earlier_incarnation_is_ignored(self, registry):
        registry.put(backend("e1", models=["m2"], incarnation=2))
        registry.put(backend("e1", models=["m1"], incarnation=1))
        assert held(registry, "m2")

    def test_notice_adds_models_while_records_are_not_updated(self, registry):
        registry.note_holding(HoldingNotice("e1", 1, 4, {"m1": (), "m2": ()}))
        assert held(registry, "m2")

    def test_retired_model_gets_no_requests_until_the_notice_expires(
        self, registry, clock
    ):
        registry.note_retired(RetireNotice("e1", 1, "m1"))
        assert not held(registry, "m1")
        clock.advance(registry.RETIRED_SECONDS + 0.1)
        assert held(registry, "m1")

    def test_refusal_for_a_missing_model_overrides_the_record_for_a_while(
        self, registry, clock
    ):
        registry.note_missing("e1", "m1")
        assert not held(registry, "m1")
        assert registry.refused_by("m1") == ("e1",)
        clock.advance(registry.MISSING_SECONDS + 0.1)
        assert held(registry, "m1")


class TestAvailability:
    """Which backend servers get new work."""

    def test_complete_list_removes_unlisted_backend_servers(self, registry):
        registry.replace_all([backend("e2")])
        assert [record.name for record in registry.records()] == ["e2"]

    def test_draining_backend_server_gets_no_new_work(self, registry):
        registry.put(backend("e1", draining=True))
        assert not registry.of_service(ENGINES)

    def test_older_heartbeat_does_not_cancel_draining(self, registry):
        registry.put(backend("e1", draining=True, report_number=9))
        registry.put(backend("e1", report_number=8))
        assert not registry.of_service(ENGINES)
        registry.drop("e1")
        registry.put(backend("e1", report_number=8))
        assert not registry.of_service(ENGINES)

    def test_removed_backend_server_returns_with_its_next_heartbeat(self, registry):
        registry.put(backend("e1", report_number=9))
        registry.drop("e1")
        registry.put(backend("e1", report_number=10))
        assert registry.of_service(ENGINES)

    def test_refused_connection_excludes_it_for_a_while_or_until_a_restart(
        self, registry, clock
    ):
        registry.note_unreachable(registry.get("e1"))
        assert not registry.reachable(ENGINES)
        clock.advance(registry.UNREACHABLE_PAUSE_SECONDS + 0.1)
        assert registry.reachable(ENGINES)
        registry.note_unreachable(registry.get("e1"))
        registry.put(backend("e1", incarnation=2))
        assert registry.reachable(ENGINES)


class TestStoreComesBackFromACopy:
    """Records may be missing, or there again, until backend servers write them."""

    def test_missing_backend_server_is_kept_until_it_writes_again(
        self, registry, clock
    ):
        registry.replace_all([], keep_missing=True)
        clock.advance(registry.RETURN_SECONDS - 0.1)
        registry.expire()
        assert registry.of_service(ENGINES)
        registry.put(backend("e1", report_number=7))
        clock.advance(1.0)
        registry.expire()
        assert registry.of_service(ENGINES)

    def test_backend_server_that_stays_missing_is_removed(self, registry, clock):
        registry.replace_all([], keep_missing=True)
        clock.advance(registry.RETURN_SECONDS - 0.1)
        registry.replace_all([], keep_missing=True)
        clock.advance(0.2)
        registry.expire()
        assert not registry.of_service(ENGINES)

    def test_removed_backend_server_does_not_come_back(self, registry):
        registry.put(backend("e1", report_number=9))
        registry.drop("e1")
        registry.replace_all([backend("e1", report_number=9)])
        assert not registry.of_service(ENGINES)

    def test_backend_server_that_left_stays_draining(self, registry):
        registry.put(backend("e1", draining=True, report_number=9))
        registry.replace_all([backend("e1", report_number=7)], keep_missing=True)
        assert not registry.of_service(ENGINES)
