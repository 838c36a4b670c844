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
    """Writes and renews the member row, and detects its revocation."""

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
        """Whether the store has confirmed a write of the row."""
        return self._row is not None

    async def renew(self, state: State) -> float | None:
        """Write the row with the number of renewals incremented.

        Args:
            state: State to write.

        Returns:
            Monotonic time, in seconds, when the write began. None if the row had
            changed: either an earlier write whose answer was lost had taken effect,
            or this incarnation was revoked.

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
        self._set_row(row)
        return started

    def on_read(self, member: Member | None) -> None:
        """Check this incarnation's row in a read of the members.

        Args:
            member: The row, or None if it does not exist.
        """
        if not self.registered:
            return
        if member is None or not member.active:
            self._mark_lost("missing" if member is None else member.row.state)

    async def _reread_row(self) -> None:
        member = await self._table.read_member(self._me.incarnation)
        if member is None or not member.active:
            self._mark_lost("missing" if member is None else member.row.state)
            return
        self._version = member.version
        self._set_row(member.row)

    def _set_row(self, row: MemberRow) -> None:
        if self._row is None:
            events.REGISTERED.log(incarnation=self._me.incarnation)
        self._row = row

    def _mark_lost(self, state: str) -> None:
        if not self.lost:
            events.LOST.log(incarnation=self._me.incarnation, state=state)
        self.lost = True
