"""Tests of `ServerSpeeds`: replays with late news, and rules for single answers."""

from __future__ import annotations

import contextlib
import functools
import math

import pytest

from fakes_gateway import FakeAnswer, FakeGateway, FakeSink, backend, fake_stream, size
from fakes_speed_replay import LARGE, SMALL, Engine, SpeedReplay
from guavajunction.clock import ManualClock
from guavajunction.errors import RequestError
from guavajunction.gateway import Load, ServerSpeeds, SlowServer
from guavajunction.gateway import _events as events
from guavajunction.peers import PeerId

FLEETS = pytest.mark.parametrize("instances", [8, 90, 300])
IDLE = Load(0, 0)
SLOW = backend("slow", slots=16)
PEER = PeerId("p", "1")


def slow_all_day(name, now):
    return 3.0 if name == "e0" else 1.0


def slow_for_5_seconds(name, now):
    return 4.0 if name == "e0" and 15 < now < 20 else 1.0


def all_slow_for_5_seconds(name, now):
    """Return a slowness at which the engines of the replay are just fully used."""
    return 2.0 if 15 < now < 20 else 1.0


def all_overloaded_for_5_seconds(name, now):
    """Return a slowness at which they get twice the requests that they can serve."""
    return 4.0 if 15 < now < 20 else 1.0


@functools.cache
def replay(instances, slow=None, *, fixed=False, engines=(SMALL,) * 6):
    """Return 40 s of 6 requests a second for each of 6 backend servers."""
    options = {"slow": slow} if slow else {}
    return SpeedReplay(instances, engines, fixed=fixed, **options).run(40, 36)


class TestReplay:
    """Servers get requests by their speed, and the choice does not oscillate."""

    @FLEETS
    def test_server_three_times_slower_gets_a_third(self, instances):
        shares = replay(instances, slow_all_day).shares()
        slow = shares.pop("e0")
        mean = sum(shares.values()) / len(shares)
        assert 0 < slow < 1.1 * mean / 3

    @FLEETS
    def test_fixed_figures_give_it_more_than_a_third(self, instances):
        """Shows that the bound of the test above fails without estimates."""
        shares = replay(instances, slow_all_day, fixed=True).shares()
        slow = shares.pop("e0")
        assert slow > 1.1 * sum(shares.values()) / len(shares) / 3

    @FLEETS
    def test_first_events_are_earlier_than_with_fixed_figures(self, instances):
        late = replay(instances, slow_all_day).late(0.99)
        assert late < replay(instances, slow_all_day, fixed=True).late(0.99)

    @FLEETS
    def test_server_that_was_slow_for_seconds_gets_its_share_again(self, instances):
        burst = replay(instances, slow_for_5_seconds)
        assert burst.shares(17, 21)["e0"] < 0.75
        assert burst.shares(30, 40)["e0"] > 0.75

    @FLEETS
    @pytest.mark.parametrize("slow", [None, all_slow_for_5_seconds])
    def test_equal_servers_are_neither_starved_nor_crowded(self, instances, slow):
        """Noise in single answers must not add up to a factor, nor a common delay."""
        fleet = replay(instances, slow)
        for since, until in [(10, 20), (20, 30), (30, 40)]:
            shares = fleet.shares(since, until).values()
            assert min(shares) > 0.5
            assert max(shares) < 1.5
        factors = [
            s.factors.of(r.identity) for s in fleet.speeds for r in fleet.records
        ]
        assert max(factors) < 1.5
        assert min(factors) > 1 / 1.5

    @FLEETS
    def test_no_server_is_starved_when_all_are_overloaded(self, instances):
        """Servers with the longest backlogs get fewer, but each gets some."""
        fleet = replay(instances, all_overloaded_for_5_seconds)
        for since, until in [(15, 20), (20, 30), (30, 40)]:
            assert min(fleet.shares(since, until).values()) > 0

    @FLEETS
    def test_servers_that_differ_by_a_third_share_by_speed(self, instances):
        slower = Engine(SMALL.tokens_per_ms * 0.75, SMALL.step_ms / 0.75, 16)
        engines = (slower,) * 2 + (SMALL,) * 4
        shares = replay(instances, engines=engines).shares()
        fast = sum(shares[name] for name in ("e2", "e3", "e4", "e5")) / 4
        assert 0.6 < (shares["e0"] + shares["e1"]) / 2 / fast < 0.95

    @pytest.mark.parametrize("engine", [SMALL, LARGE], ids=["small", "large"])
    def test_estimates_approach_the_engine(self, engine):
        """The fixed figures are off by 30 to 35% and by 27 to 154%."""
        fleet = replay(8, engines=(engine,) * 6)
        rate = fleet.speeds[0]._services["engines"].prefill_rate
        true_rate = engine.tokens_per_ms * 1000
        assert abs(math.log(rate / true_rate)) < abs(math.log(25_000 / true_rate))
        times = fleet.speeds[0].token_times("engines")
        assert times.output_token_seconds == pytest.approx(engine.step_ms / 1000, 0.05)


class TestAdmission:
    """Estimates decide about refusals only after enough samples."""

    def fill(self, speeds, answers):
        for _ in range(answers):
            speeds.note_first_event(SLOW, 1000, IDLE, 0.2)
            speeds.note_complete(SLOW, 51, IDLE, 5.0, output_seconds=2.0)

    def test_few_samples_change_nothing(self):
        speeds = ServerSpeeds(ManualClock())
        before = speeds.token_times("engines"), speeds.run_seconds("engines")
        self.fill(speeds, 19)
        after = speeds.token_times("engines"), speeds.run_seconds("engines")
        assert after == before == ((25_000.0, 0.012), 1.5)

    def test_slow_service_is_not_promised_more_than_it_does(self):
        speeds = ServerSpeeds(ManualClock())
        self.fill(speeds, 60)
        assert speeds.token_times("engines").output_token_seconds > 0.036
        assert speeds.run_seconds("engines") > 4.5

    async def test_request_is_sent_to_a_free_server_though_its_maximum_would_not_end(
        self,
    ):
        gateway = FakeGateway(backend("e", models=["m1"]))
        for _ in range(60):
            gateway.queue.speeds.note_complete(
                backend("e"), 51, IDLE, 60.0, output_seconds=50.0
            )
        sink = await gateway.serve("/draft/1", size=size(output=500))
        assert sink.finished

    def test_no_evidence_equals_the_fixed_figures(self):
        speeds = ServerSpeeds(ManualClock())
        load = Load(39, 4000)
        assert speeds.first_event_seconds(
            backend("e", slots=32), 1000, load
        ) == pytest.approx(0.2 + 39 * 0.004 + 0.125)


class TestAnswers:
    """Only whole streams count; errors at once do not look like speed."""

    def gateway(self, *script):
        gateway = FakeGateway(backend("e", models=["m1"]))
        gateway.caller.script.extend(script)
        return gateway

    async def speed_after(self, gateway):
        before = gateway.queue.speeds.first_event_seconds(backend("e"), 1000, IDLE)
        with contextlib.suppress(RequestError):
            await gateway.serve("/draft/1")
        after = gateway.queue.speeds.first_event_seconds(backend("e"), 1000, IDLE)
        return after / before

    @pytest.mark.parametrize(
        "answer",
        [
            FakeAnswer(500),
            fake_stream((b"event: error\n\n", b"data: [DONE]\n\n"), status=200),
            fake_stream((b"data: a\n\n",), cut=True),
            fake_stream((b"data: a\n\n",) * 5, status=503),
        ],
        ids=["500", "error in a stream", "cut", "503 as a stream"],
    )
    async def test_fast_failure_is_no_speed(self, answer):
        gateway = self.gateway()

        def fast():
            gateway.clock.advance(0.002)
            return answer

        gateway.caller.script.append(fast)
        assert await self.speed_after(gateway) == 1.0

    async def test_whole_stream_counts(self):
        gateway = self.gateway()

        def late():
            gateway.clock.advance(0.4)
            return fake_stream((b"data: a\n\n",) * 5)

        gateway.caller.script.append(late)
        assert await self.speed_after(gateway) > 1.0

    async def test_caller_that_blocks_does_not_make_the_server_slow(self, monkeypatch):
        gateway = self.gateway(*[fake_stream((b"data: a\n\n",) * 50)] * 30)

        async def write(sink, chunk):
            gateway.clock.advance(0.5)

        monkeypatch.setattr(FakeSink, "write", write)
        for _ in range(30):
            await gateway.serve("/draft/1", seconds=100.0)
        assert gateway.queue.speeds.token_times("engines").output_token_seconds < 0.013
        assert gateway.queue.speeds.run_seconds("engines") == 1.5


class TestFactors:
    """Evidence of slow servers is shared, counted once, and forgotten in seconds."""

    @pytest.fixture
    def clock(self):
        return ManualClock()

    @pytest.fixture
    def factors(self, clock):
        return ServerSpeeds(clock).factors

    def test_factor_decays_when_messages_are_lost(self, clock, factors):
        factors.update_peer(PEER, [SlowServer(SLOW.identity, 3.0, 20.0)])
        assert factors.of(SLOW.identity) > 2.0
        clock.advance(12.0)
        assert factors.of(SLOW.identity) < 1.15

    def test_repeated_report_counts_once(self, clock, factors):
        report = [SlowServer(SLOW.identity, 3.0, 4.0)]
        factors.update_peer(PEER, report)
        once = factors.of(SLOW.identity)
        clock.advance(0.0001)
        factors.update_peer(PEER, report)
        assert factors.of(SLOW.identity) == pytest.approx(once, 0.001)

    def test_hub_does_not_return_what_a_follower_reported(self, factors):
        other = PeerId("q", "1")
        factors.update_peer(PEER, [SlowServer(SLOW.identity, 3.0, 4.0)])
        assert factors.slow_without(PEER) == []
        assert factors.slow_without(other) == [SlowServer(SLOW.identity, 3.0, 4.0)]

    def test_usual_speed_is_not_reported(self, factors):
        for _ in range(20):
            factors.note_output(SLOW.identity, 1.4)
            factors.note_first_event(SLOW.identity, 3.0)
        assert factors.own_slow() == []
        factors.note_output(backend("x").identity, 2.0)
        assert [s.backend.name for s in factors.own_slow()] == ["x"]

    @pytest.mark.parametrize("factor", [math.nan, math.inf, -1.0, 0.0, 1e300])
    def test_malformed_reports_do_no_harm(self, factors, factor):
        factors.update_peer(PEER, [SlowServer(SLOW.identity, factor, 1e300)])
        assert 0.5 <= factors.of(SLOW.identity) <= 8.0

    def test_new_incarnation_starts_anew(self, clock):
        speeds = ServerSpeeds(clock)
        speeds.factors.note_output(SLOW.identity, 4.0)
        restarted = SLOW._replace(incarnation=2)
        assert speeds.factors.of(restarted.identity) == 1.0
        speeds.keep_only([restarted])
        assert speeds.factors.of(SLOW.identity) == 1.0

    def test_log_lines_are_bounded(self, clock, monkeypatch):
        lines = []
        monkeypatch.setattr(
            type(events.SERVER_SPEED), "log", lambda *_, **line: lines.append(line)
        )
        speeds = ServerSpeeds(clock)
        for n in range(1000):
            clock.advance(0.01)
            record = backend(f"e{n % 50}", slots=16)
            seconds = 0.04 if n % 50 < 25 else 0.8
            speeds.note_first_event(record, 1000, IDLE, seconds)
        assert 1 <= len(lines) <= 11
