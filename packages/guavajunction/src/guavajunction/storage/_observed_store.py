"""A client of the store that records whether the store answers this instance."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol, TypeVar

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, HistoryGone, PlatformError

from ._protocols import ChangeFeed, Changes, Row, TableService

T = TypeVar("T")


class Store(TableService, ChangeFeed, Protocol):
    """The rows of the platform's store, and their changes."""


class ObservedStore:
    """Implements `TableService` and `ChangeFeed` on top of another client.

    Instances that take rows from a peer call the store rarely. So the store counts as
    reachable until a call fails, and then until calls have failed for a while.
    """

    PATIENCE_SECONDS = 3.8
    """Time since the first failed call after an answer from which the store counts as
    unreachable."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._failing_since: float | None = None

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failing_since is not None

    @property
    def is_reachable(self) -> bool:
        """Return whether the store has answered recently, as far as it was called."""
        if self._failing_since is None:
            return True
        return self._clock.monotonic() - self._failing_since < self.PATIENCE_SECONDS

    async def get(self, partition: str, sort: str) -> Row | None:
        """Return one row, or None if it does not exist."""
        return await self._observe(self._store.get(partition, sort))

    async def query(self, partition: str) -> list[Row]:
        """Return all rows of a partition, ordered by sort key."""
        return await self._observe(self._store.query(partition))

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row if its current version is the expected one."""
        call = self._store.put(partition, sort, body, expected=expected)
        return await self._observe(call)

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row if its current version is the expected one."""
        await self._observe(self._store.delete(partition, sort, expected=expected))

    async def snapshot(self, partition: str) -> Changes:
        """Read every row of a partition as of one version of the store."""
        return await self._observe(self._store.snapshot(partition))

    async def changes(
        self, partition: str, after: int, *, wait_seconds: float
    ) -> Changes:
        """Wait for changes after a version."""
        call = self._store.changes(partition, after, wait_seconds=wait_seconds)
        return await self._observe(call)

    async def _observe(self, call: Awaitable[T]) -> T:
        try:
            result = await call
        except (ConditionFailed, HistoryGone):
            self._failing_since = None
            raise
        except PlatformError:
            if self._failing_since is None:
                self._failing_since = self._clock.monotonic()
            raise
        self._failing_since = None
        return result
