"""Answers that end with their connection, of sound and of crashing backend servers.

Guards against whole answers without a length that count as crashes: their route was
refused for up to an hour.
"""

from __future__ import annotations

import random

import pytest

from fakes_clock import ManualClock
from guavajunction.quarantine import BackendId, PartQuarantine

STEP_SECONDS = 0.02
DOWN_SECONDS = 2.5
ANSWER_SECONDS = 0.4
"""Time in which an answer arrives."""


class UnmarkedFleet:
    """Instances that send requests to backend servers which answer without a length.

    All prompts share their first part. A crash closes all connections in order.
    """

    def __init__(self, instances, servers, requests_per_second, bad_fraction, seed=1):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.instances = [
            PartQuarantine(self.clock, self.clock.monotonic) for _ in range(instances)
        ]
        self.down_until = dict.fromkeys(range(servers), 0.0)
        self.born = dict.fromkeys(range(servers), 1)
        self.open = []
        self.rate = requests_per_second
        self.bad_fraction = bad_fraction
        self.sent = self.refused = self.crashes = 0
        self.sound_sent = self.sound_refused = 0

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            if self.rng.random() < self.rate * STEP_SECONDS:
                self._send()
            self._end_answers()
            for number, instance in enumerate(self.instances):
                evidence = instance.settle()
                if evidence is not None:
                    for other in self.instances:
                        if other is not instance:
                            other.merge(f"i{number}", evidence)

    def _send(self):
        now = self.clock.monotonic()
        bad = self.rng.random() < self.bad_fraction
        parts = ["first", "bad"] if bad else ["first", f"s{self.rng.randrange(30)}"]
        instance = self.rng.choice(self.instances)
        if not bad:
            self.sound_sent += 1
        if instance.blamed_in([*parts, "last"]):
            self.sound_refused += not bad
            return
        server = self.rng.choice(list(self.down_until))
        if now < self.down_until[server]:
            instance.note_refused(BackendId(f"e{server}", self.born[server]))
            return
        if self.down_until[server]:
            self.down_until[server] = 0.0
            self.born[server] += 1
        identity = BackendId(f"e{server}", self.born[server])
        instance.note_alive(identity)
        self.open.append((now + ANSWER_SECONDS, instance, server, parts))
        if bad:
            self._crash(server)

    def _crash(self, server):
        self.crashes += 1
        identity = BackendId(f"e{server}", self.born[server])
        for _, instance, at, parts in self.open:
            if at == server:
                instance.note_unmarked_end(
                    identity, parts, answer_seconds=0.1, chunks=1
                )
        self.open = [one for one in self.open if one[2] != server]
        self.down_until[server] = self.clock.monotonic() + DOWN_SECONDS

    def _end_answers(self):
        now = self.clock.monotonic()
        for ends_at, instance, server, parts in self.open:
            if ends_at <= now:
                identity = BackendId(f"e{server}", self.born[server])
                instance.note_unmarked_end(
                    identity, parts, answer_seconds=ANSWER_SECONDS, chunks=3
                )
        self.open = [one for one in self.open if one[0] > now]


class TestSoundServers:
    """Backend servers that answer everything without a length are not suspected."""

    @pytest.mark.parametrize("instances", [1, 8])
    @pytest.mark.parametrize("rate", [0.5, 5.0, 40.0])
    def test_nothing_is_refused(self, instances, rate):
        fleet = UnmarkedFleet(instances, 8, rate, bad_fraction=0.0)
        fleet.run(60.0)
        assert fleet.sound_refused == 0

    def test_burst_of_answers_from_all_servers(self):
        fleet = UnmarkedFleet(1, 8, 50.0, bad_fraction=0.0)
        for _ in range(20):
            fleet.rate = 50.0
            fleet.run(1.0)
            fleet.rate = 0.0
            fleet.run(4.0)
        assert fleet.sound_refused == 0


class TestCrashingPart:
    """A part that crashes such backend servers is still found."""

    @pytest.mark.parametrize("seed", range(4))
    def test_part_is_blamed_and_the_shared_one_is_not(self, seed):
        fleet = UnmarkedFleet(4, 8, 40.0, bad_fraction=0.1, seed=seed)
        fleet.run(40.0)
        assert fleet.crashes <= 8
        assert fleet.sound_refused <= 0.02 * fleet.sound_sent

    def test_answer_after_a_restart_makes_no_request_sound(self):
        clock = ManualClock()
        quarantine = PartQuarantine(clock, clock.monotonic)
        for number in range(3):
            identity = BackendId(f"e{number}", 1)
            quarantine.note_unmarked_end(
                identity, ["bad"], answer_seconds=0.1, chunks=1
            )
            clock.advance(0.1)
            quarantine.note_refused(identity)
            clock.advance(PartQuarantine.RETRACT_SECONDS + 0.1)
            quarantine.note_alive(identity)
            quarantine.settle()
        assert quarantine.blamed_in(["bad", "x"])
