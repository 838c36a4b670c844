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


def repeats(number, prompt=0):
    """Return a key of a request that may be repeated, with its prompt or without."""
    return f"={number:012x}{prompt:012x}"


X = repeats(1)
X_WITH_PROMPT = repeats(1, prompt=1)
SOUND = repeats(2)


class TestBlamedRequests:
    """A request that crashes backend servers is blamed, and not its prompt alone."""

    def test_request_of_three_crashes_is_blamed(self):
        assert blame(*[crash(n, X) for n in range(3)]) == [{X}]
        assert blame(*[crash(n, X) for n in range(2)]) == []

    def test_only_a_request_with_the_same_body_and_the_same_prompt_is_blamed(self):
        crashes = [crash(n, X, X_WITH_PROMPT, "first", "second") for n in range(3)]
        assert blame(*crashes) == [{X, X_WITH_PROMPT, "first", "second"}]

    def test_parts_of_its_prompt_with_one_crash_more_are_not_blamed(self):
        crashes = [crash(n, X, X_WITH_PROMPT, "first") for n in range(4)]
        assert blame(*crashes, crash(4, "first")) == [{X, X_WITH_PROMPT}]

    def test_repeats_with_another_prompt_are_blamed_for_what_they_share(self):
        crashes = [crash(n, X, repeats(1, prompt=n)) for n in range(1, 4)]
        assert blame(*crashes) == [{X}]

    def test_answer_with_the_same_body_leaves_the_prompt_to_blame(self):
        crashes = [crash(n, X, X_WITH_PROMPT) for n in range(3)]
        assert blame(*crashes, sound=[SoundPart(X, 120.0)]) == [{X_WITH_PROMPT}]

    def test_request_that_was_answered_is_not_blamed(self):
        crashes = [crash(n, X) for n in range(5)]
        assert blame(*crashes, sound=[SoundPart(X, 120.0)]) == []

    def test_other_crashes_do_not_raise_the_number_that_a_request_needs(self):
        others = [crash(n, f"s{n}", at=100.0 + n) for n in range(10, 30)]
        seen = [crash(n, X, at=105.0 + 6 * n) for n in range(3)]
        assert blame(*others, *seen) == [{X}]

    def test_request_that_was_present_in_some_of_its_crashes_is_not_blamed(self):
        crashes = [crash(n, X, *([SOUND] if n < 3 else [])) for n in range(4)]
        assert blame(*crashes) == [{X}]

    def test_requests_of_the_same_crashes_are_blamed_until_one_differs(self):
        crashes = [crash(n, X, SOUND, "first") for n in range(3)]
        assert blame(*crashes) in ([{X}, {SOUND}], [{SOUND}, {X}])
        assert blame(*crashes, crash(3, X)) == [{X}]

    def test_two_crashing_requests_with_one_prompt_leave_it_in_use(self):
        crashes = [crash(n, (X, SOUND)[n % 2], "first") for n in range(8)]
        assert {frozenset(b) for b in blame(*crashes)} == {
            frozenset([X]),
            frozenset([SOUND]),
        }

    def test_part_that_crashes_many_different_requests_is_blamed(self):
        crashes = [crash(n, repeats(10 + n // 2), "bad") for n in range(6)]
        assert blame(*crashes) == [{"bad"}]

    def test_part_of_requests_with_one_body_is_blamed_together_with_it(self):
        crashes = [crash(n, X, repeats(1, prompt=n), "bad") for n in range(1, 5)]
        assert blame(*crashes) == [{X, "bad"}]
        assert blame(*crashes, sound=[SoundPart(X, 120.0)]) == [{"bad"}]

    def test_part_beside_a_request_with_crashes_of_its_own_is_blamed(self):
        crashes = [crash(n, X, "bad") for n in range(3)]
        later = [crash(n, repeats(n), "bad") for n in range(10, 13)]
        assert blame(*crashes, *later[:1]) == [{X}]
        assert blame(*crashes, *later) == [{X}, {"bad"}]
