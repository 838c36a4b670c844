"""Follows the store through a hub, and by itself while no hub has fresh rows."""

from __future__ import annotations

from typing import Protocol

from guavajunction.clock import Clock
from guavajunction.errors import HistoryGone
from guavajunction.storage import ChangeFeed, Changes

from ._messages import RowsAnswer
from ._relayed_rows import UNREAD


class RowsSource(Protocol):
    """The hub that this instance follows, if any."""

    def placed(self) -> bool:
        """Return whether it is known who is there, and the hub has been heard."""
        ...

    def fresh(self, partition: str) -> bool:
        """Return whether a hub is followed whose rows are as new as the store's."""
        ...

    def told_version(self, partition: str) -> int:
        """Return the version of the rows that the hub told last."""
        ...

    def read_version(self, partition: str) -> int:
        """Return the version up to which the hub has read the store."""
        ...

    def take(self, partition: str, after: int) -> Changes | None:
        """Return the changes that follow a version, None if there are none yet."""
        ...

    def misses(self, partition: str, after: int) -> bool:
        """Return whether changes that follow a version were not told."""
        ...

    async def ask_rows(self, partition: str) -> RowsAnswer | None:
        """Ask the hub for all rows; None if it does not answer."""
        ...


class RelayedFeed:
    """Implements `ChangeFeed`.

    Versions are the store's, whoever hands rows on, so the reader can go on from the
    store where a hub stopped, and never goes back. The other way round it takes all
    rows of the hub first: a hub tells how rows differ from its own last reading, and
    the store may have shown what lay between.
    """

    LOOK_SECONDS = 0.2
    """Between looks for rows; they wait no longer than this."""
    START_LOOK_SECONDS = 0.05
    """The same while nothing is known yet."""
    PLACE_SECONDS = 1.5
    """After the start, how long an instance waits to find its hub before it reads the
    store by itself: many that start together would all read it."""
    LAG_SECONDS = 1.2
    """Longest wait for a hub that lags: one read of it, and its word."""
    LATE_SECONDS = 0.4
    """How long a notice may be on its way behind the heartbeat that tells of it."""

    def __init__(self, store: ChangeFeed, clock: Clock) -> None:
        self.source: RowsSource | None = None
        """Set once the links to other instances are open."""
        self._store = store
        self._clock = clock
        self._newest: dict[str, int] = {}
        self._from_hub: set[str] = set()
        self._wait_until = clock.monotonic() + self.PLACE_SECONDS

    def leave(self) -> None:
        """Take all rows anew of the next hub."""
        self._from_hub.clear()

    async def snapshot(self, partition: str) -> Changes:
        """Read every row of a partition as of one moment.

        Raises:
            StoreUnavailable: Neither a hub nor the store answered.
        """
        while not self._placed() and self._clock.monotonic() < self._wait_until:
            await self._clock.sleep(self.START_LOOK_SECONDS)
        changes = await self._all_of_hub(partition)
        if changes is None:
            self._from_hub.discard(partition)
            changes = await self._store.snapshot(partition)
        return self._note(partition, changes)

    async def changes(
        self, partition: str, after: int, *, wait_seconds: float
    ) -> Changes:
        """Wait for changes after a version.

        Raises:
            HistoryGone: Changes after that version can't be had any more.
            StoreUnavailable: Neither a hub nor the store answered.
        """
        ends_at = self._clock.monotonic() + wait_seconds
        if partition not in self._from_hub:
            await self._let_hub_catch_up(partition, ends_at)
            whole = await self._all_of_hub(partition)
            if whole is not None:
                return self._note(partition, whole)
        behind_since: float | None = None
        while partition in self._from_hub and self._is_fresh(partition):
            source = self.source
            assert source is not None
            now = self._clock.monotonic()
            changes = source.take(partition, after)
            if changes is not None:
                return self._note(partition, changes)
            behind = source.told_version(partition) > after
            behind_since = (behind_since or now) if behind else None
            late = behind_since is not None and now - behind_since > self.LATE_SECONDS
            if late or source.misses(partition, after):
                raise HistoryGone(f"partition {partition!r}: a notice was lost")
            if now >= ends_at:
                return Changes((), after, complete=False)
            await self._clock.sleep(self.LOOK_SECONDS)
        self._from_hub.discard(partition)
        left = max(0.0, ends_at - self._clock.monotonic())
        changes = await self._store.changes(partition, after, wait_seconds=left)
        return self._note(partition, changes)

    async def _all_of_hub(self, partition: str) -> Changes | None:
        """Return all rows of a hub, None if there is none with rows new enough."""
        if self.source is None or not self.source.fresh(partition):
            return None
        newest = self._newest.get(partition, UNREAD)
        if self.source.read_version(partition) < newest:
            return None
        answer = await self.source.ask_rows(partition)
        if answer is None or answer.version < max(newest, 0):
            return None
        self._from_hub.add(partition)
        return Changes(answer.rows, answer.version, complete=True)

    async def _let_hub_catch_up(self, partition: str, ends_at: float) -> None:
        """Wait until a hub has read as far as the store has shown here.

        A read of the store meanwhile would only get ahead of the hub again.
        """
        ends_at = min(ends_at, self._clock.monotonic() + self.LAG_SECONDS)
        newest = self._newest.get(partition, UNREAD)
        while (
            self._is_fresh(partition)
            and self.source is not None
            and self.source.read_version(partition) < newest
            and self._clock.monotonic() < ends_at
        ):
            await self._clock.sleep(self.LOOK_SECONDS)

    def _is_fresh(self, partition: str) -> bool:
        return self.source is not None and self.source.fresh(partition)

    def _placed(self) -> bool:
        return self.source is not None and self.source.placed()

    def _note(self, partition: str, changes: Changes) -> Changes:
        self._newest[partition] = changes.version
        return changes
