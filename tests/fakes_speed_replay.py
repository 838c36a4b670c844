"""Replays generations on engines of given speeds, with late news between instances."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

from fakes_gateway import backend, size
from guavajunction.clock import ManualClock
from guavajunction.gateway import Load, ServerSpeeds
from guavajunction.gateway import _backend_selection as backend_selection
from guavajunction.peers import PeerId

HUB = PeerId("hub", "1")
NEWS_SECONDS = 0.15


class Engine(NamedTuple):
    """Figures of one backend server."""

    tokens_per_ms: float = 19.2
    step_ms: float = 9.47
    slots: int = 16


SMALL = Engine()
LARGE = Engine(38.4, 4.73, 96)


class Done(NamedTuple):
    """One answer."""

    backend: str
    sent_at: float
    first_event: float


class SpeedReplay:
    """Instances that choose by what they know, and engines that answer.

    Each instance knows its own load at once and that of the others after 0.15 to 0.5 s.
    """

    def __init__(
        self, instances, engines, *, fixed=False, slow=lambda name, now: 1.0, seed=1
    ):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.start = self.clock.monotonic()
        self.engines = {f"e{n}": engine for n, engine in enumerate(engines)}
        self.records = [
            backend(name, slots=engine.slots) for name, engine in self.engines.items()
        ]
        self.fixed = fixed
        self.slow = slow
        self.speeds = [ServerSpeeds(self.clock) for _ in range(instances)]
        for speeds in self.speeds:
            speeds.keep_only(self.records)
        self.hub = ServerSpeeds(self.clock)
        self.own = [{r.name: Load(0, 0) for r in self.records} for _ in self.speeds]
        self.total = {r.name: Load(0, 0) for r in self.records}
        self.news = [(self.total.copy(), [own.copy() for own in self.own])] * 4
        self.prefilled_at = dict.fromkeys(self.engines, self.start)
        self.ends = {name: [] for name in self.engines}
        self.done = []
        self.events = []
        self.order = itertools.count()

    @property
    def now(self):
        return self.clock.monotonic() - self.start

    def run(self, seconds, rate):
        """Send `rate` requests a second."""
        self._at(NEWS_SECONDS, self._exchange)
        gaps = itertools.accumulate(
            self.rng.expovariate(rate) for _ in range(round(seconds * rate))
        )
        for at in gaps:
            self._at(at, self._send)
        while self.events and self.events[0][0] <= seconds:
            at, _, action = heapq.heappop(self.events)
            self.clock.advance(at - self.now)
            action()
        return self

    def shares(self, since=10.0, until=float("inf")):
        """Return the requests of each backend server relative to their mean."""
        sent = Counter(d.backend for d in self.done if since <= d.sent_at < until)
        mean = sum(sent.values()) / len(self.engines)
        return {name: sent[name] / mean for name in self.engines}

    def late(self, share=0.95, since=10.0, until=float("inf")):
        """Return a quantile of the times to the first event."""
        times = sorted(d.first_event for d in self.done if since <= d.sent_at < until)
        return times[int(share * len(times))]

    def _at(self, at, action):
        heapq.heappush(self.events, (at, next(self.order), action))

    def _exchange(self):
        self._at(self.now + NEWS_SECONDS, self._exchange)
        self.news.pop(0)
        self.news.append((self.total.copy(), [own.copy() for own in self.own]))
        for n, speeds in enumerate(self.speeds):
            peer = PeerId(f"i{n}", "1")
            # What the hub says was heard at the previous heartbeat.
            speeds.factors.update_peer(HUB, self.hub.factors.slow_without(peer))
        for n, speeds in enumerate(self.speeds):
            peer = PeerId(f"i{n}", "1")
            self.hub.factors.update_peer(peer, speeds.factors.own_slow())

    def _known(self, instance, name):
        total, own = self.news[self.rng.randrange(4)]
        others = total[name].minus(own[instance][name])
        return others.plus(self.own[instance][name])

    def _send(self):
        instance = self.rng.randrange(len(self.speeds))
        tokens = self.rng.choice([500, 1000, 1000, 1500, 4000])
        output = self.rng.choice([40, 80, 80, 160])
        options = [(r, self._known(instance, r.name)) for r in self.records]
        options = [(r, ld) for r, ld in options if ld.running < r.slots + 4]
        if not options:
            self._at(self.now + 0.1, self._send)
            return
        speeds = self.speeds[instance]
        estimate = (
            backend_selection.by_fixed_figures
            if self.fixed
            else speeds.first_event_seconds
        )
        chosen = backend_selection.choose(size(prompt=tokens), options, estimate)
        load = (
            dict(options)[chosen]
            if False
            else next(ld for r, ld in options if r is chosen)
        )
        self._serve(instance, chosen, load, tokens, output)

    def _serve(self, instance, record, load, tokens, output):
        engine, name, sent_at = self.engines[record.name], record.name, self.now
        slowness = self.slow(name, sent_at)
        ends = self.ends[name]
        slot_at = sent_at
        if len(ends) >= engine.slots:
            slot_at = max(sent_at, heapq.heappop(ends))
        begin = max(slot_at, self.prefilled_at[name] - self.start)
        prefill = tokens / (engine.tokens_per_ms * 1000) * slowness
        self.prefilled_at[name] = self.start + begin + prefill
        step = engine.step_ms / 1000 * slowness
        first_at = begin + prefill + step
        end_at = first_at + output * step
        heapq.heappush(ends, end_at)
        self._add(instance, name, 1, tokens)
        speeds = self.speeds[instance]

        def on_first():
            self._add(instance, name, 0, -tokens)

        def on_flowing():
            speeds.note_first_event(record, tokens, load, first_at - sent_at)

        def on_end():
            self._add(instance, name, -1, 0)
            while ends and ends[0] <= self.now:
                heapq.heappop(ends)
            speeds.note_complete(
                record,
                output + 1,
                load,
                end_at - sent_at,
                output_seconds=output * step,
            )

        self._at(first_at, on_first)
        self._at(first_at + 3 * step, on_flowing)
        self._at(end_at, on_end)
        self.done.append(Done(name, sent_at, first_at - sent_at))

    def _add(self, instance, name, running, tokens):
        change = Load(running, tokens)
        self.own[instance][name] = self.own[instance][name].plus(change)
        self.total[name] = self.total[name].plus(change)
