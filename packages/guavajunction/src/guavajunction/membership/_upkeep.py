"""Keeps the view and the rows of members that are gone in order."""

from __future__ import annotations

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed
from guavajunction.peers import PeerId

from . import _events as events
from ._announcer import Announcer
from ._config import MembershipConfig
from ._member_table import MemberTable
from ._model import Member, State, View
from ._observer import MemberObserver


class Upkeep:
    """Changes the view, revokes silent members and deletes old rows.

    The view leaves a silent member out before its row is marked as revoked, and the
    view changes only with a majority of the voters. A member whose row is revoked
    while a view names it keeps its units until a later view leaves it out.
    """

    def __init__(
        self,
        me: PeerId,
        table: MemberTable,
        observer: MemberObserver,
        announcer: Announcer,
        clock: Clock,
        cfg: MembershipConfig,
    ) -> None:
        self._me = me
        self._table = table
        self._observer = observer
        self._announcer = announcer
        self._clock = clock
        self._cfg = cfg

    def is_expired(self, member: Member) -> bool:
        """Return whether a member has not renewed its row for too long."""
        limit = self._cfg.lease + self._cfg.drift_margin
        return self._observer.seconds_since_renewal(member.peer) >= limit

    def stopped_voters(self) -> set[PeerId]:
        """Return the voters that can be in no majority that serves.

        A member that left counts only after a while, so that a change which it
        acknowledged has taken effect or never will.
        """
        return {peer for peer in self._observer.view.voters if self._has_stopped(peer)}

    def may_act(self, member: Member) -> bool:
        """Return whether a member may still be spending its units."""
        if member.row.state == "left":
            return False
        if member.row.state != "revoked":
            return True
        wait = self._cfg.reclaim_wait
        revoked_for = self._observer.seconds_in_state(member.peer, "revoked")
        return min(revoked_for, self._observer.seconds_outside_view(member.peer)) < wait

    async def mark_predecessors(self, address: tuple[str, int]) -> None:
        """Mark members that ran where this instance now listens as left.

        Listening on their address proves that their process has ended.
        """
        for member in list(self._observer.members.values()):
            record = member.row.record
            same = (record.address, record.peer_port) == address
            if same and member.active and member.peer != self._me:
                await self._try_mark(member, "left")

    async def update_view(self) -> None:
        """Make the view follow the members, if it does not.

        Raises:
            GuavaError: No majority acknowledged, or the store failed.
        """
        if self._live_voters() == self._observer.view.voters:
            return
        if self._observer.view.number == 0:
            await self._write_view()
            return
        async with self._announcer.pending("view") as announcement:
            await self._table.read()
            announcement.check()
            if self._observer.view.number != announcement.view:
                raise ConditionFailed("the view has changed meanwhile")
            await self._write_view()

    async def revoke_expired(self) -> None:
        """Mark silent members outside the view as revoked."""
        for member in list(self._observer.members.values()):
            if not member.active or not self.is_expired(member):
                continue
            if member.peer not in self._observer.view.voters:
                await self._try_mark(member, "revoked")

    async def delete_old(self) -> None:
        """Delete the rows of members that are gone for long."""
        for member in list(self._observer.members.values()):
            state = member.row.state
            old = (
                self._observer.seconds_in_state(member.peer, state)
                > self._cfg.retention
            )
            if not member.active and old and not self.may_act(member):
                await self._table.remove(member)

    def _has_stopped(self, peer: PeerId) -> bool:
        left_for = self._observer.seconds_in_state(peer, "left")
        if left_for >= self._cfg.settle_bound:
            return True
        return self._observer.seconds_since_renewal(peer) >= self._cfg.max_renewal_gap

    def _live_voters(self) -> tuple[PeerId, ...]:
        members = self._observer.members.values()
        return tuple(
            sorted(m.peer for m in members if m.active and not self.is_expired(m))
        )

    async def _write_view(self) -> None:
        wanted = self._live_voters()
        if wanted == self._observer.view.voters or not wanted:
            return
        view = View(self._observer.view.number + 1, wanted)
        await self._table.write_view(view)
        events.VIEW_CHANGED.log(
            number=view.number, voters=[peer.name for peer in wanted]
        )

    async def _try_mark(self, member: Member, state: State) -> None:
        try:
            await self._table.mark(member, state)
        except ConditionFailed:
            return
        events.MEMBER_REVOKED.log(
            member=member.peer.name,
            incarnation=member.peer.incarnation,
            state=state,
        )
