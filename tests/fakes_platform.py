"""In-memory platform services with faults that tests can inject."""

from __future__ import annotations

import asyncio
from collections import Counter

from guavajunction.errors import (
    ConditionFailed,
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from guavajunction.storage import InstanceRecord, Row, position, version_of


class FakeTable:
    """An in-memory table service with a separate view for each instance.

    `client()` returns a view of the same rows with its own faults. A test can thus cut
    one instance off from the store while the other instances keep writing.
    """

    def __init__(self, root: FakeTable | None = None) -> None:
        self._root = root or self
        self.rows: dict[tuple[str, str], Row] = root.rows if root else {}
        """Rows by partition and sort key, shared by all views."""
        self.era = 0
        """How often the table service came back from a copy."""
        self.down = False
        """Whether every call fails before it takes effect."""
        self.lose_answers = 0
        """Number of upcoming writes that take effect but are not answered."""
        self.lose_requests = 0
        """Number of upcoming writes that are neither applied nor answered."""
        self.before_effect: asyncio.Event | None = None
        """If not None, calls wait for this event before they take effect."""
        self.after_effect: asyncio.Event | None = None
        """If not None, calls wait for this event after they took effect."""
        self.counts: Counter[str] = Counter()
        """Number of calls of this view by operation: get, query, put, delete."""

    def client(self) -> FakeTable:
        """Return a view of the same rows with its own faults and counts."""
        return FakeTable(self._root)

    def come_back_from(self, copy: dict[tuple[str, str], Row]) -> None:
        """Replace all rows by an older copy of `rows`; the next era begins."""
        root = self._root
        root.era += 1
        restored = {
            key: row._replace(version=position(root.era, version_of(row.version)))
            for key, row in copy.items()
        }
        root.rows.clear()
        root.rows.update(restored)

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read one row."""
        await self._enter("get")
        row = self.rows.get((partition, sort))
        await self._leave()
        return row

    async def query(self, partition: str) -> list[Row]:
        """Return the rows of a partition, ordered by sort key."""
        await self._enter("query")
        rows = [row for key, row in sorted(self.rows.items()) if key[0] == partition]
        await self._leave()
        return rows

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row if its version is the expected one."""
        await self._enter("put")
        self._lose_request()
        self._check(partition, sort, expected)
        version = expected + 1 if expected else position(self._root.era, 1)
        row = Row(partition, sort, version, body)
        self.rows[partition, sort] = row
        await self._leave()
        self._lose_answer()
        return row

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row if its version is the expected one."""
        await self._enter("delete")
        self._lose_request()
        self._check(partition, sort, expected)
        if expected == 0:
            raise ConditionFailed(f"{partition}/{sort} does not exist")
        del self.rows[partition, sort]
        await self._leave()
        self._lose_answer()

    def _check(self, partition: str, sort: str, expected: int) -> None:
        row = self.rows.get((partition, sort))
        found = row.version if row else 0
        if found != expected:
            raise ConditionFailed(f"{partition}/{sort} has version {found}")

    async def _enter(self, operation: str) -> None:
        self.counts[operation] += 1
        if self.before_effect is not None:
            await self.before_effect.wait()
        if self.down or self._root.down:
            raise StoreUnavailable("the table service is down")

    async def _leave(self) -> None:
        if self.after_effect is not None:
            await self.after_effect.wait()

    def _lose_request(self) -> None:
        if self.lose_requests > 0:
            self.lose_requests -= 1
            raise StoreAnswerLost("no answer; the write did not arrive")

    def _lose_answer(self) -> None:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreAnswerLost("no answer; the write took effect")


class FakeObjects:
    """An in-memory object store."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False
        """Whether every call fails before it takes effect."""
        self.lose_answers = 0
        """Number of upcoming puts that take effect but are not answered."""
        self.hidden: set[str] = set()
        """Names of stored objects that reads do not find yet."""
        self.corrupt: set[str] = set()
        """Names of objects that are read with damaged content."""
        self.counts: Counter[str] = Counter()

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        self._enter("put")
        self.objects[name] = body
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreAnswerLost("no answer; the object was stored")

    async def get(self, name: str) -> bytes:
        """Read an object."""
        self._enter("get")
        if name in self.hidden or name not in self.objects:
            raise ObjectNotFound(f"no object {name}")
        body = self.objects[name]
        return body + b"?" if name in self.corrupt else body

    def _enter(self, operation: str) -> None:
        self.counts[operation] += 1
        if self.down:
            raise StoreUnavailable("the object store is down")


class FakeInstanceList:
    """An instance list whose records the test sets."""

    def __init__(self, records: list[InstanceRecord] | None = None) -> None:
        self.records = records or []
        self.down = False

    async def instances(self) -> list[InstanceRecord]:
        """Return the records."""
        if self.down:
            raise StoreUnavailable("the instance list is down")
        return list(self.records)
