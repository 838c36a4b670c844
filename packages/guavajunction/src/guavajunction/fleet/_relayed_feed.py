"""Follows the store through a hub, and by itself while no hub has fresh rows."""

from __future__ import annotations

from typing import Protocol

from guavajunction.clock import Clock
from guavajunction.errors import HistoryGone
from guavajunction.storage import ChangeFeed, Changes

from ._handed_rows import UNREAD
from ._messages import RowsAnswer


class RowsSource(Protocol):
    """The hub that this instance follows, if any."""

    def fresh(self, partition: str) -> bool:
        """Return whether a hub is followed whose rows are as new as the store's."""
        ...

    def told_version(self, partition: str) -> int:
        """Return the version of the rows that the hub told last."""
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

    Versions are the store's, whoever hands rows on, so the reader can go on from one
    source where the other stopped, and never goes back.
    """

    LOOK_SECONDS = 0.05
    """Between looks for rows; they wait no longer than this."""
    LATE_SECONDS = 0.4
    """How long a notice may be on its way behind the heartbeat that tells of it."""

    def __init__(self, store: ChangeFeed, clock: Clock) -> None:
        self.source: RowsSource | None = None
        """Set once the links to other instances are open."""
        self._store = store
        self._clock = clock
        self._newest: dict[str, int] = {}

    async def snapshot(self, partition: str) -> Changes:
        """Read every row of a partition as of one moment.

        Raises:
            StoreUnavailable: Neither a hub nor the store answered.
        """
        source = self.source
        if source is not None and source.fresh(partition):
            answer = await source.ask_rows(partition)
            newest = self._newest.get(partition, UNREAD)
            if answer is not None and answer.version >= max(newest, 0):
                self._newest[partition] = answer.version
                return Changes(answer.rows, answer.version, complete=True)
        changes = await self._store.snapshot(partition)
        self._newest[partition] = changes.version
        return changes

    async def changes(
        self, partition: str, after: int, *, wait_seconds: float
    ) -> Changes:
        """Wait for changes after a version.

        Raises:
            HistoryGone: Changes after that version can't be had any more.
            StoreUnavailable: Neither a hub nor the store answered.
        """
        ends_at = self._clock.monotonic() + wait_seconds
        behind_since: float | None = None
        while (source := self.source) is not None and source.fresh(partition):
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
        left = max(0.0, ends_at - self._clock.monotonic())
        changes = await self._store.changes(partition, after, wait_seconds=left)
        return self._note(partition, changes)

    def _note(self, partition: str, changes: Changes) -> Changes:
        self._newest[partition] = changes.version
        return changes
