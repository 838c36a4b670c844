"""Replays a request that crashes servers and returns, among sound requests."""

from __future__ import annotations

import random

import pytest

from fakes_clock import ManualClock
from guavajunction.quarantine import BackendId, PartQuarantine, RequestFingerprint

CONTACT_SECONDS = 3.0
"""Time after the third crash in which the instances learn of it."""
MAX_LATER_SENDS = 3
DAY_SECONDS = 90.0
SERVERS = 4
RESTART_SECONDS = 3.0
SOUND_REQUESTS = 40
"""Number of different sound requests, which callers repeat as well."""


def fingerprint(number, caller="atelier"):
    return RequestFingerprint(
        caller=caller, method="POST", host="h", target=f"/look/{number}", body=b"b"
    )


X = fingerprint("x")


class Day:
    """Plain servers that crash on one request; reports arrive after 0.4 s."""

    STEP_SECONDS = 0.05
    REPORT_DELAY_SECONDS = 0.1

    def __init__(self, instances, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.instances = [self.start() for _ in range(instances)]
        self.ended = []
        self.up_at = dict.fromkeys(range(SERVERS), 0.0)
        self.starts = dict.fromkeys(range(SERVERS), 1)
        self.crashed_at = []
        self.later_sends = 0
        self.refused_sound = 0
        self.answered_sound = 0
        self.claimed = set()
        self.reports = []

    def start(self):
        instance = PartQuarantine(self.clock, self.clock.monotonic)
        instance.claim_trial = self.claim
        return instance

    async def claim(self, part):
        first = part not in self.claimed
        self.claimed.add(part)
        return first

    def restart(self):
        """Replace an instance by one that reads all reports."""
        number = self.rng.randrange(len(self.instances))
        self.ended.append(self.instances[number])
        self.instances[number] = self.start()
        for other in (*self.instances, *self.ended):
            self.instances[number].merge(str(id(other)), other.own())

    def exchange(self):
        """Deliver the reports that are old enough; settle new ones."""
        now = self.clock.monotonic()
        for at, source, evidence in list(self.reports):
            if at <= now:
                for instance in self.instances:
                    if instance is not source:
                        instance.merge(str(id(source)), evidence)
                self.reports.remove((at, source, evidence))
        for instance in self.instances:
            evidence = instance.settle()
            if evidence is not None:
                due = now + self.REPORT_DELAY_SECONDS
                self.reports.append((due, instance, evidence))

    async def may_send(self, instance, request):
        blamed = instance.blamed_in((), request)
        return blamed is None or await instance.may_try(blamed)

    def free_servers(self):
        now = self.clock.monotonic()
        return [server for server, at in self.up_at.items() if at <= now]

    async def send_crashing(self):
        """Send the request as an instance does: to two servers, one after the other."""
        instance = self.rng.choice(self.instances)
        for _ in range(2):
            free = self.free_servers()
            if not free or not await self.may_send(instance, X):
                return
            self.count_send()
            self.crash(self.rng.choice(free), instance)

    def count_send(self):
        crashes = self.crashed_at
        if len(crashes) >= 3:
            known = self.clock.monotonic() > crashes[2] + CONTACT_SECONDS
            self.later_sends += known

    def crash(self, server, sender):
        """End a server with the request and some sound ones of other instances."""
        now = self.clock.monotonic()
        backend = BackendId(f"b{server}", self.starts[server])
        sender.note_lost(backend, (), X, answer_seconds=None, chunks=0)
        for _ in range(3):
            sound = fingerprint(self.rng.randrange(SOUND_REQUESTS))
            instance = self.rng.choice(self.instances)
            if instance.blamed_in((), sound) is None:
                instance.note_lost(backend, (), sound, answer_seconds=None, chunks=0)
        self.crashed_at.append(now)
        self.up_at[server] = now + RESTART_SECONDS
        self.starts[server] += 1

    async def send_sound(self):
        instance = self.rng.choice(self.instances)
        request = fingerprint(self.rng.randrange(SOUND_REQUESTS))
        if not self.free_servers():
            return
        if await self.may_send(instance, request):
            self.answered_sound += 1
            instance.note_answered((), request)
        else:
            self.refused_sound += 1

    async def play(self):
        steps = round(DAY_SECONDS / self.STEP_SECONDS)
        for step in range(steps):
            self.clock.advance(self.STEP_SECONDS)
            self.exchange()
            if step % 14 == 0:
                await self.send_crashing()
            if step % 100 == 99:
                self.restart()
            for _ in range(2):
                await self.send_sound()


class TestRepeatedRequest:
    """The fleet stops sending the request, and sends all others."""

    @pytest.mark.parametrize("instances", [8, 80])
    @pytest.mark.parametrize("seed", range(8))
    async def test_request_is_sent_three_times_more_at_most(self, instances, seed):
        day = Day(instances, seed)
        await day.play()
        assert len(day.crashed_at) >= 3
        assert day.later_sends <= MAX_LATER_SENDS
        assert day.refused_sound <= day.answered_sound / 50
        blamed = {key for b in day.instances[0].blamed() for key in b.parts}
        assert X.key in blamed


class TestHostileBodies:
    """Memory and reports stay limited whatever bodies callers send."""

    def test_memory_is_limited(self):
        clock = ManualClock()
        quarantine = PartQuarantine(clock, clock.monotonic)
        for number in range(5000):
            backend = BackendId(f"b{number % 300}", number)
            quarantine.note_lost(
                backend, (), fingerprint(number), answer_seconds=None, chunks=0
            )
            quarantine.note_answered((), fingerprint(f"sound{number}"))
            if number % 50 == 0:
                clock.advance(1.0)
                quarantine.settle()
        assert len(quarantine._lost_requests) <= PartQuarantine.MAX_LOST_REQUESTS
        assert len(quarantine.own().crashes) <= PartQuarantine.MAX_CRASHES
        assert len(quarantine._suspicions) <= PartQuarantine.MAX_SUSPICIONS
        assert not quarantine._sound

    def test_flood_of_lost_requests_does_not_release_a_blamed_one(self):
        clock = ManualClock()
        quarantine = PartQuarantine(clock, clock.monotonic)
        for number in range(3):
            backend = BackendId(f"x{number}", 1)
            quarantine.note_lost(backend, (), X, answer_seconds=None, chunks=0)
        clock.advance(1.0)
        quarantine.settle()
        for number in range(PartQuarantine.MAX_CRASHES * 2):
            backend = BackendId(f"b{number}", 1)
            for body in range(200):
                request = fingerprint(f"{number}/{body}")
                quarantine.note_lost(
                    backend, (), request, answer_seconds=None, chunks=0
                )
            clock.advance(1.0)
            quarantine.settle()
        assert quarantine.blamed_in((), X) is not None
