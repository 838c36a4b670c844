"""Tests of what an instance believes of backend servers."""

from __future__ import annotations

import pytest

from fakes_gateway import ENGINES, backend
from guavajunction.clock import ManualClock
from guavajunction.gateway import BackendBook, HoldingNotice, RetireNotice


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def book(clock):
    book = BackendBook(clock)
    book.put(backend("e1", models=["m1"]))
    return book


def held(book, model, adapter=""):
    return book.holds(book.get("e1"), model, adapter)


class TestHoldings:
    """Records and the author's notices together say who holds what."""

    def test_notice_tells_of_adapters_before_the_record(self, book):
        assert not held(book, "m1", "a1")
        book.note_holding(HoldingNotice("e1", 1, 4, {"m1": ("a1",)}))
        assert held(book, "m1", "a1")

    def test_older_notice_changes_nothing(self, book):
        book.note_holding(HoldingNotice("e1", 1, 4, {"m1": ("a1",)}))
        book.note_holding(HoldingNotice("e1", 1, 3, {"m1": ()}))
        assert held(book, "m1", "a1")

    def test_restart_under_the_same_name_forgets_everything(self, book):
        book.note_holding(HoldingNotice("e1", 1, 4, {"m1": ("a1",)}))
        book.put(backend("e1", models=["m1"], incarnation=2))
        assert not held(book, "m1", "a1")

    def test_late_record_of_an_earlier_start_is_ignored(self, book):
        book.put(backend("e1", models=["m2"], incarnation=2))
        book.put(backend("e1", models=["m1"], incarnation=1))
        assert held(book, "m2")

    def test_model_is_known_by_notice_while_records_stand_still(self, book):
        book.note_holding(HoldingNotice("e1", 1, 4, {"m1": (), "m2": ()}))
        assert held(book, "m2")

    def test_retired_model_gets_nothing_until_the_notice_lapses(self, book, clock):
        book.note_retired(RetireNotice("e1", 1, "m1"))
        assert not held(book, "m1")
        clock.advance(book.RETIRED_SECONDS + 0.1)
        assert held(book, "m1")

    def test_refusal_for_want_of_a_model_is_believed_for_a_while(self, book, clock):
        book.note_missing("e1", "m1")
        assert not held(book, "m1")
        assert book.lacking("m1") == ("e1",)
        clock.advance(book.MISSING_SECONDS + 0.1)
        assert held(book, "m1")


class TestPresence:
    """Who takes new work."""

    def test_complete_list_drops_who_is_not_on_it(self, book):
        book.replace_all([backend("e2")])
        assert [record.name for record in book.records()] == ["e2"]

    def test_leaving_backend_server_takes_no_new_work(self, book):
        book.put(backend("e1", draining=True))
        assert not book.of_service(ENGINES)

    def test_older_heartbeat_takes_no_leaving_back(self, book):
        book.put(backend("e1", draining=True, report_number=9))
        book.put(backend("e1", report_number=8))
        assert not book.of_service(ENGINES)
        book.drop("e1")
        book.put(backend("e1", report_number=8))
        assert not book.of_service(ENGINES)

    def test_entry_that_lapsed_comes_back_with_its_next_heartbeat(self, book):
        book.put(backend("e1", report_number=9))
        book.drop("e1")
        book.put(backend("e1", report_number=10))
        assert book.of_service(ENGINES)

    def test_refused_connection_leaves_it_out_until_it_lapses_or_restarts(
        self, book, clock
    ):
        book.note_unreachable(book.get("e1"))
        assert not book.reachable(ENGINES)
        clock.advance(book.UNREACHABLE_SECONDS + 0.1)
        assert book.reachable(ENGINES)
        book.note_unreachable(book.get("e1"))
        book.put(backend("e1", incarnation=2))
        assert book.reachable(ENGINES)
