"""Rows of the store that a hub relays to its followers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from guavajunction.storage import Changes, RowChange, era_of

from ._messages import NewerRowsAnswer, RowsAnswer, RowsNotice

UNREAD = -1
"""Version of a partition before its first read."""


class ReadRows:
    """Rows that a hub has read from one partition, and the notices for its followers.

    Changes that are irrelevant to followers are stored but not sent, because most
    heartbeat rows of backend servers repeat the previous one.
    """

    def __init__(
        self,
        partition: str,
        *,
        is_relevant: Callable[[RowChange | None, RowChange], bool],
        is_older: Callable[[RowChange, RowChange], bool] = lambda _before, _row: False,
    ) -> None:
        """Create an empty set of rows.

        Args:
            partition: Partition of the store.
            is_relevant: Returns whether a change is sent to followers. Called with the
                previous row, or None if there was none, and the new row.
            is_older: Returns whether a row is older than the previous row. Called with
                both when the store came back from a copy; the new row has no body if
                the copy does not contain it. The previous row is then kept.
        """
        self._partition = partition
        self._is_relevant = is_relevant
        self._is_older = is_older
        self._rows: dict[str, RowChange] = {}
        self.version = UNREAD
        """Version up to which the partition was read."""
        self.sent_version = UNREAD
        """Version of the last notice, or of the first read before any notice."""

    def take(self, changes: Changes) -> RowsNotice | None:
        """Apply changes that were read from the store.

        Returns:
            The notice to send to followers, or None if no change is relevant to them.
            A new era is, also without a change.
        """
        if changes.complete:
            relevant = self._replace(changes)
        else:
            relevant = [row for row in changes.rows if self._apply(row)]
        self.version = changes.version
        if self.sent_version == UNREAD:
            # Followers may have rows that were deleted in the meantime, so they
            # request all rows.
            self.sent_version = changes.version
            return None
        if not relevant and era_of(changes.version) == era_of(self.sent_version):
            return None
        before, self.sent_version = self.sent_version, changes.version
        latest = {row.sort: row for row in relevant}
        return RowsNotice(
            self._partition, before, changes.version, tuple(latest.values())
        )

    def answer(self) -> RowsAnswer:
        """Return all rows, for a follower that has none or missed a notice."""
        return RowsAnswer(self.version, tuple(self._rows.values()))

    def answer_newer(self, after: int) -> NewerRowsAnswer:
        """Return all rows if a relevant one has changed after a version."""
        changed = self.sent_version > after
        rows = tuple(self._rows.values()) if changed else ()
        return NewerRowsAnswer(self.version, rows, changed)

    def _replace(self, changes: Changes) -> list[RowChange]:
        listed = {row.sort for row in changes.rows}
        deleted = [
            RowChange(sort, None, changes.version)
            for sort in self._rows
            if sort not in listed
        ]
        return [row for row in (*deleted, *changes.rows) if self._apply(row)]

    def _apply(self, row: RowChange) -> bool:
        """Apply one change; return whether it is relevant to followers."""
        before = self._rows.get(row.sort)
        if before is not None and self._has_gone_back(before, row):
            return False
        if row.body is None:
            return self._rows.pop(row.sort, None) is not None
        self._rows[row.sort] = row
        return self._is_relevant(before, row)

    def _has_gone_back(self, before: RowChange, row: RowChange) -> bool:
        return era_of(before.version) < era_of(row.version) and self._is_older(
            before, row
        )


class RelayedRows:
    """Queue of a partition's notices that a follower received and has not applied."""

    MAX_NOTICES = 256
    """Maximum number of queued notices; a follower usually applies them within
    milliseconds."""

    def __init__(self) -> None:
        self._notices: deque[RowsNotice] = deque(maxlen=self.MAX_NOTICES)

    def add(self, notice: RowsNotice) -> None:
        """Queue a notice."""
        self._notices.append(notice)

    def clear(self) -> None:
        """Drop all notices, for example when the followed hub changes."""
        self._notices.clear()

    def take(self, after: int) -> Changes | None:
        """Remove and return the changes that follow a version, None if there are none.

        A notice that starts after the version stays queued, because the changes in
        between are missing.
        """
        rows: list[RowChange] = []
        version = after
        while self._notices and self._notices[0].after <= version:
            notice = self._notices.popleft()
            if notice.version > version:
                rows += notice.rows
                version = notice.version
        if version == after:
            return None
        return Changes(tuple(rows), version, complete=False)

    def has_gap(self, after: int) -> bool:
        """Return whether changes between a version and the next notice are missing."""
        return bool(self._notices) and self._notices[0].after > after
