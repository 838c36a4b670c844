"""The members of the fleet as one instance knows them, and its own standing."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from guavajunction.clock import Clock
from guavajunction.errors import GuavaError, PlatformError
from guavajunction.peers import PeerId
from guavajunction.storage import InstanceList, InstanceRecord, TableService

from . import _events as events
from ._announcer import Announcement, Announcer
from ._config import MembershipConfig
from ._member_table import MemberTable
from ._messages import Pending, PendingAck, Settled, Status
from ._model import State
from ._observer import MemberObserver
from ._pending_notes import NoteBook
from ._protocols import Mesh
from ._registration import Registration
from ._rendezvous import owner
from ._standing import StandingRule
from ._upkeep import Upkeep

TOPIC = "membership"

OnChange = Callable[[], None]


class Job(Protocol):
    """A step that the loops repeat."""

    __name__: str

    async def __call__(self) -> None:
        """Take the step once."""
        ...


def _no_configuration() -> int:
    return 0


class Membership:
    """Registers this incarnation, reads the others, and tells who may act.

    `standing` is computed from the monotonic clock at each call: an instance that
    was paused finds itself without standing until the store or its peers have
    confirmed anew that it is a member.
    """

    UPKEEP_JITTER = 0.5

    def __init__(
        self,
        table: TableService,
        instance_list: InstanceList,
        mesh: Mesh,
        clock: Clock,
        cfg: MembershipConfig,
        record: InstanceRecord,
        *,
        version: Callable[[], int] | None = None,
    ) -> None:
        """Create the membership of one incarnation.

        Args:
            table: The platform's table service.
            instance_list: The platform's list of entry instances.
            mesh: Links to the other instances; fixes this incarnation's identity.
            clock: Source of time.
            cfg: Times.
            record: Name and addresses that the member row holds.
            version: Returns the version of the configuration in force. If given,
                the store counts as confirmed only as of the latest
                `on_store_read`; if omitted, the members alone are read.
        """
        self._instance_list = instance_list
        self._mesh = mesh
        self._clock = clock
        self._cfg = cfg
        self._record = record
        self._version = version or _no_configuration
        self._members_read_at = float("-inf")
        self._configuration_read_at = float("-inf" if version else "inf")
        self._listed: list[InstanceRecord] = []
        self._state_left = False
        self._leaving = False
        self._callbacks: list[OnChange] = []
        self._live: list[PeerId] = [mesh.me]
        self._was_standing = False
        self._failing: set[str] = set()
        self._renewing_since: float | None = None
        self._wake = asyncio.Event()
        self._notes = NoteBook(cfg)
        self._observer = MemberObserver(cfg.lease / 2)
        self._rule = StandingRule(mesh.me, self._version, cfg)
        self._table = MemberTable(table, clock, self._observer)
        self._registration = Registration(mesh.me, record, self._table, clock)
        self._announcer = Announcer(
            mesh,
            clock,
            self._notes,
            lambda: self._rule.view,
            lambda: self._upkeep.gone(),
            self.wake,
            cfg,
        )
        self._upkeep = Upkeep(
            mesh.me, self._table, self._observer, self._announcer, clock, cfg
        )
        self.lost = asyncio.Event()
        """Set once this incarnation was revoked; only a new one can serve."""
        mesh.handle(Pending, self._on_pending)
        mesh.handle(Settled, self._on_settled)
        mesh.share(TOPIC, self._status, self._on_status, Status)

    @property
    def me(self) -> PeerId:
        """Identity of this incarnation."""
        return self._mesh.me

    @property
    def registered(self) -> bool:
        """Whether this incarnation's member row was seen written."""
        return self._registration.registered

    @property
    def leaving(self) -> bool:
        """Whether this instance has announced that it stops."""
        return self._leaving

    def standing(self) -> bool:
        """Return whether this instance may trust its keys and spend its shares."""
        if not self.registered or self._registration.lost or self._state_left:
            return False
        now = self._clock.monotonic()
        if self._rule.confirmed(now):
            return True
        return self._rule.majority(now, blocked=self._notes.blocked)

    def live_members(self) -> list[PeerId]:
        """Return the members that are believed to be live, this one included."""
        heard = self._mesh.heard(self._cfg.heard)
        reading = self._reads_lately()
        live = {
            member.peer
            for member in self._observer.members.values()
            if member.row.state == "live"
            and (member.peer in heard or (reading and not self._upkeep.silent(member)))
        }
        return sorted(live | {self.me})

    def records(self) -> list[InstanceRecord]:
        """Return the addresses of the members that may still serve."""
        members = self._observer.members.values()
        return [member.row.record for member in members if member.active]

    def author(self, key: str) -> PeerId:
        """Return the live member that a key falls to by rendezvous hashing."""
        return owner(key, self.live_members())

    def revoked(self, incarnation: str) -> bool:
        """Return whether an incarnation was seen revoked, or left, in the store."""
        members = self._observer.members.values()
        return any(m.peer.incarnation == incarnation and not m.active for m in members)

    async def unrevoked_members(self) -> list[PeerId]:
        """Read from the store every member that may still act.

        A revoked member is among them until it certainly has stopped.

        Raises:
            PlatformError: The store did not answer.
        """
        await self.poll()
        members = self._observer.members.values()
        return sorted(m.peer for m in members if self._upkeep.may_act(m))

    def pending(self, kind: str) -> AbstractAsyncContextManager[Announcement]:
        """Keep a majority of members warned of a change while the context is open.

        Args:
            kind: What is pending, such as `configuration`.

        Raises:
            NoMajority: Too few members acknowledged in time.
            PendingExpired: The context stayed open for too long.
        """
        return self._announcer.pending(kind)

    def on_store_read(self, started_at: float) -> None:
        """Note that what was accepted at a time is in force here.

        Args:
            started_at: Monotonic time, in seconds, before the read was sent.
        """
        self._configuration_read_at = max(self._configuration_read_at, started_at)
        self._confirm()

    def on_change(self, callback: OnChange) -> None:
        """Call a function after the set of live members has changed."""
        self._callbacks.append(callback)

    def wake(self) -> None:
        """Read the store as soon as possible."""
        self._wake.set()

    async def run(self) -> None:
        """Register, renew and read members until cancelled."""
        await self._mesh.ready()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._forever(self.renew, self._cfg.renew))
            tasks.create_task(self._poll_forever())
            tasks.create_task(self._forever(self.read_list, self._cfg.list_poll))
            tasks.create_task(self._forever(self.upkeep, self._cfg.poll))

    async def leave(self) -> None:
        """Announce that this instance stops; it keeps its standing meanwhile.

        Raises:
            PlatformError: The store did not answer; the next renewal says it.
        """
        self._leaving = True
        await self.renew()

    async def deregister(self) -> None:
        """Give up the membership; call it when nothing is in flight any more.

        Raises:
            PlatformError: The store did not answer; the others will wait for the
                lease of the member row to run out.
        """
        self._state_left = True
        if self.registered and not self._registration.lost:
            await self._renew_row("left")

    async def renew(self) -> None:
        """Write the member row once."""
        if self._registration.lost or self._state_left:
            return
        if not self.registered:
            await self._table.read()
        try:
            started = await self._renew_row("leaving" if self._leaving else "live")
        except PlatformError:
            self._renewing_since = None
            raise
        if started is not None:
            self._rule.renewed_at = max(self._rule.renewed_at, started)
            self._renewing_since = self._renewing_since or started
        self._note_lost()
        address = (self._record.address, self._record.peer_port)
        await self._upkeep.mark_predecessors(address)

    async def poll(self) -> None:
        """Read the members and the view once."""
        started = await self._table.read()
        self._registration.on_read(self._observer.members.get(self.me))
        self._note_lost()
        self._rule.view = self._observer.view
        if self.registered and not self._registration.lost:
            self._members_read_at = max(self._members_read_at, started)
            self._confirm()
        self._set_targets()
        self._note_live()

    async def read_list(self) -> None:
        """Read the instance list once."""
        self._listed = await self._instance_list.instances()
        self._set_targets()

    async def upkeep(self) -> None:
        """Put the view and old rows in order, if that falls to this instance."""
        if not self._may_judge():
            return
        if self.author("member-view") != self.me:
            return
        first = self._observer.view.number == 0
        try:
            await self._upkeep.keep_view()
        except GuavaError as exc:
            events.VIEW_NOT_CHANGED.log(error=type(exc).__name__)
        if first:
            # Changes wait for the first view to be read.
            self.wake()
        await self._upkeep.revoke_silent()
        await self._upkeep.delete_old()

    async def _renew_row(self, state: State) -> float | None:
        started = await self._registration.renew(state)
        if started is None and not self._registration.lost:
            # The row's version is known again, so a second write can succeed.
            started = await self._registration.renew(state)
        return started

    def _may_judge(self) -> bool:
        """Return whether others had time to renew if this instance had.

        After an outage for writes everybody's row is old, and some are renewed a
        little later than others.
        """
        if self._renewing_since is None or not self._reads_lately():
            return False
        renewing_for = self._clock.monotonic() - self._renewing_since
        first = self._observer.view.number == 0
        return first or renewing_for >= self._cfg.lease + self._cfg.drift_margin

    async def _poll_forever(self) -> None:
        while True:
            self._wake.clear()
            await self._attempt(self.poll)
            self._note_standing()
            pause = asyncio.ensure_future(self._pause(self._cfg.poll))
            wake = asyncio.ensure_future(self._wake.wait())
            try:
                await asyncio.wait({pause, wake}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                pause.cancel()
                wake.cancel()

    async def _forever(self, job: Job, every: float) -> None:
        while True:
            await self._attempt(job)
            await self._pause(every)

    async def _attempt(self, job: Job) -> None:
        name = job.__name__
        try:
            await job()
        except PlatformError as exc:
            # One line for each outage and job, not for each attempt.
            if name not in self._failing:
                events.STORE_JOB_FAILED.log(job=name, error=type(exc).__name__)
            self._failing.add(name)
        else:
            self._failing.discard(name)

    async def _pause(self, seconds: float) -> None:
        # Instances that started together must not reach the store together for ever.
        spread = 1 + self.UPKEEP_JITTER * (random.random() - 0.5)
        await self._clock.sleep(seconds * spread)

    async def _on_pending(self, sender: PeerId, note: Pending) -> PendingAck:
        view = self._rule.view
        if view is None or view.number != note.view or self._state_left:
            self.wake()
            return PendingAck(False)
        return PendingAck(self._notes.hold(note, self._clock.monotonic()))

    async def _on_settled(self, sender: PeerId, settled: Settled) -> None:
        now = self._clock.monotonic()
        self._notes.settle(settled.note, now, effect=settled.effect)
        if settled.effect:
            self.wake()

    def _status(self) -> Status:
        now = self._clock.monotonic()
        confirmed_at = self._rule.confirmed_at
        serving = not (self._registration.lost or self._state_left)
        eligible = self._rule.eligible(now, blocked=self._notes.blocked)
        return Status(
            age=None if confirmed_at == float("-inf") else now - confirmed_at,
            version=self._version(),
            view=self._rule.view.number if self._rule.view else 0,
            eligible=eligible and serving,
            revoked=self._revoked_incarnations(),
        )

    def _on_status(self, peer: PeerId, status: Status) -> None:
        self._rule.on_status(peer, status, self._mesh.echoed_at(peer))

    def _revoked_incarnations(self) -> tuple[str, ...]:
        members = self._observer.members.values()
        revoked = [m.peer.incarnation for m in members if m.row.state == "revoked"]
        return tuple(sorted(revoked))

    def _confirm(self) -> None:
        at = min(self._members_read_at, self._configuration_read_at)
        if at > self._rule.confirmed_at:
            self._rule.confirmed_at = at
            self._notes.on_confirmed(at)

    def _reads_lately(self) -> bool:
        limit = self._cfg.lease
        return self._clock.monotonic() - self._observer.read_at < limit

    def _set_targets(self) -> None:
        known = {(r.address, r.peer_port): r for r in self._listed}
        for member in self._observer.members.values():
            if member.active:
                record = member.row.record
                known[record.address, record.peer_port] = record
        known.pop((self._record.address, self._record.peer_port), None)
        self._mesh.set_targets(list(known.values()))

    def _note_lost(self) -> None:
        if self._registration.lost:
            self.lost.set()

    def _note_standing(self) -> None:
        standing = self.standing()
        if standing != self._was_standing:
            self._was_standing = standing
            events.STANDING_CHANGED.log(standing=standing)

    def _note_live(self) -> None:
        self._rule.forget(set(self._observer.members))
        live = self.live_members()
        if live == self._live:
            return
        self._live = live
        events.MEMBERS_CHANGED.log(live=[peer.name for peer in live])
        for callback in self._callbacks:
            self._call(callback)

    def _call(self, callback: OnChange) -> None:
        try:
            callback()
        except Exception as exc:
            # The other callbacks must run all the same.
            events.CALLBACK_FAILED.log(failure=repr(exc))
