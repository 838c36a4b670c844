"""Maintains the view and other members' rows."""

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
    """Updates the view, revokes expired members and deletes old rows.

    An expired member is removed from the view before its row is marked as revoked,
    and the view changes only with acknowledgements by a majority of the voters. If a
    row is revoked while a view names the member, the member keeps its units until a
    later view no longer names it.
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
        """Return whether a member has not renewed its row within its lease."""
        limit = self._cfg.lease + self._cfg.drift_margin
        return self._observer.seconds_since_renewal(member.peer) >= limit

    def stopped_voters(self) -> set[PeerId]:
        """Return the voters that can't be part of a majority that serves.

        A voter that left is among them only after `settle_bound`: by then any change
        that it acknowledged has taken effect or never will.
        """
        return {peer for peer in self._observer.view.voters if self._has_stopped(peer)}

    def may_act(self, member: Member) -> bool:
        """Return whether a member may still spend its units."""
        if member.row.state == "left":
            return False
        if member.row.state != "revoked":
            return True
        wait = self._cfg.reclaim_wait
        revoked_for = self._observer.seconds_in_state(member.peer, "revoked")
        return min(revoked_for, self._observer.seconds_outside_view(member.peer)) < wait

    async def mark_predecessors(self, address: tuple[str, int]) -> None:
        """Mark earlier incarnations at this instance's address as left.

        This instance listens on the address, so their processes have ended.

        Args:
            address: IP address and peer port of this instance.

        Raises:
            PlatformError: The store did not answer.
        """
        for member in list(self._observer.members.values()):
            record = member.row.record
            same_address = (record.address, record.peer_port) == address
            if same_address and member.active and member.peer != self._me:
                await self._try_mark(member, "left")

    async def update_view(self) -> None:
        """Write a new view if the voters differ from the members that are not expired.

        No acknowledgement is needed if all voters have ended: no majority can serve in
        their view, and every change that they acknowledged is settled.

        Raises:
            GuavaError: No majority acknowledged the change, or the store failed.
        """
        if self._live_voters() == self._observer.view.voters:
            return
        if self._observer.view.number == 0:
            await self._write_view()
            return
        if self._all_voters_ended():
            await self._table.read()
            if self._all_voters_ended():
                await self._write_view()
            return
        async with self._announcer.pending("view") as announcement:
            await self._table.read()
            announcement.check()
            if self._observer.view.number != announcement.view:
                raise ConditionFailed("the view has changed meanwhile")
            await self._write_view()

    async def revoke_expired(self) -> None:
        """Mark expired members that are not in the view as revoked.

        Raises:
            PlatformError: The store did not answer.
        """
        for member in list(self._observer.members.values()):
            if not member.active or not self.is_expired(member):
                continue
            if member.peer not in self._observer.view.voters:
                await self._try_mark(member, "revoked")

    async def delete_old_rows(self) -> None:
        """Delete rows that have been left or revoked for longer than `retention`.

        Raises:
            PlatformError: The store did not answer, or a row has changed.
        """
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

    def _all_voters_ended(self) -> bool:
        return all(self._has_ended(peer) for peer in self._observer.view.voters)

    def _has_ended(self, peer: PeerId) -> bool:
        """Return whether a voter can never hold a note again, and all are settled.

        A voter that left has ended, also once its row was deleted. A silent voter may
        still run, but refuses notes since `outage_limit` after its last renewal.
        """
        if peer not in self._observer.members:
            return True
        bound = self._cfg.settle_bound
        if self._observer.seconds_in_state(peer, "left") >= bound:
            return True
        silent = self._observer.seconds_since_renewal(peer)
        return silent >= self._cfg.max_renewal_gap + bound

    def _live_voters(self) -> tuple[PeerId, ...]:
        members = self._observer.members.values()
        return tuple(
            sorted(m.peer for m in members if m.active and not self.is_expired(m))
        )

    async def _write_view(self) -> None:
        new_voters = self._live_voters()
        if new_voters == self._observer.view.voters or not new_voters:
            return
        view = View(self._observer.view.number + 1, new_voters)
        await self._table.write_view(view)
        events.VIEW_CHANGED.log(
            number=view.number, voters=[peer.name for peer in new_voters]
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
