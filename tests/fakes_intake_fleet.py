"""Instances on one clock that share the sends to one backend server.

Messages between them take time and may be lost. Each instance has queued requests and
sends one whenever it may.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from fakes_clock import ManualClock
from guavajunction.errors import PeerTimeout
from guavajunction.fleet import Member
from guavajunction.intake import ColdLimit, ServerIntake
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId
from guavajunction_entry.gateway._limit_links import LimitLinks

ENGINE = BackendId("e1", 1)
SERVICE = "engines"
STEP_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.16
LIVE_SECONDS = 1.0
SMALL_SHAPES = pytest.mark.parametrize(
    ("hubs", "followers"), [(8, 0), (3, 29)], ids=["8 instances", "90 instances"]
)
SHAPES = pytest.mark.parametrize(
    ("hubs", "followers"),
    [(8, 0), (3, 29), (10, 29)],
    ids=["8 instances", "90 instances", "300 instances"],
)


class IntakeFleet:
    """Hubs with followers, all of them links to one backend server."""

    def __init__(self, hubs, followers, *, seed=1, delay=0.02, loss=0.0, limit=None):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.delay = delay
        self.loss = loss
        self.limit = limit or ColdLimit(13.0, 3.0)
        self.hub_of = {}
        self.side = {}
        self.cut_at = float("-inf")
        self.instances = {}
        self.sent = []
        self._due = []
        for hub in range(hubs):
            names = [f"hub-{hub}", *(f"front-{hub}-{n}" for n in range(followers))]
            for name in names:
                self.hub_of[name] = "" if name == names[0] else names[0]
                self.side[name] = 0
        for name in self.hub_of:
            self.start(name)
        self.clock.advance(LimitLinks.HEAR_SECONDS)

    def start(self, name):
        self.instances[name] = IntakeInstance(self, name)

    def cut(self, names):
        """Separate instances from the others; they notice it after a while."""
        self.cut_at = self.clock.monotonic()
        for name in names:
            self.side[name] = 1

    def reaches(self, sender, receiver):
        return receiver in self.instances and self.side[sender] == self.side[receiver]

    def later(self, seconds, action):
        self._due.append((self.clock.monotonic() + seconds, action))

    def travel_seconds(self):
        """Return how long a message takes; None if it is lost."""
        if self.rng.random() < self.loss:
            return None
        return self.rng.uniform(0.1, 1.0) * self.delay

    async def run(self, seconds, *, until=lambda: False):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            now = self.clock.monotonic()
            due = [item for item in self._due if item[0] <= now]
            self._due = [item for item in self._due if item[0] > now]
            for _, action in due:
                action()
            for _ in range(3):
                await asyncio.sleep(0)
            names = list(self.instances)
            self.rng.shuffle(names)
            for name in names:
                self.instances[name].step()
            for _ in range(3):
                await asyncio.sleep(0)
            if until():
                return

    def most_in_a_second(self, begin, end):
        times = sorted(at for at in self.sent if begin <= at <= end)
        return max((sum(t <= at < t + 1.0 for at in times) for t in times), default=0)


class IntakeInstance:
    """One instance; stands in for its links, its relay and its roster."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.me = PeerId(name, f"{fleet.rng.random()}")
        self.started_at = fleet.clock.monotonic()
        self.intake = ServerIntake(fleet.clock)
        self.intake.cold.configure({SERVICE: fleet.limit})
        self.links = LimitLinks(self.me, self, self, self, self.intake, fleet.clock)
        self.knows_server = False
        self.waiting = True
        self.next_heartbeat = self.started_at + fleet.rng.random() * HEARTBEAT_SECONDS
        self.requests = 0

    def note_entry(self, number, seconds):
        self.knows_server = True
        self.intake.cold.note_entry(ENGINE, SERVICE, number, seconds)

    def step(self):
        """Send a queued request if it may be sent, and send the heartbeats."""
        if self.knows_server and self.waiting:
            self._serve()
        self.intake.keep_only({ENGINE})
        now = self.fleet.clock.monotonic()
        if now >= self.next_heartbeat:
            self.next_heartbeat += HEARTBEAT_SECONDS
            self._send_heartbeat()

    def _serve(self):
        if not self.intake.may_send(ENGINE):
            self.intake.ask_to_send(ENGINE, f"{self.me.name}/{self.requests}")
        if self.intake.may_send(ENGINE):
            self.requests += 1
            self.intake.on_sent(ENGINE)
            self.fleet.sent.append(self.fleet.clock.monotonic())

    def _send_heartbeat(self):
        values = self.heartbeat()
        if not any(values):
            return
        for name in self._heartbeat_targets():
            seconds = self.fleet.travel_seconds()
            if seconds is not None and self.fleet.reaches(self.me.name, name):
                self.fleet.later(seconds, lambda name=name: self._deliver(name, values))

    def heartbeat(self):
        return (self.links.cold_entries(),)

    def on_heartbeat(self, peer, values):
        self.links.on_cold_entries(peer, values[0])

    def _deliver(self, name, values):
        if name in self.fleet.instances:
            self.fleet.instances[name].on_heartbeat(self.me, values)

    def _heartbeat_targets(self):
        """Hubs send to hubs and their followers, followers to their hub."""
        if self.follows:
            return [self.follows]
        hub_of = self.fleet.hub_of
        return [n for n in hub_of if hub_of[n] in ("", self.me.name) and n != self.name]

    @property
    def name(self):
        return self.me.name

    # As `Links`.

    def handle(self, _, handler):
        self.handler = handler

    async def request(self, to, message, _, *, timeout):
        there, back = self.fleet.travel_seconds(), self.fleet.travel_seconds()
        arrived = self.fleet.reaches(self.name, to.name) and there is not None
        asked_at = self.fleet.clock.monotonic()
        if arrived:
            await self._sleep(there)
            receiver = self.fleet.instances.get(to.name)
            answer = await receiver.handler(self.me, message) if receiver else None
            await self._sleep(back or 0.0)
        late = self.fleet.clock.monotonic() - asked_at > timeout
        if not arrived or back is None or late or answer is None:
            await self._sleep(timeout - (self.fleet.clock.monotonic() - asked_at))
            raise PeerTimeout(f"{to.name} did not answer in {timeout} s")
        return answer

    async def _sleep(self, seconds):
        if seconds > 0:
            woken = asyncio.get_running_loop().create_future()
            self.fleet.later(seconds, lambda: woken.done() or woken.set_result(None))
            await woken

    # As `Relay`.

    @property
    def follows(self):
        return self.fleet.hub_of[self.name]

    def hub_peer(self):
        hub = self.fleet.instances.get(self.follows)
        if hub is None or not self.fleet.reaches(self.name, self.follows):
            return None
        return hub.me

    # As `Roster`.

    def _heard(self):
        """Return the live instances; it notices a cut after a while."""
        now = self.fleet.clock.monotonic()
        if now - self.started_at < 0.5:
            return [self.name]
        if now - self.fleet.cut_at <= LIVE_SECONDS:
            return list(self.fleet.instances)
        return [n for n in self.fleet.instances if self.fleet.reaches(self.name, n)]

    def peers_matching(self, test):
        hub_of = self.fleet.hub_of
        return [
            self.fleet.instances[name].me
            for name in self._heard()
            if name != self.name and test(Member("", "", True, True, hub_of[name]))
        ]

    @property
    def live_fraction(self):
        return len(self._heard()) / len(self.fleet.hub_of)
