"""Change feed that reads from a peer, or from the store if no peer is up to date."""

from __future__ import annotations

from typing import Protocol

from guavajunction.clock import Clock
from guavajunction.errors import HistoryGone
from guavajunction.storage import ChangeFeed, Changes

from . import _events as events
from ._messages import NewerRowsAnswer, RowsAnswer
from ._relayed_rows import UNREAD


class RowsSource(Protocol):
    """Interface to the hub that relays the store's rows to this instance, if any."""

    def has_joined(self) -> bool:
        """Return whether the fleet is listed and the followed hub, if any, has rows."""
        ...

    def fresh(self, partition: str) -> bool:
        """Return whether the followed hub's rows of a partition are up to date."""
        ...

    def sent_version(self, partition: str) -> int:
        """Return the version of the hub's last notice, as of its last status."""
        ...

    def read_version(self, partition: str) -> int:
        """Return the version up to which the hub has read the partition."""
        ...

    def take(self, partition: str, after: int) -> Changes | None:
        """Return the received changes after a version, or None if there are none."""
        ...

    def has_gap(self, partition: str, after: int) -> bool:
        """Return whether a notice of changes after a version was missed."""
        ...

    async def request_rows(self, partition: str) -> RowsAnswer | None:
        """Request all rows of a partition from the hub; None if it does not reply."""
        ...

    async def request_newer_rows(
        self, partition: str, after: int
    ) -> NewerRowsAnswer | None:
        """Request rows that changed after a version from a peer that has the store."""
        ...


class RelayedFeed:
    """Implements `ChangeFeed` with a hub as the source and the store as the fallback.

    Versions are always the store's, so the feed can switch from a hub to the store
    at any version. They never decrease: they are positions, which rise also when the
    store comes back from an older copy. When the feed switches from the store to
    a hub, it first requests all rows: a hub's notices only list the differences from
    the hub's previous read, and may lack changes that the store has already returned.
    """

    POLL_SECONDS = 0.2
    """Interval between checks for received rows, and thus their longest delay."""
    START_POLL_SECONDS = 0.05
    """Interval between checks for a hub before the first read."""
    JOIN_SECONDS = 1.5
    """How long an instance waits for its hub after the start before it reads the
    store. Otherwise all instances of a starting fleet would read the store."""
    HUB_CATCH_UP_SECONDS = 1.2
    """Longest wait for a hub that lags behind the store. It covers one read by the hub
    and the status that follows."""
    NOTICE_DELAY_SECONDS = 0.4
    """Maximum delay of a notice after the status that contains its version."""

    def __init__(self, store: ChangeFeed, clock: Clock) -> None:
        self.source: RowsSource | None = None
        """Set once the links to other instances have been created."""
        self._store = store
        self._clock = clock
        self._newest_versions: dict[str, int] = {}
        self._from_hub: set[str] = set()
        self._wait_until = clock.monotonic() + self.JOIN_SECONDS

    def reset_hub(self) -> None:
        """Request all rows again before applying notices, because the hub changed."""
        self._from_hub.clear()

    async def snapshot(self, partition: str) -> Changes:
        """Read all rows of a partition at one version.

        Raises:
            StoreUnavailable: Neither a hub nor the store replied.
        """
        while not self._has_joined() and self._clock.monotonic() < self._wait_until:
            await self._clock.sleep(self.START_POLL_SECONDS)
        changes = await self._all_rows_from_hub(partition)
        if changes is None:
            self._from_hub.discard(partition)
            changes = await self._store.snapshot(partition)
        return self._record_version(partition, changes)

    async def changes(
        self, partition: str, after: int, *, wait_seconds: float
    ) -> Changes:
        """Wait for changes after a version.

        Returns:
            The changes, or all rows if the feed switched from the store to a hub.

        Raises:
            HistoryGone: Changes after that version are no longer available.
            StoreUnavailable: Neither a hub nor the store replied.
        """
        ends_at = self._clock.monotonic() + wait_seconds
        if partition not in self._from_hub:
            await self._wait_for_hub(partition, ends_at)
            all_rows = await self._all_rows_from_hub(partition)
            if all_rows is not None:
                return self._record_version(partition, all_rows)
        behind_since: float | None = None
        while partition in self._from_hub and self._is_fresh(partition):
            source = self.source
            assert source is not None
            now = self._clock.monotonic()
            changes = source.take(partition, after)
            if changes is not None:
                return self._record_version(partition, changes)
            behind = source.sent_version(partition) > after
            behind_since = (behind_since or now) if behind else None
            late = (
                behind_since is not None
                and now - behind_since > self.NOTICE_DELAY_SECONDS
            )
            if late or source.has_gap(partition, after):
                raise HistoryGone(f"partition {partition!r}: a notice was lost")
            if now >= ends_at:
                return self._record_version(
                    partition, Changes((), self._confirmed(partition, after), False)
                )
            await self._clock.sleep(self.POLL_SECONDS)
        self._from_hub.discard(partition)
        left = max(0.0, ends_at - self._clock.monotonic())
        changes = await self._store.changes(partition, after, wait_seconds=left)
        return self._record_version(partition, changes)

    def _confirmed(self, partition: str, after: int) -> int:
        """Return the version up to which the hub has read, if all rows are here.

        Without it, a feed that switches to another hub would find it behind.
        """
        assert self.source is not None
        if self.source.sent_version(partition) > after:
            return after
        return max(after, self.source.read_version(partition))

    async def rows_from_peer(self, partition: str, after: int | None) -> Changes | None:
        """Return all rows from a peer if the store does not answer this instance.

        Args:
            partition: Partition key.
            after: Version up to which the caller has all changes; None if it has
                none, or reads all rows again.

        Returns:
            All rows at a later version; None if no peer has changes after it.
        """
        if self.source is None:
            return None
        if after is None:
            # The caller still applies the rows that it has read before.
            after = self._newest_versions.get(partition, UNREAD)
        answer = await self.source.request_newer_rows(partition, after)
        if answer is None or not answer.changed or answer.version <= after:
            return None
        self._from_hub.discard(partition)
        events.ROWS_FROM_PEER.log(
            partition=partition, before=after, version=answer.version
        )
        return self._record_version(
            partition, Changes(answer.rows, answer.version, complete=True)
        )

    async def _all_rows_from_hub(self, partition: str) -> Changes | None:
        """Return all rows of the hub, or None if no up-to-date hub replies."""
        if self.source is None or not self.source.fresh(partition):
            return None
        newest = self._newest_versions.get(partition, UNREAD)
        if self.source.read_version(partition) < newest:
            return None
        answer = await self.source.request_rows(partition)
        if answer is None or answer.version < max(newest, 0):
            return None
        self._from_hub.add(partition)
        return Changes(answer.rows, answer.version, complete=True)

    async def _wait_for_hub(self, partition: str, ends_at: float) -> None:
        """Wait until the hub has read up to the newest version returned here.

        Another read of the store in the meantime would return an even newer version.
        """
        ends_at = min(ends_at, self._clock.monotonic() + self.HUB_CATCH_UP_SECONDS)
        newest = self._newest_versions.get(partition, UNREAD)
        while (
            self._is_fresh(partition)
            and self.source is not None
            and self.source.read_version(partition) < newest
            and self._clock.monotonic() < ends_at
        ):
            await self._clock.sleep(self.POLL_SECONDS)

    def _is_fresh(self, partition: str) -> bool:
        return self.source is not None and self.source.fresh(partition)

    def _has_joined(self) -> bool:
        return self.source is not None and self.source.has_joined()

    def _record_version(self, partition: str, changes: Changes) -> Changes:
        self._newest_versions[partition] = changes.version
        return changes
