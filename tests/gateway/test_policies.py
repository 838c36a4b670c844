"""Tests of the gateway's policies under typical loads."""

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


class TestBackendSelection:
    """Prompts of different length are balanced by their pending tokens."""

    def test_pending_tokens_count_more_than_the_number_of_requests(self):
        busy = backend("long", slots=32), Load(2, 8000)
        idle = backend("short", slots=32), Load(4, 800)
        assert backend_selection.choose(size(), [busy, idle]).name == "short"

    def test_session_stays_on_one_backend_server(self):
        parts = [("shared", 200), ("session", 400), ("own", 400)]
        options = [(backend(f"e{n}"), Load(0, 0)) for n in range(4)]
        chosen = {
            backend_selection.choose(size(parts=parts), random.sample(options, 4)).name
            for _ in range(20)
        }
        assert len(chosen) == 1

    def test_session_moves_if_its_backend_server_is_overloaded(self):
        parts = [("shared", 200), ("session", 400), ("own", 400)]
        options = [(backend(f"e{n}"), Load(0, 0)) for n in range(4)]
        caching = backend_selection.choose(size(parts=parts), options).name
        crowded = [
            (record, Load(3, 30_000) if record.name == caching else load)
            for record, load in options
        ]
        assert backend_selection.choose(size(parts=parts), crowded).name != caching

    def test_balancing_by_tokens_beats_balancing_by_requests(self):
        by_work = self._worst_backlog(by_count=False)
        by_count = self._worst_backlog(by_count=True)
        assert by_work < by_count * 0.8

    def _worst_backlog(self, *, by_count):
        """Return the longest backlog of pending tokens over 400 arrivals."""
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


class TestAdmission:
    """A request that would miss a deadline is refused at once, any other waits."""

    @pytest.mark.parametrize(
        ("wait", "left", "first", "refused"),
        [
            (1.0, 10.0, 2.0, False),
            (1.99, 10.0, 2.0, True),
            (0.5, 0.9, 2.0, True),
            (8.6, 15.0, 2.0, True),
        ],
    )
    def test_request_is_refused_if_a_deadline_would_be_missed(
        self, wait, left, first, refused
    ):
        refusal = admission.check_deadline(
            admission.WaitEstimate(wait, "a model"),
            size(prompt=1000, output=50),
            seconds_left=left,
            first_event_left=first,
        )
        assert (refusal is not None) is refused

    def test_retry_delay_is_the_estimated_wait(self):
        estimate = admission.WaitEstimate(3.5, "slots")
        refusal = admission.check_deadline(
            estimate, size(), seconds_left=2.0, first_event_left=2.0
        )
        assert refusal.retry_after == 3.5

    def test_refusal_of_a_hopeless_request_has_no_retry_delay(self):
        never = admission.WaitEstimate(float("inf"), "a model that is not configured")
        refusal = admission.check_deadline(
            never, None, seconds_left=5.0, first_event_left=5.0
        )
        assert refusal.retry_after is None


class TestRetryBudget:
    """Retries of all instances together stay within the fleet's bound."""

    def test_no_window_of_a_retry_storm_exceeds_the_bound(self):
        bounds = RetryBounds(ratio=0.2, window_seconds=10.0, slack=56.0)
        instances = [RetryBudget(bounds) for _ in range(8)]
        rng = random.Random(3)
        arrivals, retries = [], []
        for step in range(3000):
            now = step * 0.01
            budget = rng.choice(instances)
            budget.note_request("a", now)
            arrivals.append(now)
            while budget.take("a", now, instances=8):
                retries.append(now)
        for end in range(1, 31):
            window = [t for t in retries if end - 10 <= t < end]
            requests = [t for t in arrivals if end - 10 <= t < end]
            assert len(window) <= 0.2 * len(requests) + 56
        assert retries

    def test_requests_outside_the_window_are_discarded(self):
        budget = RetryBudget(RetryBounds(0.2, 10.0, 56.0))
        for step in range(5000):
            budget.note_request("a", step * 0.1)
        assert len(budget._requests["a"]) <= 101


class TestLoadView:
    """Own requests count at once, requests of peers after they are reported."""

    def test_load_is_the_sum_of_own_and_reported_requests(self):
        view = LoadView()
        view.begin("e1", size("m1", "a1", prompt=900))
        view.update_peer(PEER, {"e1": Load(2, 100, {"m1": 2})})
        assert view.of("e1").running == 3
        assert view.of("e1").pending_prompt_tokens == 1000
        assert view.of("e1").by_model() == {"m1": 3}
        view.keep_only([])
        view.on_first_event("e1", size(prompt=900))
        view.end("e1", size("m1", "a1"), prompt_pending=False)
        assert view.of("e1") == Load(0, 0, {})


class TestDemandShift:
    """A shift of demand to other models shows within seconds."""

    def test_new_model_shows_at_once_and_the_old_one_decays(self):
        demand = ModelDemand()
        for step in range(100):
            demand.note("old", step * 0.1)
        assert demand.own({}, 10.0)["old"].rate == pytest.approx(10, rel=0.2)
        demand.note("new", 10.1)
        assert demand.own({}, 10.2)["new"].rate > 0
        faded = demand.own({}, 25.0)
        assert "old" not in faded or faded["old"].rate < 0.1

    def test_fleet_demand_omits_peers_that_are_not_listed(self):
        demand = ModelDemand()
        demand.update_peer(PEER, {"m": demand_of(3.0, 1)})
        assert demand.fleet({}, [PEER])["m"] == demand_of(3.0, 1)
        assert demand.fleet({}, []) == {}


def demand_of(rate, waiting):
    from guavajunction.gateway import Demand

    return Demand(rate, waiting)
