"""Tests of the set of evacuated data centres, and of the rows that it follows."""

from __future__ import annotations

import eliot
import pytest

from guavajunction.clock import ManualClock
from guavajunction.errors import DocumentInvalid
from guavajunction.evacuation import Evacuations
from guavajunction.storage import Changes, RowChange, position
from guavajunction_entry.gateway._evacuation_rows import EvacuationRows


class Instance:
    """The evacuations of one instance, with the calls of their hooks."""

    def __init__(self):
        self.clock = ManualClock()
        self.evacuations = Evacuations(self.clock)
        self.calls = []
        self.evacuations.on_changed = lambda: self.calls.append("changed")
        self.evacuations.on_ended = self.calls.append
        self.rows = EvacuationRows(self.evacuations, self._decode)

    @staticmethod
    def _decode(sort):
        kind, _, name = sort.partition("/")
        if kind == "out" and not name:
            raise DocumentInvalid(f"the key {sort!r} names no data centre")
        return name if kind == "out" else None

    def apply(self, *rows, complete=False, era=0):
        """Apply rows, given as `x` or, if they were removed, as `-x`."""
        changes = tuple(
            RowChange(row.removeprefix("-"), None if row[0] == "-" else b"{}", 1)
            for row in rows
        )
        self.rows.apply(Changes(changes, position(era, 9), complete))
        return self.names()

    def names(self):
        return {n for n in ("a", "b", "c") if self.evacuations.is_evacuated(n)}


@pytest.fixture
def instance():
    return Instance()


class TestChanges:
    """Each evacuation begins and ends with its row."""

    def test_evacuations_overlap(self, instance):
        assert instance.apply("config", "out/a", complete=True) == {"a"}
        assert instance.apply("out/b") == {"a", "b"}
        assert instance.apply("-out/a", "config") == {"b"}
        assert instance.apply("out/c", complete=True) == {"c"}
        assert instance.calls.count("changed") == 5
        assert [call for call in instance.calls if call != "changed"] == ["a", "b"]

    def test_changes_of_one_answer_apply_in_order(self, instance):
        assert instance.apply("out/a", "-out/a", "out/b") == {"b"}
        assert instance.apply("-out/b", "out/b") == {"b"}

    def test_repeated_row_changes_nothing(self, instance):
        instance.apply("out/a", complete=True)
        instance.apply("out/a", complete=True)
        assert instance.calls == ["changed"]

    def test_nothing_is_known_before_all_rows_are_read(self, instance):
        assert not instance.rows.is_read
        instance.apply("out/a", complete=True)
        assert instance.rows.is_read

    def test_key_without_a_name_is_logged_once_and_ignored(self, instance):
        lines = []
        eliot.add_destinations(lines.append)
        try:
            # eliot keeps the lines of earlier tests until there is a destination.
            lines.clear()
            for _ in range(3):
                assert instance.apply("out/", "out/a", complete=True) == {"a"}
        finally:
            eliot.remove_destination(lines.append)
        assert [line["event"] for line in lines] == [1902, 1900]


class TestReturnOfTheStore:
    """A copy that lacks a row ends no evacuation before the operator wrote again."""

    @pytest.fixture
    def instance(self, instance):
        instance.apply("out/a", "out/b", complete=True)
        instance.apply("out/b", complete=True, era=1)
        assert instance.names() == {"a", "b"}
        return instance

    def after(self, instance, seconds, read_at=float("inf")):
        instance.clock.advance(seconds)
        instance.evacuations.expire(read_at)
        return instance.names()

    def test_row_written_again_stays_in_force(self, instance):
        assert self.after(instance, 2.0) == {"a", "b"}
        instance.apply("out/a", era=1)
        assert self.after(instance, 9.0) == {"a", "b"}
        assert instance.apply("-out/a", era=1) == {"b"}

    def test_row_that_is_not_written_again_ends(self, instance):
        assert self.after(instance, 2.4) == {"a", "b"}
        assert self.after(instance, 0.2) == {"b"}
        assert instance.calls[-2:] == ["a", "changed"]

    def test_later_list_of_the_era_does_not_end_it_early(self, instance):
        assert instance.apply("out/b", complete=True, era=1) == {"a", "b"}
        assert instance.apply("-out/a", era=1) == {"a", "b"}

    def test_another_return_restarts_the_time(self, instance):
        self.after(instance, 2.0)
        instance.apply("out/b", complete=True, era=2)
        assert self.after(instance, 2.0) == {"a", "b"}

    def test_it_is_kept_while_the_store_is_silent(self, instance):
        read_at = instance.clock.monotonic() + 1.0
        assert self.after(instance, 60.0, read_at) == {"a", "b"}
        assert self.after(instance, 0.0, instance.clock.monotonic()) == {"b"}

    def test_removal_that_a_hub_relays_with_the_new_era_is_kept(self):
        instance = Instance()
        instance.apply("out/a", complete=True)
        assert instance.apply("-out/a", era=1) == {"a"}
