"""Tests of the dispatcher: queue order, choice of replicas and early refusals."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from fakes_routing import BATCH, FakeReplicas, State, customer, request
from guavajunction.clock import ManualClock
from guavajunction.errors import NoReplica, Overloaded
from guavajunction.routing import (
    AffinitySelector,
    DecisionLog,
    DemandMeter,
    Dispatcher,
    FairQueue,
    LoadTracker,
)


def make_dispatcher(replicas, clock=None, *, max_queue=100, share=lambda: 0.0, seed=1):
    clock = clock or ManualClock()
    load_tracker = LoadTracker(clock)
    selector = AffinitySelector(replicas, load_tracker, random.Random(seed))
    dispatcher = Dispatcher(
        replicas,
        selector,
        load_tracker,
        DemandMeter(clock),
        DecisionLog(),
        clock,
        FairQueue(),
        max_queue=max_queue,
    )
    dispatcher.connect(share, lambda artifact: None)
    return dispatcher


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


class TestSlots:
    """Slots are granted and released, and none is leaked."""

    async def test_request_beyond_the_slots_waits_for_a_release(self):
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)))
        one = customer("one")
        first = await dispatcher.acquire(request(one, arrived=1000.0))
        task = asyncio.create_task(dispatcher.acquire(request(one, arrived=1000.0)))
        await settle()
        assert not task.done()
        dispatcher.release(first, 10)
        assert (await task).backend == "b"

    async def test_cancelled_wait_releases_a_slot_granted_before_the_cancel(self):
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)))
        one = customer("one")
        first = await dispatcher.acquire(request(one, arrived=1000.0))
        task = asyncio.create_task(dispatcher.acquire(request(one, arrived=1000.0)))
        await settle()
        dispatcher.release(first, 10)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        again = await dispatcher.acquire(request(one, arrived=1000.0))
        assert again.backend == "b"

    async def test_wait_ends_at_the_deadline_with_a_retry_after(self):
        clock = ManualClock()
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)), clock)
        one = customer("one")
        await dispatcher.acquire(request(one, arrived=1000.0))
        late = request(one, arrived=1000.0 - 1.99)
        with pytest.raises(Overloaded) as caught:
            await dispatcher.acquire(late)
        assert caught.value.not_run == "true"
        assert caught.value.retry_after > 0

    async def test_request_without_any_replica_is_refused_as_no_replica(self):
        dispatcher = make_dispatcher(FakeReplicas())
        with pytest.raises(NoReplica):
            await dispatcher.acquire(request(customer("one"), arrived=1000.0 - 1.99))


class TestOverload:
    """Requests that would miss their deadline are refused immediately."""

    async def test_request_that_would_miss_its_deadline_is_refused_at_once(self):
        clock = ManualClock()
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)), clock)
        one = customer("one")
        grant = await dispatcher.acquire(request(one, arrived=1000.0))
        clock.advance(10.0)
        dispatcher.release(grant, 10)
        await dispatcher.acquire(request(one, arrived=1010.0))
        with pytest.raises(Overloaded) as caught:
            await dispatcher.acquire(request(one, arrived=1010.0))
        assert caught.value.retry_after >= 5.0

    async def test_full_queue_refuses(self):
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)), max_queue=1)
        one = customer("one")
        await dispatcher.acquire(request(one, arrived=1000.0))
        task = asyncio.create_task(dispatcher.acquire(request(one, arrived=1000.0)))
        await settle()
        with pytest.raises(Overloaded):
            await dispatcher.acquire(request(one, arrived=1000.0))
        task.cancel()


class TestFairness:
    """Contended slots are shared by weight and served tokens, live before batch."""

    async def test_flood_of_one_customer_does_not_delay_another(self):
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)))
        flood, calm = customer("flood"), customer("calm")
        held = await dispatcher.acquire(request(flood, arrived=1000.0))
        order: list[str] = []

        async def serve(of):
            grant = await dispatcher.acquire(request(of, arrived=1000.0))
            order.append(of.name)
            dispatcher.release(grant, 10)

        tasks = [asyncio.create_task(serve(flood)) for _ in range(20)]
        await settle()
        tasks.append(asyncio.create_task(serve(calm)))
        await settle()
        dispatcher.release(held, 10)
        await asyncio.gather(*tasks)
        assert order.index("calm") <= 1

    async def test_slots_are_divided_by_customer_weight(self):
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)))
        heavy, light = customer("heavy", weight=3.0), customer("light")
        held = await dispatcher.acquire(request(customer("other"), arrived=1000.0))
        order: list[str] = []

        async def serve(of):
            grant = await dispatcher.acquire(request(of, arrived=1000.0))
            order.append(of.name)
            await asyncio.sleep(0)
            dispatcher.release(grant, 10)

        tasks = [
            asyncio.create_task(serve(of)) for of in (heavy, light) for _ in range(24)
        ]
        await settle()
        dispatcher.release(held, 10)
        await asyncio.gather(*tasks)
        served = Counter(order[:24])
        assert 16 <= served["heavy"] <= 20

    async def test_live_goes_before_batch(self):
        dispatcher = make_dispatcher(FakeReplicas(State("b", slots=1)))
        one = customer("one")
        held = await dispatcher.acquire(request(one, arrived=1000.0))
        order: list[str] = []

        async def serve(objective):
            grant = await dispatcher.acquire(
                request(one, objective or BATCH, arrived=1000.0)
            )
            order.append(grant.req.objective.name)
            dispatcher.release(grant, 10)

        tasks = [asyncio.create_task(serve(BATCH)) for _ in range(3)]
        await settle()
        live = request(one, arrived=1000.0).objective
        tasks.append(asyncio.create_task(serve(live)))
        await settle()
        dispatcher.release(held, 10)
        await settle()
        assert order[0] == "live"
        for task in tasks:
            task.cancel()

    async def test_instance_may_use_its_share_of_a_full_backend_server(self):
        full = State("b", running=4, slots=4, as_of=1000.0)
        dispatcher = make_dispatcher(FakeReplicas(full), share=lambda: 0.5)
        one = customer("one")
        for _ in range(2):
            await dispatcher.acquire(request(one, arrived=1000.0))
        task = asyncio.create_task(dispatcher.acquire(request(one, arrived=1000.0)))
        await settle()
        assert not task.done()
        task.cancel()


class TestChoice:
    """Prefix affinity within a load bound, without a thundering herd.

    Instances that read the same stale load report must not all choose the replica that
    the report shows as idle.
    """

    async def test_same_prefix_goes_to_the_same_replica_while_it_has_capacity(self):
        states = [State(name, slots=16) for name in "abcd"]
        dispatcher = make_dispatcher(FakeReplicas(*states))
        one = customer("one")
        grants = [
            await dispatcher.acquire(request(one, arrived=1000.0)) for _ in range(2)
        ]
        assert len({grant.backend for grant in grants}) == 1

    async def test_cached_prefix_takes_precedence_over_rendezvous_hashing(self):
        replicas = FakeReplicas(*[State(name, slots=16) for name in "abcd"])
        one = customer("one")
        hashed = (
            await make_dispatcher(replicas).acquire(request(one, arrived=1000.0))
        ).backend
        other = next(name for name in "abcd" if name != hashed)
        replicas.prefixes.add((other, "p"))
        grant = await make_dispatcher(replicas).acquire(request(one, arrived=1000.0))
        assert grant.backend == other

    async def test_stale_report_does_not_draw_every_instance_to_one_replica(self):
        idle = State("idle", running=0, slots=8, as_of=1000.0)
        busy = [State(n, running=6, slots=8, as_of=1000.0) for n in ("x", "y", "z")]
        replicas = FakeReplicas(idle, *busy)
        picks = Counter()
        for seed in range(8):
            dispatcher = make_dispatcher(replicas, seed=seed)
            for i in range(6):
                req = request(customer("one"), arrived=1000.0, prefix=f"{seed}/{i}")
                picks[(await dispatcher.acquire(req)).backend] += 1
        assert picks["idle"] <= 0.75 * sum(picks.values())

    async def test_own_requests_are_added_to_a_lagging_report(self):
        clock = ManualClock()
        replicas = FakeReplicas(State("b", running=0, slots=2, as_of=1000.0))
        dispatcher = make_dispatcher(replicas, clock)
        one = customer("one")
        clock.advance(0.1)
        for _ in range(2):
            await dispatcher.acquire(request(one, arrived=1000.1))
        task = asyncio.create_task(dispatcher.acquire(request(one, arrived=1000.1)))
        await settle()
        assert not task.done()
        task.cancel()
