"""Documents, fakes and in-process fleets for tests of the configuration."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import random
import tomllib
from collections.abc import AsyncIterator, Coroutine, Iterator
from pathlib import Path
from typing import Any

from fakes_clock import QuickClock
from fakes_links import FakeNetwork
from fakes_platform import FakeObjects, FakeTable
from guavajunction.configuration import (
    Accepted,
    Change,
    ConfigurationEditor,
    ConfigurationManager,
    ConfigurationStore,
    Sections,
)
from guavajunction.errors import (
    AcceptanceUnknown,
    PeerTimeout,
    PendingExpired,
    StoreAnswerLost,
    StoreUnavailable,
)
from guavajunction.storage import Row

EXAMPLE = (
    Path(__file__).parent.parent / "docs/reference/example-configuration.toml"
).read_text()


def example_sections() -> Sections:
    """Return a modifiable copy of the sections of the example document."""
    return copy.deepcopy({"keys": {}, **tomllib.loads(EXAMPLE)})


class FakeMembership:
    """Fake of a membership that announces changes and observes reads of the store."""

    def __init__(self) -> None:
        self.majority = True
        """Whether a majority of members acknowledges announcements."""
        self.expired = False
        """Whether an announcement has expired when the change is to be sent."""
        self.open = 0
        """Number of open announcements.

        A member with a note of one is not counted in the majority that is needed to
        serve during an outage of the store.
        """
        self.confirmed: list[float] = []
        """Start time of each confirmed read of the store."""

    @contextlib.asynccontextmanager
    async def pending(self, kind: str) -> AsyncIterator[FakeMembership]:
        """Open an announcement, which stays open if the outcome is unknown."""
        if not self.majority:
            raise PeerTimeout("no majority acknowledged")
        self.open += 1
        try:
            yield self
        except (AcceptanceUnknown, StoreAnswerLost):
            raise
        except BaseException:
            self.open -= 1
            raise
        self.open -= 1

    def check(self) -> None:
        """Raise if the announcement has expired."""
        if self.expired:
            raise PendingExpired("the announcement has expired")

    def on_store_read(self, started_at: float) -> None:
        """Record a confirmed read of the store."""
        self.confirmed.append(started_at)


class RacingTable(FakeTable):
    """A view of the table that interleaves calls with other tasks and loses some."""

    def __init__(self, root: FakeTable | None = None) -> None:
        super().__init__(root)
        self.rng = random.Random(0)
        """Random source of the number of steps that other tasks run before a call."""
        self.faults: Iterator[str | None] = iter(())
        """Fault of each put, in order: `lose_answers`, `lose_requests`, `late`,
        `refused` or None."""
        self.late: list[asyncio.Task[Row]] = []
        """Unanswered writes that reach the table later and may take effect."""

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row with the next fault of `faults`."""
        fault = next(self.faults, None)
        write = super().put(partition, sort, body, expected=expected)
        if fault == "late":
            self.late.append(asyncio.ensure_future(self._put_late(write)))
            await self._yield_to_tasks()
            raise StoreAnswerLost("no answer; the write may arrive later")
        if fault == "refused":
            write.close()
            await self._yield_to_tasks()
            raise StoreUnavailable("the write was refused")
        if fault is not None:
            setattr(self, fault, 1)
        return await write

    async def _put_late(self, write: Coroutine[Any, Any, Row]) -> Row:
        for _ in range(self.rng.randint(1, 9)):
            await self._yield_to_tasks()
        return await write

    async def _enter(self, operation: str) -> None:
        await self._yield_to_tasks()
        await super()._enter(operation)

    async def _leave(self) -> None:
        await super()._leave()
        await self._yield_to_tasks()

    async def _yield_to_tasks(self) -> None:
        for _ in range(self.rng.randint(1, 4)):
            await asyncio.sleep(0)


class Node:
    """The configuration objects of one instance."""

    def __init__(
        self, name: str, network: FakeNetwork, table: FakeTable, objects: FakeObjects
    ) -> None:
        self.table = RacingTable(table)
        self.links = network.join(name)
        self.clock = QuickClock()
        self.membership = FakeMembership()
        self.store = ConfigurationStore(
            self.table, objects, self.clock, now=lambda: 1.7e9, jitter=lambda: 0.5
        )
        self.manager = ConfigurationManager(
            self.store, self.links, self.membership, self.clock, jitter=lambda: 0.5
        )
        self.editor = ConfigurationEditor(self.store, self.manager, self.membership)


class Fleet:
    """Several nodes that share one store and one network."""

    def __init__(self, *names: str) -> None:
        self.network = FakeNetwork()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.nodes = [self.start(name) for name in names]

    def start(self, name: str) -> Node:
        """Create the node of an instance; the caller adds it to `nodes` if needed."""
        return Node(name, self.network, self.table, self.objects)

    async def accept_example(self) -> None:
        """Get the example document accepted and installed on every node."""
        change = change_of(example_sections(), attempt_id="first")
        await accept(self.nodes[0].store, change)
        for node in self.nodes:
            await node.manager.refresh()


def change_of(
    sections: dict[str, Any],
    *,
    attempt_id: str,
    author: str = "aino",
    based_on: dict[str, int] | None = None,
) -> Change:
    """Return a change, by default of sections that were never accepted."""
    versions = dict.fromkeys(sections, 0) if based_on is None else based_on
    return Change(sections, versions, author, attempt_id)


def rate_change(rate: float, attempt_id: str, version: int = 1) -> Change:
    """Return a change of the rate of customer `returns`."""
    customers = example_sections()["customers"]
    customers["returns"]["rate"] = rate
    return change_of(
        {"customers": customers}, attempt_id=attempt_id, based_on={"customers": version}
    )


def lose_head_writes(node: Node, *, times: int = 99) -> None:
    """Drop the next writes of the head row before they reach the table service."""
    put = node.table.put
    left = times

    async def losing(partition: str, sort: str, body: bytes, *, expected: int) -> Row:
        nonlocal left
        if partition == "configuration" and left > 0:
            left -= 1
            raise StoreAnswerLost("no answer; the write did not arrive")
        return await put(partition, sort, body, expected=expected)

    node.table.put = losing  # type: ignore[method-assign]


async def accept(store: ConfigurationStore, change: Change) -> Accepted:
    """Get a change accepted without announcing it to the members."""
    await store.write_bodies(change.sections)
    return await store.accept(change)
