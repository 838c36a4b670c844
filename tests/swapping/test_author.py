"""Tests of who gives orders, and of handing that over without the store."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import catalogue
from fakes_links import FakeNetwork
from fakes_platform import FakeTable
from guavajunction.clock import SystemClock
from guavajunction.gateway import BackendBook, LoadView
from guavajunction.membership import Lease, owner
from guavajunction.swapping import (
    LEASE_NAME,
    AuthorBeat,
    LoadCeiling,
    OrderAuthor,
    TermParts,
)

TURN_SECONDS = 0.4


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
            duration=TURN_SECONDS,
            drift_margin=0.05,
        )
        self.seeing = True
        self.nodes = []
        parts = TermParts(
            book=BackendBook(self.clock),
            loads=LoadView(),
            catalogue=catalogue,
            demand=dict,
            tell_all=lambda _: None,
            wake=lambda: None,
            ceiling=LoadCeiling(5.0),
            clock=self.clock,
        )
        self.author = OrderAuthor(
            self.links,
            lease,
            None,
            parts,
            self.clock,
            candidates=lambda: [n.links.me for n in self.nodes if n.seeing],
            turn_seconds=TURN_SECONDS,
        )
        self.links.share(
            "author", self.author.status, self.author.update_status, AuthorBeat
        )

    @property
    def fence(self):
        return self.author.status().fence


@pytest.fixture
async def nodes(monkeypatch):
    monkeypatch.setattr(OrderAuthor, "SETTLE_SECONDS", 0.05)
    monkeypatch.setattr(OrderAuthor, "SILENT_SECONDS", 0.2)
    monkeypatch.setattr(OrderAuthor, "LOOK_SECONDS", 0.02)
    network, table = FakeNetwork(), FakeTable()
    nodes = [Node(network, table, f"i{n}") for n in range(3)]
    for node in nodes:
        node.nodes = nodes
    tasks = [asyncio.create_task(node.author.run()) for node in nodes]

    async def beat():
        while True:
            for node in nodes:
                node.links.beat()
            await asyncio.sleep(0.02)

    tasks.append(asyncio.create_task(beat()))
    yield nodes
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def author_of(nodes, *, other_than=None):
    async with asyncio.timeout(5):
        while True:
            authors = [n for n in nodes if n.fence and n is not other_than]
            if authors:
                return authors[0]
            await asyncio.sleep(0.01)


class TestAuthor:
    """One instance at a time gives orders."""

    async def test_one_instance_becomes_the_author(self, nodes):
        first = await author_of(nodes)
        assert first.links.me == owner(LEASE_NAME, [n.links.me for n in nodes])
        await asyncio.sleep(0.5)
        assert [n for n in nodes if n.fence] == [first]

    async def test_others_do_not_ask_the_store(self, nodes):
        first = await author_of(nodes)
        await asyncio.sleep(0.3)
        asked = [sum(n.table.counts.values()) for n in nodes if n is not first]
        assert asked == [0, 0]

    async def test_author_cut_from_the_store_hands_over_to_a_higher_fence(self, nodes):
        first = await author_of(nodes)
        fence = first.fence
        first.table.down = True
        first.seeing = False
        second = await author_of(nodes, other_than=first)
        assert second.fence == fence + 1
        assert not first.fence

    async def test_author_that_is_about_to_stop_is_followed(self, nodes):
        first = await author_of(nodes)
        first.author.stopping = True
        second = await author_of(nodes, other_than=first)
        assert second.fence == 2

    async def test_terms_never_overlap(self, nodes):
        first = await author_of(nodes)
        first.table.down = True
        first.seeing = False
        async with asyncio.timeout(5):
            while not any(n.fence for n in nodes if n is not first):
                assert len([n for n in nodes if n.fence]) <= 1
                await asyncio.sleep(0.005)
