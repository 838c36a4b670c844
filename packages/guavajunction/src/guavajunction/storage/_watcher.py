"""Watches a partition of the store for changes, across outages."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable

from guavajunction.clock import Clock
from guavajunction.errors import HistoryGone, PlatformError

from . import _events as events
from ._position import era_of
from ._protocols import ChangeFeed, Changes


async def _no_other_source(_partition: str, _after: int | None) -> Changes | None:
    return None


class PartitionWatcher:
    """Yields all rows of a partition, then its changes as they occur.

    The iteration doesn't end. Failed calls are retried, and in the meantime rows are
    requested from another source. If the store has lost its history, all rows are read
    and yielded again. The first version of a new era is yielded also without a change.
    """

    MAX_WAIT_SECONDS = 2.4
    """Longest wait of one call for a change.

    A call that the store never answers is detected only after this time. The value is
    therefore below the time after the start of an outage in which limits must be
    enforced again.
    """
    MAX_AGE_SECONDS = 3600.0
    """Upper limit of `age`, which is also its result before the first answer."""
    CATCH_UP_SECONDS = 2.0
    """Length of an outage after which all rows are read instead of the changes since.

    The changes contain every version of a row, so their size grows with the outage.
    """
    RETRY_SECONDS = 0.25
    """Mean pause after a failed call; the jitter is 50 % in both directions."""

    def __init__(
        self,
        feed: ChangeFeed,
        partition: str,
        clock: Clock,
        rng: random.Random,
        *,
        batch_seconds: Callable[[], float] = lambda: 0.0,
        max_wait_seconds: Callable[[], float] = lambda: (
            PartitionWatcher.MAX_WAIT_SECONDS
        ),
        other_source: Callable[
            [str, int | None], Awaitable[Changes | None]
        ] = _no_other_source,
    ) -> None:
        """Create a watcher.

        Args:
            feed: Source of the changes.
            partition: Key of the partition to watch.
            clock: Source of time.
            rng: Source of the jitter, which spreads the retries of instances that lost
                the store at the same time.
            batch_seconds: Returns the pause in seconds after a change, in which further
                changes accumulate. Calls for single changes would cause most of the
                store's load.
            max_wait_seconds: Returns the longest time in seconds that one call waits
                for a change.
            other_source: Returns all rows of the partition after a version, or None
                if there are no newer ones. Called after each failed call of the feed.
                Its rows do not count as an answer of the store.
        """
        self._feed = feed
        self._partition = partition
        self._clock = clock
        self._rng = rng
        self._batch_seconds = batch_seconds
        self._max_wait_seconds = max_wait_seconds
        self._other_source = other_source
        self.on_answer: Callable[[Changes], None] = lambda _: None
        """Called with each answer of the store, including answers without changes."""
        self._version: int | None = None
        self._lost_at: float | None = None
        self.read_at = float("-inf")
        """Monotonic time, in seconds, when the latest answer arrived."""

    def age(self) -> float:
        """Return the seconds since the latest answer, at most `MAX_AGE_SECONDS`."""
        return min(self._clock.monotonic() - self.read_at, self.MAX_AGE_SECONDS)

    async def __aiter__(self) -> AsyncIterator[Changes]:
        while True:
            try:
                changes = await self._fetch()
            except HistoryGone:
                events.FEED_RESTARTED.log(
                    partition=self._partition, version=self._version
                )
                self._version = None
                continue
            except PlatformError as exc:
                self._record_failure(exc)
                newer = await self._other_source(self._partition, self._version)
                if newer is not None:
                    self._take(newer)
                    yield newer
                pause = self.RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                await self._clock.sleep(pause)
                continue
            self._record_answer()
            era = era_of(self._version or 0)
            self._take(changes)
            if changes.rows or changes.complete or era_of(changes.version) > era:
                yield changes
                await self._clock.sleep(self._batch_seconds())

    def _take(self, changes: Changes) -> None:
        self._version = changes.version
        self.on_answer(changes)

    async def _fetch(self) -> Changes:
        if self._version is None or self._is_far_behind():
            return await self._feed.snapshot(self._partition)
        # During an outage don't wait for changes: a call that waits can't be
        # distinguished from one that the store never answers.
        wait_seconds = 0.0 if self._lost_at is not None else self._max_wait_seconds()
        return await self._feed.changes(
            self._partition, self._version, wait_seconds=wait_seconds
        )

    def _is_far_behind(self) -> bool:
        return (
            self._lost_at is not None
            and self._clock.monotonic() - self._lost_at > self.CATCH_UP_SECONDS
        )

    def _record_failure(self, exc: PlatformError) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            events.FEED_LOST.log(
                partition=self._partition,
                version=self._version,
                reason=type(exc).__name__,
                detail=exc.message,
            )

    def _record_answer(self) -> None:
        self.read_at = self._clock.monotonic()
        if self._lost_at is not None:
            seconds = self._clock.monotonic() - self._lost_at
            self._lost_at = None
            events.FEED_REGAINED.log(
                partition=self._partition, after_seconds=round(seconds, 2)
            )
