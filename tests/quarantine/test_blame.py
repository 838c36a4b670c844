"""Tests of the choice of the parts that are blamed for crashes."""

from __future__ import annotations

from guavajunction.quarantine import (
    BackendId,
    CrashReport,
    Evidence,
    JoinedEvidence,
    SoundPart,
    find_blamed,
)


def crash(number, *parts, at=100.0):
    return CrashReport(BackendId(f"e{number}", 1), at, parts)


def blame(*crashes, sound=()):
    joined = JoinedEvidence([Evidence(crashes, tuple(sound))], since=0.0)
    return [set(blamed.parts) for blamed in find_blamed(joined)]


class TestBlame:
    """The part that explains the crashes is blamed, and no other one."""

    def test_part_of_three_crashes_is_blamed_and_not_the_parts_beside_it(self):
        assert blame(
            crash(1, "first", "bad", "s1"),
            crash(2, "bad", "s2"),
            crash(3, "bad", "s1", "s3"),
        ) == [{"bad"}]

    def test_two_crashes_blame_nothing(self):
        assert blame(crash(1, "bad"), crash(2, "bad")) == []

    def test_many_reports_of_one_crash_count_once(self):
        assert blame(*[crash(1, "bad") for _ in range(8)]) == []

    def test_crashes_after_a_restart_under_the_same_name_count(self):
        reports = [CrashReport(BackendId("e1", n), 100.0, ("bad",)) for n in range(3)]
        assert blame(*reports) == [{"bad"}]

    def test_answered_first_part_of_all_requests_is_not_blamed(self):
        crashes = [crash(n, "first", "bad") for n in range(5)]
        sound = [SoundPart("first", 99.0)]
        assert blame(*crashes, sound=sound) == [{"bad"}]

    def test_part_that_was_answered_after_the_crashes_is_not_blamed(self):
        crashes = [crash(n, "rare") for n in range(3)]
        assert blame(*crashes, sound=[SoundPart("rare", 120.0)]) == []

    def test_part_that_was_last_answered_long_ago_is_blamed(self):
        crashes = [crash(n, "bad", at=1000.0) for n in range(3)]
        assert blame(*crashes, sound=[SoundPart("bad", 100.0)]) == [{"bad"}]

    def test_crashes_that_a_part_explains_count_against_no_other_part(self):
        crashes = [crash(n, "bad", *(["s1"] if n < 3 else [])) for n in range(4)]
        assert blame(*crashes) == [{"bad"}]

    def test_more_crashes_are_needed_while_backend_servers_crash_for_other_reasons(
        self,
    ):
        others = [crash(n, f"s{n}", at=100.0 + n) for n in range(10, 20)]
        seen = [crash(n, "bad", at=105.0 + 4 * n) for n in range(4)]
        assert blame(*others, *seen[:3]) == []
        assert blame(*others, *seen) == [{"bad"}]

    def test_part_that_shares_one_crash_with_a_worse_one_is_still_blamed(self):
        worse = [crash(n, "worse") for n in range(4)]
        bad = [crash(n, "bad") for n in (3, 4, 5, 6)]
        assert blame(*worse, *bad) in ([{"worse"}, {"bad"}], [{"bad"}, {"worse"}])
        assert blame(*worse, crash(7, "worse"), *bad) == [{"worse"}, {"bad"}]

    def test_two_crashing_parts_are_both_blamed(self):
        crashes = [crash(n, "bad" if n % 2 else "worse") for n in range(8)]
        assert blame(*crashes) in ([{"bad"}, {"worse"}], [{"worse"}, {"bad"}])

    def test_parts_of_the_same_crashes_are_blamed_together_until_one_differs(self):
        crashes = [crash(n, "first", "bad") for n in range(3)]
        assert blame(*crashes) == [{"first", "bad"}]
        assert blame(*crashes, crash(3, "other", "bad")) == [{"bad"}]

    def test_expired_reports_do_not_count(self):
        reports = Evidence((crash(1, "a"), crash(2, "a"), crash(3, "a", at=300.0)))
        assert find_blamed(JoinedEvidence([reports], since=200.0)) == []
