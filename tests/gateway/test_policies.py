"""Replays of the loads that the gateway's decisions answer."""

from __future__ import annotations

import random

import pytest

from fakes_gateway import backend, size
from guavajunction.gateway import (
    Load,
    LoadView,
    ModelDemand,
    RetryBounds,
    RetryBudget,
)
from guavajunction.gateway import _admission as admission
from guavajunction.gateway import _backend_selection as backend_selection
from guavajunction.peers import PeerId

PEER = PeerId("p", "1")


class TestMixedPrompts:
    """Prompts of very different length are spread by what is unread."""

    def test_long_prompts_count_for_more_than_their_number(self):
        busy = backend("long", slots=32), Load(2, 8000)
        idle = backend("short", slots=32), Load(4, 800)
        assert backend_selection.choose(size(), [busy, idle]).name == "short"

    def test_session_stays_where_its_parts_are_kept(self):
        parts = [("shared", 200), ("session", 400), ("own", 400)]
        options = [(backend(f"e{n}"), Load(0, 0)) for n in range(4)]
        chosen = {
            backend_selection.choose(size(parts=parts), random.sample(options, 4)).name
            for _ in range(20)
        }
        assert len(chosen) == 1

    def test_crowded_home_is_left(self):
        parts = [("shared", 200), ("session", 400), ("own", 400)]
        options = [(backend(f"e{n}"), Load(0, 0)) for n in range(4)]
        home = backend_selection.choose(size(parts=parts), options).name
        crowded = [
            (record, Load(3, 30_000) if record.name == home else load)
            for record, load in options
        ]
        assert backend_selection.choose(size(parts=parts), crowded).name != home

    def test_replayed_mix_is_read_more_evenly_than_by_count(self):
        by_work = self._worst_backlog(by_count=False)
        by_count = self._worst_backlog(by_count=True)
        assert by_work < by_count * 0.8

    def _worst_backlog(self, *, by_count):
        """Return the longest backlog of unread tokens in a replay of 400 arrivals."""
        rng = random.Random(7)
        backends = [backend(f"e{n}", slots=32) for n in range(4)]
        backlog = dict.fromkeys([b.name for b in backends], 0.0)
        running = {name: [] for name in backlog}
        worst = 0.0
        for step in range(400):
            now = step * 0.02
            for name in backlog:
                backlog[name] = max(0.0, backlog[name] - 0.02 * 25_000)
                running[name] = [end for end in running[name] if end > now]
            tokens = rng.choice([500, 500, 500, 5000])
            options = [
                (b, Load(len(running[b.name]), round(backlog[b.name])))
                for b in backends
            ]
            if by_count:
                chosen = min(options, key=lambda option: option[1].running)[0]
            else:
                chosen = backend_selection.choose(size(prompt=tokens), options)
            backlog[chosen.name] += tokens
            running[chosen.name].append(now + 1.0)
            worst = max(worst, backlog[chosen.name])
        return worst


class TestOverload:
    """A hopeless request is refused at once, any other waits."""

    @pytest.mark.parametrize(
        ("wait", "left", "first", "refused"),
        [
            (1.0, 10.0, 2.0, False),
            (1.99, 10.0, 2.0, True),
            (0.5, 0.9, 2.0, True),
            (8.6, 15.0, 2.0, True),
        ],
    )
    def test_bounds(self, wait, left, first, refused):
        refusal = admission.check_deadline(
            admission.WaitEstimate(wait, "a model"),
            size(prompt=1000, output=50),
            seconds_left=left,
            first_event_left=first,
        )
        assert (refusal is not None) is refused

    def test_time_told_is_when_capacity_is_expected(self):
        estimate = admission.WaitEstimate(3.5, "slots")
        refusal = admission.check_deadline(
            estimate, size(), seconds_left=2.0, first_event_left=2.0
        )
        assert refusal.retry_after == 3.5


class TestRetryStorm:
    """Repeats of all instances together stay within the fleet's bound."""

    def test_every_window_of_a_storm_keeps_the_bound(self):
        bounds = RetryBounds(ratio=0.2, window_seconds=10.0, slack=56.0)
        instances = [RetryBudget(bounds) for _ in range(8)]
        rng = random.Random(3)
        arrivals, repeats = [], []
        for step in range(3000):
            now = step * 0.01
            allowance = rng.choice(instances)
            allowance.note_request("a", now)
            arrivals.append(now)
            while allowance.take("a", now, instances=8):
                repeats.append(now)
        for end in range(1, 31):
            window = [t for t in repeats if end - 10 <= t < end]
            requests = [t for t in arrivals if end - 10 <= t < end]
            assert len(window) <= 0.2 * len(requests) + 56
        assert repeats

    def test_requests_are_kept_no_longer_than_they_count(self):
        allowance = RetryBudget(RetryBounds(0.2, 10.0, 56.0))
        for step in range(5000):
            allowance.note_request("a", step * 0.1)
        assert len(allowance._requests["a"]) <= 101


class TestLoadView:
    """Own work is counted at once, that of peers as they tell it."""

    def test_own_and_peers_add_up(self):
        view = LoadView()
        view.begin("e1", size("m1", "a1", prompt=900))
        view.hear(PEER, {"e1": Load(2, 100, {"m1": 2})})
        assert view.of("e1").running == 3
        assert view.of("e1").pending_prompt_tokens == 1000
        assert view.of("e1").by_model() == {"m1": 3}
        view.keep_only([])
        view.on_first_event("e1", size(prompt=900))
        view.end("e1", size("m1", "a1"), prompt_pending=False)
        assert view.of("e1") == Load(0, 0, {})


class TestDemandShift:
    """Demand that moves to other models shows within seconds."""

    def test_new_model_shows_at_once_and_the_old_one_fades(self):
        demand = ModelDemand()
        for step in range(100):
            demand.note("old", step * 0.1)
        assert demand.own({}, 10.0)["old"].rate == pytest.approx(10, rel=0.2)
        demand.note("new", 10.1)
        assert demand.own({}, 10.2)["new"].rate > 0
        faded = demand.own({}, 25.0)
        assert "old" not in faded or faded["old"].rate < 0.1

    def test_fleet_sums_only_peers_that_are_heard(self):
        demand = ModelDemand()
        demand.hear(PEER, {"m": demand_of(3.0, 1)})
        assert demand.fleet({}, [PEER])["m"] == demand_of(3.0, 1)
        assert demand.fleet({}, []) == {}


def demand_of(rate, waiting):
    from guavajunction.gateway import Demand

    return Demand(rate, waiting)
