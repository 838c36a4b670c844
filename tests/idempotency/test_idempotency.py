"""Tests that a claimed request runs at most once and that errors report its outcome."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fakes_idempotency import (
    DOWN,
    FAULTS,
    LOST_ANSWER,
    LOST_REQUEST,
    OK,
    Instance,
    start,
)
from guavajunction.errors import (
    InProgress,
    InstanceNotReady,
    KeyReused,
    OutcomeUnknown,
    RequestError,
    StoreUnavailableForRequest,
)
from guavajunction.idempotency import Claim, RecordedAnswer, _events
from guavajunction.idempotency._claim_key import PARTITIONS, claim_key

ANSWER = RecordedAnswer(201, (("X-Run", "1"),), b"booked")


class TestRepeat:
    """Repeated requests with the same idempotency key."""

    async def test_recorded_answer_is_replayed_at_all_instances(self):
        fleet, (a, b) = start("ab")
        assert await a.call() == await b.call() == await a.call() == ANSWER
        assert fleet.runs == {"k": 1}

    async def test_large_answer_is_stored_as_an_object(self):
        fleet, (a, b) = start("ab")
        claim = await a.claim()
        a.send(claim)
        body = bytes(range(256)) * 1000
        await claim.done(200, [("A", "b")], body)
        assert await b.claim() == RecordedAnswer(200, (("A", "b"),), body)
        fleet.objects.down = True
        with pytest.raises(StoreUnavailableForRequest) as refusal:
            await b.claim()
        assert refusal.value.not_run == "false"

    async def test_object_of_another_answer_is_not_replayed(self):
        fleet, (a, b) = start("ab")
        claim = await a.claim()
        a.send(claim)
        await claim.done(200, [], b"x" * 10_000)
        (name,) = fleet.objects.objects
        fleet.objects.objects[name] = b"the answer to another request"
        with pytest.raises(StoreUnavailableForRequest):
            await b.claim()

    async def test_concurrent_requests_run_once_and_both_are_answered(self):
        fleet, (a, b) = start("ab")
        answers = await asyncio.gather(a.call(), b.call())
        assert answers == [ANSWER, ANSWER]
        assert fleet.runs == {"k": 1}

    async def test_a_repeat_does_not_wait_for_a_slow_first_send(self):
        _, (a, b) = start("ab")
        assert isinstance(await a.claim(), Claim)
        with pytest.raises(InProgress) as refusal:
            await b.claim()
        assert refusal.value.not_run == "unknown"
        assert refusal.value.retry_after

    async def test_different_request_with_the_same_key_is_refused(self):
        _, (a, b) = start("ab")
        await a.call()
        with pytest.raises(KeyReused):
            await b.claim(request_hash="other")

    async def test_customers_do_not_share_keys(self):
        _, (a,) = start("a")
        await a.call()
        assert isinstance(await a.registry.claim("b", "k", "h"), Claim)


class TestHolder:
    """The instance that has the claim is slow, paused or failed."""

    async def test_claim_of_a_failed_holder_is_never_taken_over(self):
        fleet, (a, b) = start("ab")
        claim = await a.claim()
        a.crash()
        for _ in range(3):
            refusal = await b.refusal()
            assert isinstance(refusal, OutcomeUnknown)
            assert refusal.not_run == "unknown"
        with pytest.raises(InstanceNotReady):
            a.send(claim)
        assert not fleet.runs

    async def test_claim_is_released_if_its_holder_may_no_longer_send(self):
        fleet, (a, b) = start("ab")
        claim = await a.claim()
        a.has_standing = False
        with pytest.raises(InstanceNotReady) as refusal:
            async with claim:
                a.send(claim)
        assert refusal.value.not_run == "true"
        await a.step()
        assert await b.call() == ANSWER
        assert fleet.runs == {"k": 1}

    async def test_cancelled_send_without_an_outcome_is_unknown(self):
        _, (a, b) = start("ab")
        claim = await a.claim()
        sent = asyncio.Event()

        async def send_and_wait():
            async with claim:
                a.send(claim)
                await sent.wait()

        task = asyncio.ensure_future(send_and_wait())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        await a.step()
        assert isinstance(await b.refusal(), OutcomeUnknown)

    async def test_released_claim_is_taken_by_one_of_many(self):
        fleet, (a, *others) = start("abcde")
        claim = await a.claim()
        await claim.not_run()
        await asyncio.gather(*(other.call() for other in others))
        assert fleet.runs == {"k": 1}

    async def test_an_outcome_is_recorded_only_once(self):
        _, (a, b) = start("ab")
        claim = await a.claim()
        a.send(claim)
        await claim.done(*ANSWER)
        await claim.unknown()
        await claim.not_run()
        assert await b.claim() == ANSWER


class TestStore:
    """Failures of the table service."""

    async def test_request_is_not_sent_without_the_store(self):
        fleet, (a,) = start("a")
        a.table.down = True
        refusal = await a.refusal()
        assert isinstance(refusal, StoreUnavailableForRequest)
        assert refusal.not_run == "true"
        assert refusal.retry_after
        assert not fleet.runs

    @pytest.mark.parametrize("fault", [LOST_ANSWER, LOST_REQUEST])
    async def test_claim_is_recognised_after_a_lost_reply(self, fault):
        fleet, (a,) = start("a")
        a.table.faults = [fault]
        assert await a.call() == ANSWER
        assert fleet.runs == {"k": 1}

    async def test_abandoned_insert_does_not_block_the_key(self):
        fleet, (a, b) = start("ab")
        a.table.faults = [LOST_ANSWER, DOWN, DOWN, DOWN]
        refusal = await a.refusal()
        assert isinstance(refusal, StoreUnavailableForRequest)
        assert refusal.not_run == "true"
        await a.step()
        assert await b.call() == ANSWER
        assert fleet.runs == {"k": 1}

    async def test_insert_that_arrives_after_it_was_abandoned_is_released(self):
        fleet, (a, b) = start("ab")
        late = []

        async def put(partition, sort, body, *, expected):
            late.append((partition, sort, body))
            put_and_lose = a.table.__class__.put
            a.table.faults = [LOST_REQUEST]
            return await put_and_lose(a.table, partition, sort, body, expected=expected)

        a.table.put = put
        assert isinstance(await a.refusal(), StoreUnavailableForRequest)
        del a.table.put
        await a.step()
        await fleet.table.put(*late[0], expected=0)
        assert isinstance(await b.refusal(), InProgress)
        await a.step()
        assert await b.call() == ANSWER

    async def test_a_cancelled_insert_does_not_block_the_key(self):
        _, (a, b) = start("ab")
        a.table.after_effect = asyncio.Event()
        task = asyncio.ensure_future(a.claim())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        a.table.after_effect = None
        assert isinstance(await b.refusal(), InProgress)
        await a.step()
        assert await b.call() == ANSWER

    async def test_abandoned_insert_does_not_change_the_claim_of_another(self):
        fleet, (a, b, c) = start("abc")
        a.table.faults = [LOST_REQUEST] * 4
        assert isinstance(await a.refusal(), StoreUnavailableForRequest)
        b.send(await b.claim())
        await a.step()
        assert isinstance(await c.refusal(), InProgress)
        assert fleet.runs == {"k": 1}

    @pytest.mark.parametrize("faults", [[OK, DOWN], [OK, OK, DOWN]])
    async def test_unreadable_claim_is_reported_as_possibly_run(self, faults):
        _, (a, b) = start("ab")
        a.send(await a.claim())
        b.table.faults = faults
        refusal = await b.refusal()
        assert isinstance(refusal, StoreUnavailableForRequest)
        assert refusal.not_run == "unknown"

    async def test_answer_is_returned_although_it_cannot_be_recorded(self):
        fleet, (a, b) = start("ab")
        claim = await a.claim()
        a.send(claim)
        a.table.down = True
        await claim.done(*ANSWER)
        a.table.down = False
        assert await a.claim() == ANSWER
        assert isinstance(await b.refusal(), InProgress)
        await a.step()
        assert await b.claim() == ANSWER
        assert fleet.runs == {"k": 1}

    async def test_deferred_outcome_is_logged_once(self, monkeypatch):
        logged: list[str] = []
        monkeypatch.setattr(
            _events.OUTCOME_DEFERRED, "log", lambda **f: logged.append(f["attempt"])
        )
        _, (a,) = start("a")
        claim = await a.claim()
        a.send(claim)
        a.table.down = True
        await claim.done(*ANSWER)
        for _ in range(5):
            await a.step()
        assert logged == [claim.attempt]

    async def test_an_outcome_that_is_never_written_is_unknown(self):
        fleet, (a, b) = start("ab")
        claim = await a.claim()
        a.send(claim)
        a.table.down = True
        await claim.done(*ANSWER)
        fleet.clock.advance(901.0)
        await a.step()
        a.crash()
        assert isinstance(await b.refusal(), OutcomeUnknown)

    async def test_a_claim_costs_one_write_and_an_outcome_another(self):
        _, (a,) = start("a")
        await a.call()
        assert a.table.counts == {"put": 2}


class TestRetention:
    """Deletion of expired claims."""

    async def test_only_expired_claims_are_deleted_and_by_one_instance(self):
        fleet, (a, b) = start("ab")
        await a.call("old")
        fleet.now += a.registry.RETENTION_SECONDS
        await a.call("new")
        await b.step(PARTITIONS)
        assert b.table.counts["query"] == 0
        await a.step(PARTITIONS)
        assert list(fleet.table.rows) == [tuple(claim_key("a", "new"))]


class TestEveryFault:
    """All combinations of store faults, with an instance that crashes at each step."""

    STEPS = ("never", "after the claim", "after the check", "after the send")

    async def attempt(self, instance: Instance, crash_at: str) -> RequestError | None:
        """Make one call whose instance may crash at a step, and return its error."""
        try:
            claim = await instance.claim()
        except RequestError as exc:
            return exc
        if isinstance(claim, RecordedAnswer) or crash_at == self.STEPS[1]:
            return None
        claim.check()
        if crash_at == self.STEPS[2]:
            return None
        instance.fleet.runs["k"] += 1
        if crash_at != self.STEPS[3]:
            await claim.done(*ANSWER)
        return None

    @pytest.mark.parametrize("crash_at", STEPS)
    async def test_request_runs_at_most_once_and_errors_are_correct(self, crash_at):
        for faults in itertools.product(FAULTS, repeat=3):
            for fault in FAULTS:
                fleet, (a, b, c) = start("abc")
                a.table.faults = list(faults)
                b.table.faults = [OK, fault]
                refusal = await self.attempt(a, crash_at)
                if refusal is not None and refusal.not_run == "true":
                    assert not fleet.runs
                before = fleet.runs["k"]
                repeat = await self.attempt(b, "never")
                if repeat is not None and repeat.not_run == "true":
                    assert fleet.runs["k"] == before
                if crash_at == "never":
                    await a.step(2)
                else:
                    a.crash()
                await b.step(2)
                last = await self.attempt(c, "never")
                assert fleet.runs["k"] <= 1
                if isinstance(last, OutcomeUnknown):
                    assert crash_at != "never"
                if crash_at == "never":
                    assert last is None
                    assert fleet.runs["k"] == 1
