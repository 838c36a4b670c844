"""The member row of this incarnation."""

from __future__ import annotations

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed
from guavajunction.peers import PeerId
from guavajunction.storage import InstanceRecord

from . import _events as events
from ._member_table import MemberTable
from ._model import Member, MemberRow, State


class Registration:
    """Writes and renews the row, and notices when it was revoked."""

    def __init__(
        self, me: PeerId, record: InstanceRecord, table: MemberTable, clock: Clock
    ) -> None:
        self._me = me
        self._record = record
        self._table = table
        self._clock = clock
        self._row: MemberRow | None = None
        self._version = 0
        self.lost = False
        """Whether this incarnation was revoked."""

    @property
    def registered(self) -> bool:
        """Whether the row was seen written."""
        return self._row is not None

    async def renew(self, state: State) -> float | None:
        """Write the row anew.

        Args:
            state: State to write.

        Returns:
            When the write began, or None if the row was not as it was last seen:
            either an earlier write had taken effect unseen, or this incarnation is
            lost.

        Raises:
            PlatformError: The store did not answer; the row may have been written.
        """
        started = self._clock.monotonic()
        renewals = self._row.renewals + 1 if self._row else 1
        row = MemberRow(self._record, renewals, state)
        try:
            self._version = await self._table.write(
                self._me.incarnation, row, expected=self._version
            )
        except ConditionFailed:
            await self._reread_row()
            return None
        self._accept(row)
        return started

    def on_read(self, member: Member | None) -> None:
        """Take what a read of the store says of the own row, None if there is none."""
        if not self.registered:
            return
        if member is None or not member.active:
            self._lose("missing" if member is None else member.row.state)

    async def _reread_row(self) -> None:
        member = await self._table.read_member(self._me.incarnation)
        if member is None or not member.active:
            self._lose("missing" if member is None else member.row.state)
            return
        self._version = member.version
        self._accept(member.row)

    def _accept(self, row: MemberRow) -> None:
        if self._row is None:
            events.REGISTERED.log(incarnation=self._me.incarnation)
        self._row = row

    def _lose(self, state: str) -> None:
        if not self.lost:
            events.LOST.log(incarnation=self._me.incarnation, state=state)
        self.lost = True
