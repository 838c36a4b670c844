"""Tests of the order leader's election and of handover without the store."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import catalogue
from fakes_links import FakeNetwork
from fakes_platform import FakeTable
from guavajunction.clock import SystemClock
from guavajunction.gateway import BackendRegistry, LoadView
from guavajunction.membership import Lease, owner
from guavajunction.swapping import (
    LEASE_NAME,
    LeaderStatus,
    LoadRateLimiter,
    OrderLeader,
    TermParts,
)

MIN_HANDOVER_SECONDS = 0.4


async def _always(_):
    return True


class Node:
    """One instance with its own view of the store."""

    def __init__(self, network, table, name):
        self.clock = SystemClock()
        self.links = network.join(name)
        self.table = table.client()
        lease = Lease(
            self.table,
            LEASE_NAME,
            self.links.me,
            self.clock,
            duration=MIN_HANDOVER_SECONDS,
            drift_margin=0.05,
        )
        self.sees_store = True
        self.nodes = []
        parts = TermParts(
            registry=BackendRegistry(self.clock),
            loads=LoadView(),
            catalogue=catalogue,
            demand=dict,
            resumes=dict,
            broadcast=lambda _: None,
            schedule_dispatch=lambda: None,
            acquire_send=_always,
            load_rate_limiter=LoadRateLimiter(5.0),
            clock=self.clock,
        )
        self.leader = OrderLeader(
            self.links,
            lease,
            None,
            parts,
            self.clock,
            candidates=lambda: [n.links.me for n in self.nodes if n.sees_store],
            min_handover_seconds=MIN_HANDOVER_SECONDS,
        )
        self.links.add_topic(
            "author", self.leader.status, self.leader.update_status, LeaderStatus
        )

    @property
    def fence(self):
        return self.leader.status().fence


@pytest.fixture
async def nodes(monkeypatch):
    monkeypatch.setattr(OrderLeader, "SETTLE_SECONDS", 0.05)
    monkeypatch.setattr(OrderLeader, "LEADER_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(OrderLeader, "CHECK_SECONDS", 0.02)
    network, table = FakeNetwork(), FakeTable()
    nodes = [Node(network, table, f"i{n}") for n in range(3)]
    for node in nodes:
        node.nodes = nodes
    tasks = [asyncio.create_task(node.leader.run()) for node in nodes]

    async def send_heartbeats():
        while True:
            for node in nodes:
                node.links.send_heartbeats()
            await asyncio.sleep(0.02)

    tasks.append(asyncio.create_task(send_heartbeats()))
    yield nodes
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def leader_of(nodes, *, other_than=None):
    async with asyncio.timeout(5):
        while True:
            leaders = [n for n in nodes if n.fence and n is not other_than]
            if leaders:
                return leaders[0]
            await asyncio.sleep(0.01)


async def ended(node):
    """Wait until the term of an instance has ended."""
    async with asyncio.timeout(5):
        while True:
            if not node.fence:
                return
            await asyncio.sleep(0.01)


class TestOrderLeader:
    """At most one instance at a time is the order leader."""

    async def test_one_instance_becomes_the_leader(self, nodes):
        first = await leader_of(nodes)
        assert first.links.me == owner(LEASE_NAME, [n.links.me for n in nodes])
        await asyncio.sleep(0.5)
        assert [n for n in nodes if n.fence] == [first]

    async def test_other_instances_send_no_requests_to_the_store(self, nodes):
        first = await leader_of(nodes)
        await asyncio.sleep(0.3)
        requests = [sum(n.table.counts.values()) for n in nodes if n is not first]
        assert requests == [0, 0]

    async def test_leader_without_the_store_is_replaced_with_a_higher_fence(
        self, nodes
    ):
        first = await leader_of(nodes)
        fence = first.fence
        first.table.down = True
        first.sees_store = False
        second = await leader_of(nodes, other_than=first)
        assert second.fence == fence + 1
        assert not first.fence

    async def test_leader_that_is_stopping_is_replaced(self, nodes):
        first = await leader_of(nodes)
        first.leader.stopping = True
        second = await leader_of(nodes, other_than=first)
        assert second.fence == 2

    async def test_leader_that_reaches_no_backend_server_is_replaced(self, nodes):
        first = await leader_of(nodes)
        first.leader.is_cut = lambda: True
        for node in nodes:
            node.nodes = [other for other in nodes if other is not first]
        second = await leader_of(nodes, other_than=first)
        assert second is not first
        assert first.fence == 0

    async def test_short_term_announces_the_orders_of_the_leader_before(self, nodes):
        """Guards against orders of two leaders to one server within a lease."""
        first = await leader_of(nodes)
        first.leader._term._manager._ordered_at["e1"] = first.clock.monotonic()
        first.leader.stopping = True
        second = await leader_of(nodes, other_than=first)
        second.leader.stopping = True
        await ended(second)
        assert "e1" in second.leader.status().seconds_since_order

    async def test_status_of_an_earlier_leader_changes_nothing(self, nodes):
        """Guards against a woken leader that makes its successor forget its loads."""
        first = await leader_of(nodes)
        stale = first.leader.status()
        first.leader.stopping = True
        second = await leader_of(nodes, other_than=first)
        third = next(n for n in nodes if n not in (first, second))
        limiter = second.leader._parts.load_rate_limiter
        limiter.record(second.clock.monotonic())
        await asyncio.sleep(0.1)
        for node in (second, third):
            node.leader.update_status(first.links.me, stale)
        assert len(limiter.ages(second.clock.monotonic())) == 1
        for node in (second, third):
            assert node.leader.latest_status()[0] == second.links.me
            ages = node.leader._parts.load_rate_limiter.ages(node.clock.monotonic())
            assert len(ages) == 1

    async def test_released_lease_of_an_earlier_leader_is_not_taken_over(self, nodes):
        first = await leader_of(nodes)
        stale = LeaderStatus(released_fence=first.fence)
        first.leader.stopping = True
        second = await leader_of(nodes, other_than=first)
        second.leader.update_status(first.links.me, stale)
        assert second.leader._released_lease is None

    async def test_terms_never_overlap(self, nodes):
        first = await leader_of(nodes)
        first.table.down = True
        first.sees_store = False
        async with asyncio.timeout(5):
            while not any(n.fence for n in nodes if n is not first):
                assert len([n for n in nodes if n.fence]) <= 1
                await asyncio.sleep(0.005)
