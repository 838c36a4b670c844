"""Reads and writes of member rows and of the view."""

from __future__ import annotations

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import StoreUnavailable
from guavajunction.storage import TableService

from ._model import (
    MEMBER_PARTITION,
    VIEW_PARTITION,
    VIEW_SORT,
    Member,
    MemberRow,
    State,
    View,
    decode_member,
    decode_view,
    encode,
)
from ._observer import MemberObserver


class MemberTable:
    """Access to the partitions of the members and of the view."""

    def __init__(
        self, table: TableService, clock: Clock, observer: MemberObserver
    ) -> None:
        self._table = table
        self._clock = clock
        self._observer = observer

    async def read(self) -> float:
        """Read every member row and the view, and record them in the observer.

        Returns:
            Monotonic time, in seconds, when the latest read that the observer has
            recorded began. That may be a newer read than this one.

        Raises:
            PlatformError: The store did not answer, or a row is malformed.
        """
        started = self._clock.monotonic()
        rows = await self._table.query(MEMBER_PARTITION)
        row = await self._table.get(VIEW_PARTITION, VIEW_SORT)
        try:
            members, view = [decode_member(r) for r in rows], decode_view(row)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable("a member row is malformed") from exc
        self._observer.record_read(started, self._clock.monotonic(), members, view)
        return self._observer.read_at

    async def read_member(self, incarnation: str) -> Member | None:
        """Read one member row; return None if it does not exist.

        Raises:
            PlatformError: The store did not answer.
        """
        row = await self._table.get(MEMBER_PARTITION, incarnation)
        return decode_member(row) if row else None

    async def write(self, incarnation: str, row: MemberRow, *, expected: int) -> int:
        """Write one member row.

        Args:
            incarnation: Sort key of the row.
            row: New content.
            expected: Version that the row must have; 0 if it must not exist.

        Returns:
            The new version of the row.

        Raises:
            ConditionFailed: The row has another version.
            PlatformError: The store did not answer; the row may have been written.
        """
        body = encode(row)
        written = await self._table.put(
            MEMBER_PARTITION, incarnation, body, expected=expected
        )
        return written.version

    async def mark(self, member: Member, state: State) -> None:
        """Set the state in a member's row.

        Raises:
            ConditionFailed: The row has changed since it was read.
            PlatformError: The store did not answer; the state may have been set.
        """
        row = member.row._replace(state=state)
        await self.write(member.peer.incarnation, row, expected=member.version)

    async def remove(self, member: Member) -> None:
        """Delete a member's row.

        Raises:
            ConditionFailed: The row has changed since it was read.
            PlatformError: The store did not answer; the row may have been deleted.
        """
        await self._table.delete(
            MEMBER_PARTITION, member.peer.incarnation, expected=member.version
        )

    async def write_view(self, view: View) -> None:
        """Write a view, which must be the successor of the stored one.

        Raises:
            ConditionFailed: The stored view is not number `view.number - 1`.
            PlatformError: The store did not answer; the view may have been written.
        """
        await self._table.put(
            VIEW_PARTITION, VIEW_SORT, encode(view.voters), expected=view.number - 1
        )
