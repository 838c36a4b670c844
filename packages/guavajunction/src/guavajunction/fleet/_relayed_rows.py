"""Rows of the store on their way from a hub to its followers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from guavajunction.storage import Changes, RowChange

from ._messages import RowsAnswer, RowsNotice

UNREAD = -1
"""Version of a partition that was never read."""


class ReadRows:
    """What an instance has read of one partition, to be handed on.

    Changes that mean nothing to followers are kept but not told: most heartbeats of
    backend servers repeat the one before.
    """

    def __init__(
        self,
        partition: str,
        *,
        matters: Callable[[RowChange | None, RowChange], bool],
    ) -> None:
        """Start with nothing read.

        Args:
            partition: Partition of the store.
            matters: Whether a row's change is worth telling; called with the row
                before, None if there was none, and the row now.
        """
        self._partition = partition
        self._matters = matters
        self._rows: dict[str, RowChange] = {}
        self.version = UNREAD
        """Version up to which the store was read."""
        self.told_version = UNREAD
        """Version of the rows that were told last."""

    def take(self, changes: Changes) -> RowsNotice | None:
        """Take changes as read.

        Returns:
            What to tell followers; None if nothing of it matters to them.
        """
        if changes.complete:
            told = self._replace(changes.rows)
        else:
            told = [row for row in changes.rows if self._apply(row)]
        self.version = changes.version
        if self.told_version == UNREAD:
            # Followers may know rows that are gone since; they ask for all rows.
            self.told_version = changes.version
            return None
        if not told:
            return None
        before, self.told_version = self.told_version, changes.version
        return RowsNotice(self._partition, before, changes.version, tuple(told))

    def answer(self) -> RowsAnswer:
        """Return all rows, for a follower that has none or missed some."""
        return RowsAnswer(self.version, tuple(self._rows.values()))

    def _replace(self, rows: tuple[RowChange, ...]) -> list[RowChange]:
        listed = {row.sort for row in rows}
        gone = [
            RowChange(sort, None, row.version)
            for sort, row in self._rows.items()
            if sort not in listed
        ]
        return [row for row in (*gone, *rows) if self._apply(row)]

    def _apply(self, row: RowChange) -> bool:
        """Keep a change; return whether it is worth telling."""
        if row.body is None:
            return self._rows.pop(row.sort, None) is not None
        before = self._rows.get(row.sort)
        self._rows[row.sort] = row
        return self._matters(before, row)


class HandedRows:
    """What hubs have told of one partition and has not been taken yet."""

    KEPT = 256
    """Notices; a follower takes them within milliseconds."""

    def __init__(self) -> None:
        self._notices: deque[RowsNotice] = deque(maxlen=self.KEPT)

    def add(self, notice: RowsNotice) -> None:
        """Keep a notice until it is taken."""
        self._notices.append(notice)

    def clear(self) -> None:
        """Forget what a hub told that is not followed any more."""
        self._notices.clear()

    def take(self, after: int) -> Changes | None:
        """Return the changes that follow a version, None if there are none yet.

        A notice that begins after the version is left: something before it is missing.
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

    def misses(self, after: int) -> bool:
        """Return whether changes between a version and the next notice are missing."""
        return bool(self._notices) and self._notices[0].after > after
