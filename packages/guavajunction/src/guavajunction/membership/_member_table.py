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
    encode,
    member_from,
    view_from,
)
from ._observer import MemberObserver


class MemberTable:
    """The member partition of the table service."""

    def __init__(
        self, table: TableService, clock: Clock, observer: MemberObserver
    ) -> None:
        self._table = table
        self._clock = clock
        self._observer = observer

    async def read(self) -> float:
        """Read every member and the view into the observer.

        Returns:
            When the read began whose result the observer holds now.

        Raises:
            PlatformError: The store did not answer, or with nonsense.
        """
        started = self._clock.monotonic()
        rows = await self._table.query(MEMBER_PARTITION)
        row = await self._table.get(VIEW_PARTITION, VIEW_SORT)
        try:
            members, view = [member_from(r) for r in rows], view_from(row)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable("a member row is malformed") from exc
        self._observer.record_read(started, self._clock.monotonic(), members, view)
        return self._observer.read_at

    async def read_member(self, incarnation: str) -> Member | None:
        """Read one member."""
        row = await self._table.get(MEMBER_PARTITION, incarnation)
        return member_from(row) if row else None

    async def write(self, incarnation: str, row: MemberRow, *, expected: int) -> int:
        """Write one member row.

        Returns:
            The version that it now has.
        """
        body = encode(row)
        written = await self._table.put(
            MEMBER_PARTITION, incarnation, body, expected=expected
        )
        return written.version

    async def mark(self, member: Member, state: State) -> None:
        """Set a member's state if its row is still as it was read."""
        row = member.row._replace(state=state)
        await self.write(member.peer.incarnation, row, expected=member.version)

    async def remove(self, member: Member) -> None:
        """Delete a member's row if it is still as it was read."""
        await self._table.delete(
            MEMBER_PARTITION, member.peer.incarnation, expected=member.version
        )

    async def write_view(self, view: View) -> None:
        """Write the view that follows the one of the number before."""
        await self._table.put(
            VIEW_PARTITION, VIEW_SORT, encode(view.voters), expected=view.number - 1
        )
