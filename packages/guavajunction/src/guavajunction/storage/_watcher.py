"""Follows a partition of the store through outages."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable

from guavajunction.clock import Clock
from guavajunction.errors import HistoryGone, PlatformError

from . import _events as events
from ._protocols import ChangeFeed, Changes


class PartitionWatcher:
    """Yields a partition's rows once and its changes from then on, without end."""

    MAX_WAIT_SECONDS = 2.4
    """Longest wait of one call. A call that a silent store swallowed is noticed after
    it, so it stays below the time after which bounds hold again."""
    MAX_AGE_SECONDS = 3600.0
    """Told as the age before the first answer."""
    RETRY_SECONDS = 0.25
    """Mean pause after a failed call, with jitter of a half either way."""

    def __init__(
        self,
        feed: ChangeFeed,
        partition: str,
        clock: Clock,
        rng: random.Random,
        *,
        batch_seconds: Callable[[], float] = lambda: 0.0,
        wait: Callable[[], float] = lambda: PartitionWatcher.MAX_WAIT_SECONDS,
    ) -> None:
        """Create a watcher.

        Args:
            feed: Tells of changes.
            partition: Partition to follow.
            clock: Source of time.
            rng: Spreads the calls of instances that lost the store together.
            rest: Seconds from a change to the next call, in which further changes
                gather: a call for each would be most of the store's load.
            wait: Longest wait of one call.
        """
        self._feed = feed
        self._partition = partition
        self._clock = clock
        self._rng = rng
        self._batch_seconds = batch_seconds
        self._wait = wait
        self.on_answer: Callable[[Changes], None] = lambda _: None
        """Called with each answer, also with one without changes."""
        self._version: int | None = None
        self._lost_at: float | None = None
        self.read_at = float("-inf")
        """When the latest answer came, monotonic."""

    def age(self) -> float:
        """Return the seconds since the latest answer."""
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
                pause = self.RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                await self._clock.sleep(pause)
                continue
            self._record_answer()
            self._version = changes.version
            self.on_answer(changes)
            if changes.rows or changes.complete:
                yield changes
                await self._clock.sleep(self._batch_seconds())

    async def _fetch(self) -> Changes:
        if self._version is None:
            return await self._feed.snapshot(self._partition)
        # While the store is lost a call asks for an answer at once: one that waits
        # for changes can't be told from one that is swallowed.
        wait = 0.0 if self._lost_at is not None else self._wait()
        return await self._feed.changes(
            self._partition, self._version, wait_seconds=wait
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
