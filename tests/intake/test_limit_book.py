"""Tests of what is known of the limits that backend servers name."""

from __future__ import annotations

import pytest

from guavajunction.intake import NO_LIMIT, LimitBook, LimitStatement
from guavajunction.quarantine import BackendId

ENGINE = BackendId("e1", 1)


def note(book, text, known=None):
    book.note_answer(ENGINE, text, book.of(ENGINE) if known is None else known)


class TestAnswers:
    """Answers set, change and end a limit, in whatever order they arrive."""

    def test_limit_is_named_changed_and_ended(self):
        book = LimitBook()
        rates = []
        for text in ("1.6", "0.5", "3", None, None, "2"):
            note(book, text)
            rates.append(book.rate(ENGINE))
        assert rates == [1.6, 0.5, 3.0, None, None, 2.0]

    def test_answer_to_an_older_request_does_not_end_a_limit(self):
        book = LimitBook()
        note(book, "2")
        note(book, None, NO_LIMIT)
        note(book, "9", NO_LIMIT)
        assert book.rate(ENGINE) == 2.0

    def test_answer_to_an_older_request_lowers_a_limit(self):
        book = LimitBook()
        note(book, "2")
        note(book, "1", NO_LIMIT)
        assert book.rate(ENGINE) == 1.0

    @pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e9", "2,3", "x" * 9000])
    def test_malformed_limit_changes_nothing(self, text):
        book = LimitBook()
        note(book, text)
        assert book.rate(ENGINE) is None
        note(book, "2")
        note(book, text)
        assert book.rate(ENGINE) == 2.0

    def test_restart_of_a_backend_server_ends_its_limit(self):
        book = LimitBook()
        note(book, "2")
        assert book.rate(BackendId("e1", 2)) is None
        book.keep_only({BackendId("e1", 2)})
        assert not book.all()


class TestPeers:
    """The newest statement holds on all instances."""

    def test_newer_statement_replaces_an_older_one(self):
        first, second = LimitBook(), LimitBook()
        note(first, "2")
        second.merge(first.all())
        note(second, None)
        first.merge(second.all())
        second.merge({ENGINE: LimitStatement(1, 2.0)})
        assert first.rate(ENGINE) is None
        assert second.rate(ENGINE) is None

    def test_lower_one_of_two_concurrent_statements_holds(self):
        first, second = LimitBook(), LimitBook()
        note(first, "2")
        note(second, "1")
        first.merge(second.all())
        second.merge(first.all())
        assert first.rate(ENGINE) == second.rate(ENGINE) == 1.0

    def test_number_of_statements_is_limited(self):
        book = LimitBook()
        for number in range(LimitBook.MAX_BACKENDS + 100):
            book.note_answer(BackendId(f"e{number}", 1), "1", NO_LIMIT)
        assert len(book.all()) == LimitBook.MAX_BACKENDS
