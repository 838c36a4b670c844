"""Tests of an instance's view of the parts that crash backend servers."""

from __future__ import annotations

import random

import msgspec
import pytest

from fakes_clock import ManualClock
from guavajunction.quarantine import BackendId, Evidence, PartQuarantine

ROW_BYTES = 65_536


class Fleet:
    """Instances that receive all reports of each other."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.ended = []
        self.instances = [self._start() for _ in range(count)]

    def _start(self):
        return PartQuarantine(self.clock, self.clock.monotonic)

    def restart(self, number):
        """Replace an instance by one that reads all reports."""
        self.ended.append(self.instances[number])
        self.instances[number] = self._start()
        self._exchange()

    def settle(self):
        self.clock.advance(PartQuarantine.CONFIRM_SECONDS)
        for instance in self.instances:
            instance.settle()
        self._exchange()

    def _exchange(self):
        for instance in self.instances:
            for other in (*self.instances, *self.ended):
                if other is not instance:
                    instance.merge(f"i{id(other)}", other.own())

    def crash(self, backend, lost):
        """End a backend server; `lost` has the parts of each instance's request."""
        for number, parts in lost.items():
            self.instances[number].note_lost(
                backend, parts, answer_seconds=0.0, chunks=0
            )
        self.settle()


def lose(quarantine, number, *parts, seconds=0.0, chunks=0):
    quarantine.note_lost(
        BackendId(f"e{number}", 1), parts, answer_seconds=seconds, chunks=chunks
    )


def one():
    clock = ManualClock()
    return PartQuarantine(clock, clock.monotonic), clock


def blame(quarantine, clock, part="bad", crashes=3):
    for number in range(crashes):
        lose(quarantine, f"{part}{number}", part)
    clock.advance(1.0)
    quarantine.settle()


class TestJoining:
    """Each crash is seen by another instance, and all of them blame the part."""

    @pytest.mark.parametrize("count", [8, 80])
    def test_reports_of_different_instances_add_up(self, count):
        fleet = Fleet(count)
        fleet.instances[5].note_answered(["first"])
        for number in range(3):
            lost = {number * 2: ["first", "bad"], number * 2 + 1: [f"s{number}"]}
            fleet.crash(BackendId(f"e{number}", 1), lost)
        for instance in fleet.instances:
            assert instance.blamed_in(["other", "bad", "last"]) is not None
            assert instance.blamed_in(["first", "s1", "last"]) is None

    def test_instance_that_starts_later_reads_what_ended_instances_reported(self):
        fleet = Fleet(8)
        for number in range(3):
            fleet.crash(BackendId(f"e{number}", 1), {number: ["bad"]})
            fleet.restart(number)
        assert all(i.blamed_in(["bad", "x"]) for i in fleet.instances)

    def test_lost_report_is_taken_over(self):
        fleet = Fleet(2)
        for number in range(3):
            fleet.crash(BackendId(f"e{number}", 1), {0: ["bad"]})
        fleet.instances[1].adopt_missing([])
        alone = PartQuarantine(fleet.clock, fleet.clock.monotonic)
        alone.merge("i1", fleet.instances[1].own())
        assert alone.blamed_in(["bad", "x"]) is not None


class TestSoundParts:
    """Requests that are present in a crash are not blamed for it."""

    def test_part_that_this_instance_answers_is_not_reported(self):
        quarantine, clock = one()
        quarantine.note_answered(["first"])
        blame(quarantine, clock, "first")
        assert quarantine.own() == Evidence()

    def test_answer_that_arrives_for_long_clears_its_parts(self):
        quarantine, clock = one()
        for number in range(3):
            lose(quarantine, number, "s", seconds=1.5, chunks=20)
        clock.advance(1.0)
        assert quarantine.settle() is None

    def test_late_chunk_of_a_suspended_instance_clears_nothing(self):
        quarantine, clock = one()
        for number in range(3):
            lose(quarantine, number, "bad", seconds=5.0, chunks=1)
        clock.advance(1.0)
        quarantine.settle()
        assert quarantine.blamed_in(["bad", "x"]) is not None

    def test_answered_part_is_cleared_on_all_instances(self):
        fleet = Fleet(3)
        for number in range(3):
            fleet.crash(BackendId(f"e{number}", 1), {0: ["s"]})
        assert fleet.instances[2].blamed_in(["s", "x"]) is not None
        fleet.instances[1].note_answered(["s"])
        fleet.settle()
        assert not any(i.blamed_in(["s", "x"]) for i in fleet.instances)

    def test_backend_server_that_answers_has_not_crashed(self):
        quarantine, clock = one()
        blame(quarantine, clock)
        quarantine.note_alive(BackendId("ebad1", 1))
        quarantine.settle()
        assert quarantine.blamed_in(["bad", "x"]) is None

    def test_report_waits_to_be_settled_until_it_is(self):
        quarantine, clock = one()
        lose(quarantine, 1, "bad")
        assert quarantine.unsettled
        clock.advance(PartQuarantine.CONFIRM_SECONDS)
        assert quarantine.unsettled
        quarantine.settle()
        assert not quarantine.unsettled
        lose(quarantine, 1, "worse")
        assert quarantine.unsettled

    def test_answer_after_a_restart_under_the_same_name_retracts_nothing(self):
        quarantine, clock = one()
        blame(quarantine, clock)
        # The record that names the new incarnation has not arrived yet.
        clock.advance(3.0)
        quarantine.note_alive(BackendId("ebad1", 1))
        quarantine.settle()
        assert quarantine.blamed_in(["bad"]) is not None

    def test_bytes_read_just_after_the_crash_do_not_retract_it(self):
        quarantine, clock = one()
        lose(quarantine, 1, "bad")
        quarantine.note_alive(BackendId("e1", 1))
        clock.advance(1.0)
        assert quarantine.settle() is not None


class TestPersistence:
    """Blamed parts stay blamed, but for one attempt with few crashes."""

    async def test_one_attempt_is_claimed_after_a_while(self):
        quarantine, clock = one()
        claims = []

        async def claim(part):
            claims.append(part)
            return True

        quarantine.claim_trial = claim
        blame(quarantine, clock)
        blamed = quarantine.blamed_in(["bad"])
        assert not await quarantine.may_try(blamed)
        clock.advance(PartQuarantine.TRIAL_SECONDS)
        assert await quarantine.may_try(blamed)
        for _ in range(20):
            clock.advance(PartQuarantine.TRIAL_SECONDS * 10)
            assert not await quarantine.may_try(blamed)
        assert claims == ["bad"]

    async def test_part_of_five_crashes_is_not_attempted(self):
        quarantine, clock = one()
        quarantine.claim_trial = None
        blame(quarantine, clock, crashes=5)
        clock.advance(PartQuarantine.TRIAL_SECONDS)
        assert not await quarantine.may_try(quarantine.blamed_in(["bad"]))

    def test_part_stays_blamed_for_as_long_as_it_is_requested(self):
        quarantine, clock = one()
        blame(quarantine, clock)
        for _ in range(30):
            clock.advance(PartQuarantine.KEEP_SECONDS / 3)
            assert quarantine.blamed_in(["bad", "x"]) is not None
            quarantine.settle()
        clock.advance(PartQuarantine.KEEP_SECONDS * 1.1)
        blame(quarantine, clock, "other")
        assert quarantine.blamed_in(["bad", "x"]) is None


class TestHostileIds:
    """Memory and reports stay limited whatever ids callers choose."""

    def test_memory_is_limited(self):
        quarantine, clock = one()
        for number in range(30_000):
            quarantine.note_answered([f"{number}" * 10])
        for number in range(200):
            parts = [f"{number}/{n}" * 100 for n in range(1000)]
            lose(quarantine, number, *parts)
            clock.advance(1.0)
            quarantine.settle()
        assert len(quarantine._sound) <= PartQuarantine.MAX_SOUND_PARTS
        crashes = quarantine.own().crashes
        assert len(crashes) <= PartQuarantine.MAX_CRASHES
        for report in crashes:
            assert len(report.parts) <= PartQuarantine.MAX_PARTS_PER_CRASH
            assert all(len(part) <= 25 for part in report.parts)

    def test_reports_fit_into_one_row_of_the_store(self):
        quarantine, clock = one()
        blame(quarantine, clock)
        for number in range(PartQuarantine.MAX_REPORTED_SOUND):
            for crash in range(3):
                lose(quarantine, f"{number}/{crash}", f"sound{number}" * 10)
        clock.advance(1.0)
        quarantine.settle()
        for number in range(100):
            parts = [f"{number}/{n}" * 100 for n in range(1000)]
            lose(quarantine, number, *parts)
        clock.advance(1.0)
        quarantine.settle()
        assert len(msgspec.msgpack.encode(quarantine.own())) <= ROW_BYTES
        assert quarantine.blamed_in(["bad", "x"]) is not None

    def test_reports_settle_after_more_crashes_than_are_reported(self):
        quarantine, clock = one()
        for number in range(PartQuarantine.MAX_CRASHES * 2):
            lose(quarantine, number, f"s{number}")
        clock.advance(1.0)
        assert quarantine.settle() is not None
        assert not quarantine.unsettled
        assert quarantine.settle() is None

    def test_flood_of_crashes_does_not_release_a_blamed_part(self):
        quarantine, clock = one()
        blame(quarantine, clock)
        for number in range(PartQuarantine.MAX_CRASHES * 2):
            lose(quarantine, number, f"s{number}")
            clock.advance(1.0)
            quarantine.settle()
        assert quarantine.blamed_in(["bad", "x"]) is not None


class SoundTraffic:
    """Sessions whose requests are answered, or lost when a backend server ends."""

    SESSIONS = 150
    LOST_IN_A_CRASH = 6

    def __init__(self, fleet, seed):
        self.rng = random.Random(seed)
        self.fleet = fleet
        self.tried = set()
        for instance in fleet.instances:
            instance.claim_trial = self._claim

    async def _claim(self, part):
        first = part not in self.tried
        self.tried.add(part)
        return first

    async def may_send(self, instance, part):
        blamed = instance.blamed_in(["first", part, "x"])
        return blamed is None or await instance.may_try(blamed)

    async def draw(self):
        """Return an instance and a session whose request it sends; None if refused."""
        number = self.rng.randrange(len(self.fleet.instances))
        session = f"s{self.rng.randrange(self.SESSIONS)}"
        sent = await self.may_send(self.fleet.instances[number], session)
        return (number, session) if sent else None

    async def answer(self, count):
        for _ in range(count):
            if drawn := await self.draw():
                number, session = drawn
                self.fleet.instances[number].note_answered(["first", session])

    async def lose(self):
        drawn = [await self.draw() for _ in range(self.LOST_IN_A_CRASH)]
        return {number: ["first", session] for number, session in filter(None, drawn)}


class TestLoad:
    """Replays crashes of one part and of other causes among sound sessions."""

    @pytest.mark.parametrize("count", [8, 80])
    @pytest.mark.parametrize("seed", range(6))
    async def test_only_the_crashing_part_stays_blamed(self, count, seed):
        fleet = Fleet(count)
        traffic = SoundTraffic(fleet, seed)
        ended = 0
        for step in range(60):
            await traffic.answer(20)
            lost = await traffic.lose() if step % 3 == 0 else {}
            sender = traffic.rng.randrange(count)
            if step % 4 == 0 and await traffic.may_send(fleet.instances[sender], "bad"):
                lost |= await traffic.lose() | {sender: ["first", "bad"]}
                ended += 1
            if lost:
                fleet.crash(BackendId(f"e{step}", 1), lost)
        assert ended <= 5
        for _ in range(10):
            fleet.clock.advance(PartQuarantine.TRIAL_SECONDS / 5)
            await traffic.answer(300)
            fleet.settle()
        blamed = [b.parts for b in fleet.instances[0].blamed()]
        assert blamed == [frozenset(["bad"])]


class TestLongPrompts:
    """The part that crashes backend servers is blamed, however much is lost with it.

    Guards against reports that are filled by the parts of other requests.
    """

    PARTS = 120
    LOST = 6
    """Sound requests that each instance loses in a crash."""

    def lose_sound(self, fleet, backend, crash, rng):
        for number, instance in enumerate(fleet.instances):
            for lost in range(self.LOST):
                parts = [
                    f"{crash}-{number}-{lost}-{part}" for part in range(self.PARTS)
                ]
                instance.note_lost(
                    backend, parts, answer_seconds=rng.uniform(0.1, 0.9), chunks=3
                )

    def crash(self, fleet, crash, rng):
        """End a backend server on a part of a prompt, noticed as the last one lost."""
        backend = BackendId(f"e{crash}", 1)
        self.lose_sound(fleet, backend, crash, rng)
        own = [f"own-{crash}-{part}" for part in range(self.PARTS - 1)]
        own.insert(rng.randrange(self.PARTS), "bad")
        rng.choice(fleet.instances).note_lost(
            backend, own, answer_seconds=None, chunks=0
        )
        fleet.settle()
        fleet.clock.advance(0.7)

    @pytest.mark.parametrize("count", [3, 8, 80])
    def test_part_is_blamed_after_the_third_crash(self, count):
        rng = random.Random(count)
        fleet = Fleet(count)
        for crash in range(3):
            self.crash(fleet, crash, rng)
        for instance in fleet.instances:
            assert instance.blamed_in(["x", "bad", "y"]) is not None
            assert len(instance.blamed()) == 1

    def test_part_stays_blamed_at_ten_times_the_number_of_reported_crashes(self):
        rng = random.Random(1)
        fleet = Fleet(3)
        for crash in range(3):
            self.crash(fleet, crash, rng)
        for crash in range(3, 10 * PartQuarantine.MAX_CRASHES):
            self.lose_sound(fleet, BackendId(f"e{crash}", 1), crash, rng)
            fleet.settle()
        assert fleet.instances[0].blamed_in(["bad"]) is not None

    def test_part_of_other_crashes_is_reported_before_newer_answers(self):
        quarantine, clock = one()
        lose(quarantine, 1, "seen")
        clock.advance(1.0)
        quarantine.settle()
        for number in range(PartQuarantine.MAX_PARTS_PER_CRASH):
            lose(quarantine, 2, f"n{number}", seconds=0.0)
        lose(quarantine, 2, "seen", seconds=0.9)
        clock.advance(1.0)
        reports = {r.backend.name: r.parts for r in quarantine.settle().crashes}
        assert reports["e2"][0] == "seen"
        assert len(reports["e2"]) == PartQuarantine.MAX_PARTS_PER_CRASH
        assert quarantine.parts_left_out == 1

    def test_request_that_is_noticed_after_the_report_replaces_older_ones(self):
        quarantine, clock = one()
        old = [f"o{n}" for n in range(PartQuarantine.MAX_PARTS_PER_CRASH)]
        lose(quarantine, 1, *old, seconds=0.5)
        clock.advance(1.0)
        quarantine.settle()
        lose(quarantine, 1, "new", seconds=0.0)
        (report,) = quarantine.settle().crashes
        assert "new" in report.parts


class TestOnlyService:
    """All backend servers of the only service end, so that each instance seems cut.

    Guards against a request that crashes them again and again, and is never blamed.
    """

    def crash_all(self, quarantine, clock, incarnation):
        """End three servers on one part; the instance takes itself for cut."""
        ended = [BackendId(f"e{number}", incarnation) for number in range(3)]
        for backend in ended:
            quarantine.note_lost(backend, ["bad"], answer_seconds=0.0, chunks=0)
        clock.advance(PartQuarantine.CONFIRM_SECONDS)
        quarantine.settle()
        quarantine.forget_since(3.0)
        quarantine.settle()
        return ended

    def test_crash_counts_once_its_server_has_started_anew(self):
        quarantine, clock = one()
        ended = self.crash_all(quarantine, clock, 1)
        assert quarantine.blamed_in(["bad"]) is None
        clock.advance(2.0)
        for backend in ended:
            quarantine.note_start(backend._replace(incarnation=2))
        quarantine.settle()
        assert quarantine.blamed_in(["bad"]) is not None

    def test_server_that_was_only_out_of_reach_has_not_crashed(self):
        quarantine, clock = one()
        ended = self.crash_all(quarantine, clock, 1)
        clock.advance(2.0)
        for backend in ended:
            quarantine.note_start(backend)
            quarantine.note_alive(backend)
        for backend in ended:
            quarantine.note_start(backend._replace(incarnation=2))
        quarantine.settle()
        assert quarantine.blamed_in(["bad"]) is None
        assert not quarantine.own().crashes

    def test_start_long_after_a_cut_is_no_sign_of_a_crash(self):
        quarantine, clock = one()
        (first, *_) = self.crash_all(quarantine, clock, 1)
        clock.advance(PartQuarantine.RESTART_SECONDS + 1.0)
        quarantine.note_start(first._replace(incarnation=2))
        quarantine.settle()
        assert not quarantine.own().crashes

    def test_parts_that_were_lost_again_before_the_start_count_too(self):
        quarantine, clock = one()
        (first, *_) = self.crash_all(quarantine, clock, 1)
        quarantine.note_lost(first, ["later"], answer_seconds=0.0, chunks=0)
        quarantine.note_start(first._replace(incarnation=2))
        clock.advance(1.0)
        (report,) = quarantine.settle().crashes
        assert set(report.parts) == {"bad", "later"}
