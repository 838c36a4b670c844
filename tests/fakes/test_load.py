"""Tests of the load tool: schedule, verdicts on answers, and rate limit checks."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json

import pytest
from aiohttp import web

from guavajunction_fakes import FakeServer, FakeService, expected_answer
from guavajunction_fakes.engine import prompt_of
from guavajunction_fakes.fleet import PROFILES, CustomerAccess, Roster
from guavajunction_fakes.load import (
    ClientTokenBucket,
    LoadPlan,
    Verdict,
    arrivals,
    run_load,
)
from guavajunction_fakes.load._bucket import excess_tokens

DEMO = PROFILES["demo"]
PLAN = LoadPlan(seconds=0.2, scale=6.0, burst_factor=1.0, retries=1, settle_seconds=0.0)


class FakeEntry(FakeServer):
    """Stand-in of an entry instance whose answers a test sets."""

    def __init__(self, service):
        super().__init__()
        self.service = service
        self.answer = "whole"
        self.calls = "once"
        self.urls = []
        self.tiers = set()
        self.refusals_left = 0
        self.retried_after = []
        self._refused_at = {}

    def routes(self):
        return [
            web.get("/v1/instances", self.on_instances),
            web.post("/v1/chat/completions", self.on_chat),
            web.post("/services/booking/bookings", self.on_call),
        ]

    async def on_instances(self, req):
        ports = [int(url.rpartition(":")[2]) for url in self.urls]
        entries = [{"address": "127.0.0.1", "port": port} for port in ports]
        return web.json_response({"instances": entries, "ttl_seconds": 0.2})

    async def on_chat(self, req):
        body = await req.json()
        self.tiers.add(body.get("service_tier"))
        prompt = prompt_of(body)
        now = asyncio.get_running_loop().time()
        if self.refusals_left < 0:
            return refusal("overloaded", 503, retry_after=None)
        if prompt in self._refused_at:
            self.retried_after.append(now - self._refused_at.pop(prompt))
        elif self.refusals_left:
            self.refusals_left -= 1
            self._refused_at[prompt] = now
            return refusal("rate_limited", 429, retry_after=0.1)
        return await self.stream(req, body, prompt)

    async def stream(self, req, body, prompt):
        text = expected_answer(body["model"], prompt, body["max_tokens"])
        resp = web.StreamResponse()
        await resp.prepare(req)
        shown = {"cut as whole": text[:-5], "wrong": " other"}.get(self.answer, text)
        await resp.write(event({"choices": [{"delta": {"content": shown}}]}))
        if self.answer == "error":
            failure = json.dumps({"error": {"type": "answer_cut", "not_run": "false"}})
            await resp.write(f"event: error\ndata: {failure}\n\n".encode())
        elif self.answer != "cut":
            await resp.write(b"data: [DONE]\n\n")
        return resp

    async def on_call(self, req):
        key = req.headers["Idempotency-Key"]
        if self.calls != "without a run":
            self.service.log.add(req, "call")
        if self.calls == "twice":
            self.service.log.add(req, "call")
        if self.calls == "lying":
            return refusal("overloaded", 503, retry_after=None)
        return web.json_response(
            {"body_sha256": hash_of(await req.read()), "key": key}, status=201
        )


def hash_of(body):
    return hashlib.sha256(body).hexdigest()


def event(body):
    return f"data: {json.dumps(body)}\n\n".encode()


def refusal(kind, status, retry_after):
    error = {"type": kind, "not_run": "true", "request_id": "r"}
    return web.json_response(
        {"error": {**error, "retry_after": retry_after}}, status=status
    )


@pytest.fixture
async def fleet():
    """Yield two fake entry instances in front of one plain service, and the roster."""
    async with contextlib.AsyncExitStack() as stack:
        service = FakeService()
        service_url = await stack.enter_async_context(service.serve())
        entries = [FakeEntry(service) for _ in range(2)]
        urls = [await stack.enter_async_context(e.serve()) for e in entries]
        for entry in entries:
            entry.urls = urls
        roster = Roster(
            profile="demo",
            entries=urls,
            engines=[service_url],
            services=[service_url],
            platform={},
            data_centres=["north"],
            models=DEMO.model_names,
            service=DEMO.service,
            live=DEMO.live,
            batch=DEMO.batch,
            customers=[
                CustomerAccess(plan._replace(calls_per_second=10.0), "key")
                for plan in DEMO.customers
            ],
            operator_token="",
        )
        yield entries, roster


async def load(fleet, **changes):
    entries, roster = fleet
    for entry in entries:
        for name, value in changes.items():
            setattr(entry, name, value)
    return await run_load(roster, PLAN)


def verdicts(report, kind="chat"):
    return {
        outcome.verdict
        for outcome in report.outcomes
        if (outcome.arrival.kind == "call") == (kind == "call")
    }


class TestSchedule:
    """Arrivals depend on the seed, come in bursts and have the planned mean rate."""

    async def test_the_same_seed_gives_the_same_schedule(self, fleet):
        _, roster = fleet
        plan = LoadPlan(seconds=5)
        assert arrivals(roster, plan) == arrivals(roster, plan)
        assert arrivals(roster, plan) != arrivals(roster, plan._replace(seed=2))

    async def test_mean_rate_and_burstiness(self, fleet):
        _, roster = fleet
        plan = LoadPlan(seconds=600)
        drawn = [a for a in arrivals(roster, plan) if a.kind == "live"]
        rates = [access.plan.rate for access in roster.customers]
        mean = sum(rates) * 0.35 / (plan.prompt_bytes / 4 + plan.max_tokens)
        assert len(drawn) == pytest.approx(mean * plan.seconds, rel=0.1)
        per_second = [0] * 600
        for arrival in drawn:
            per_second[int(arrival.at)] += 1
        variance = sum((n - mean) ** 2 for n in per_second) / 600
        assert variance > 1.3 * mean

    async def test_model_popularity_shifts(self, fleet):
        _, roster = fleet
        plan = LoadPlan(seconds=100, shift_seconds=50, scale=5, skew=2.0)
        drawn = [a for a in arrivals(roster, plan) if a.model]

        def most_requested_model(part):
            models = [a.model for a in part]
            return max(set(models), key=models.count)

        early = most_requested_model(a for a in drawn if a.at < 50)
        assert early != most_requested_model(a for a in drawn if a.at >= 50)


class TestVerdicts:
    """The load tool distinguishes all kinds of wrong answers."""

    async def test_whole_answers(self, fleet):
        report = await load(fleet)
        figures = report.as_dict()
        assert verdicts(report) == {Verdict.WHOLE}
        assert figures["attainment"] == 1.0
        assert not any(figures["promises"].values())
        assert "attainment 100.0%" in report.table()
        assert {tier for entry in fleet[0] for tier in entry.tiers} == {None, "flex"}

    @pytest.mark.parametrize(
        ("answer", "verdict", "refusals"),
        [
            ("cut as whole", Verdict.CUT_AS_WHOLE, set()),
            ("wrong", Verdict.WRONG, set()),
            ("cut", Verdict.CUT, set()),
            ("error", Verdict.CUT, {"answer_cut"}),
        ],
    )
    async def test_bad_answers(self, fleet, answer, verdict, refusals):
        report = await load(fleet, answer=answer)
        assert set(report.as_dict()["refused"]) == refusals
        assert verdicts(report) == {verdict}
        assert report.as_dict()["attainment"] == 0.0
        broken = verdict in (Verdict.CUT_AS_WHOLE, Verdict.WRONG)
        assert any(report.as_dict()["promises"].values()) is broken

    @pytest.mark.parametrize(
        ("calls", "promise"),
        [
            ("twice", "doubled_calls"),
            ("lying", "false_not_run"),
            ("without a run", "answered_without_run"),
        ],
    )
    async def test_guarantee_violations_of_calls(self, fleet, calls, promise):
        report = await load(fleet, calls=calls)
        sent = [o for o in report.outcomes if o.arrival.kind == "call"]
        broken = report.as_dict()["promises"]
        assert broken.pop(promise) == len(sent) > 0
        assert not any(broken.values())

    async def test_a_refusal_is_retried_after_retry_after(self, fleet):
        report = await load(fleet, refusals_left=2)
        waits = [wait for entry in fleet[0] for wait in entry.retried_after]
        assert len(waits) == 2
        assert min(waits) >= 0.1
        assert verdicts(report) == {Verdict.WHOLE}
        figures = report.as_dict()
        assert figures["wrongful_refusals"] == {"rate_limited": 2}
        assert figures["wrongfully_refused"] == 0

    async def test_a_request_refused_at_each_attempt_is_wrongfully_refused(self, fleet):
        report = await load(fleet, refusals_left=-1)
        chats = [o for o in report.outcomes if o.arrival.kind != "call"]
        figures = report.as_dict()
        assert figures["wrongfully_refused"] == len(chats)
        assert figures["attainment"] == 0.0
        for name, row in figures["customers"].items():
            calls = sum(o.arrival.customer == name for o in report.outcomes) - sum(
                o.arrival.customer == name for o in chats
            )
            asked = calls * 10.0 + sum(
                o.arrival.expected_tokens for o in chats if o.arrival.customer == name
            )
            assert row["served_share"] == pytest.approx(calls * 10.0 / asked, abs=1e-4)

    async def test_an_unreachable_instance_is_skipped(self, fleet):
        entries, _ = fleet
        entries[0].faults.set(outage="refuse", outage_seconds=30)
        await asyncio.sleep(0.05)
        report = await load(fleet)
        assert verdicts(report) == {Verdict.WHOLE}


class TestTokenBucket:
    """Rate limit checks from the caller's side."""

    def test_charges_and_refunds(self):
        bucket = ClientTokenBucket(rate=10.0, burst=100.0, now=0.0)
        assert bucket.charge(100.0, now=0.0)
        assert not bucket.charge(10.0, now=0.5)
        bucket.refund(10.0, now=0.5)
        assert bucket.charge(10.0, now=1.0)

    def test_tokens_beyond_the_burst_are_reported(self):
        uses = [(0.0, 0.0, 60.0), (0.0, 0.0, 60.0)]
        assert excess_tokens(uses, rate=10.0, burst=100.0) == pytest.approx(20.0)

    def test_a_request_that_waited_may_have_been_admitted_early(self):
        uses = [(0.0, 5.0, 60.0), (0.0, 5.0, 60.0)]
        assert excess_tokens(uses, rate=10.0, burst=100.0) == 0.0

    def test_use_at_the_rate_is_within_the_limit(self):
        uses = [(float(n), float(n), 10.0) for n in range(100)]
        assert excess_tokens(uses, rate=10.0, burst=10.0) == 0.0
