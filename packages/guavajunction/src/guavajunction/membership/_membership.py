"""Membership of one instance: its member row, the other members, its standing."""

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
from ._pending_notes import PendingNotes
from ._protocols import Mesh
from ._registration import Registration
from ._rendezvous import owner
from ._standing import StandingRule
from ._upkeep import Upkeep

STATUS_TOPIC = "membership"

OnChange = Callable[[], None]
"""Called when the set of live members has changed."""


class Job(Protocol):
    """A method of `Membership` that is called periodically."""

    __name__: str
    """Written to the log if the job fails."""

    async def __call__(self) -> None:
        """Run the job once."""
        ...


def _no_version() -> int:
    return 0


class Membership:
    """Registers this incarnation, reads the other members, and decides on standing.

    An instance has standing while it is confirmed to be a member: only then may it
    trust its keys and spend its shares. `standing` is computed from the monotonic
    clock at each call, so an instance that was paused has no standing until the store
    or its peers have confirmed again that it is a member.
    """

    JOB_JITTER = 0.5
    """Width of the range around 1 of the random factor on the pause between jobs."""

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
            mesh: Links to the other instances; its `me` is this incarnation.
            clock: Source of time.
            cfg: Intervals, timeouts and limits.
            record: Name and addresses to write to the member row.
            version: Returns the version of the configuration in force. If given,
                the store's state is confirmed only up to the latest `on_store_read`.
                If omitted, reads of the members are enough.
        """
        self._instance_list = instance_list
        self._mesh = mesh
        self._clock = clock
        self._cfg = cfg
        self._record = record
        self._version = version or _no_version
        self._members_read_at = float("-inf")
        self._configuration_read_at = float("-inf" if version else "inf")
        self._listed: list[InstanceRecord] = []
        self._deregistering = False
        self._leaving = False
        self._callbacks: list[OnChange] = []
        self._live: list[PeerId] = [mesh.me]
        self._was_standing = False
        self._failing_jobs: set[str] = set()
        self._renewing_since: float | None = None
        self._poll_requested = asyncio.Event()
        self._notes = PendingNotes(cfg)
        self._observer = MemberObserver(cfg.lease / 2)
        self._rule = StandingRule(mesh.me, self._version, cfg)
        self._table = MemberTable(table, clock, self._observer)
        self._registration = Registration(mesh.me, record, self._table, clock)
        self._announcer = Announcer(
            mesh,
            clock,
            self._notes,
            lambda: self._rule.view,
            lambda: self._upkeep.stopped_voters(),
            self._may_hold_note,
            self.request_poll,
            cfg,
        )
        self._upkeep = Upkeep(
            mesh.me, self._table, self._observer, self._announcer, clock, cfg
        )
        self.lost = asyncio.Event()
        """Set once this incarnation was revoked; the instance must then restart."""
        mesh.handle(Pending, self._on_pending)
        mesh.handle(Settled, self._on_settled)
        mesh.add_topic(STATUS_TOPIC, self._status, self._on_status, Status)

    @property
    def me(self) -> PeerId:
        """Identity of this incarnation."""
        return self._mesh.me

    @property
    def registered(self) -> bool:
        """Whether the store has confirmed a write of this incarnation's member row."""
        return self._registration.registered

    @property
    def leaving(self) -> bool:
        """Whether this instance has announced that it stops."""
        return self._leaving

    def standing(self) -> bool:
        """Return whether this instance may trust its keys and spend its shares."""
        if not self.registered or self._registration.lost or self._deregistering:
            return False
        now = self._clock.monotonic()
        if self._rule.confirmed(now):
            return True
        return self._rule.majority(now, blocked=self._notes.blocked)

    def live_members(self) -> list[PeerId]:
        """Return the members that are believed to be live, this one included.

        A member is live if the state in its row is `live`, and it sent a heartbeat
        recently or has renewed its row within its lease.
        """
        recent_peers = self._mesh.peers_seen_within(self._cfg.heartbeat_max_age)
        read_recently = self._has_recent_read()
        live = {
            member.peer
            for member in self._observer.members.values()
            if member.row.state == "live"
            and (
                member.peer in recent_peers
                or (read_recently and not self._upkeep.is_expired(member))
            )
        }
        return sorted(live | {self.me})

    def records(self) -> list[InstanceRecord]:
        """Return the instance records of the members that may still serve."""
        members = self._observer.members.values()
        return [member.row.record for member in members if member.active]

    def owner_of(self, key: str) -> PeerId:
        """Return the live member responsible for a key, by rendezvous hashing."""
        return owner(key, self.live_members())

    def revoked(self, incarnation: str) -> bool:
        """Return whether the latest read showed an incarnation as revoked or left."""
        members = self._observer.members.values()
        return any(m.peer.incarnation == incarnation and not m.active for m in members)

    async def unrevoked_members(self) -> list[PeerId]:
        """Read the store and return every member that may still act.

        A revoked member is included until it has certainly stopped.

        Raises:
            PlatformError: The store did not answer.
        """
        await self.poll()
        members = self._observer.members.values()
        return sorted(m.peer for m in members if self._upkeep.may_act(m))

    def pending(self, kind: str) -> AbstractAsyncContextManager[Announcement]:
        """Have a majority of the voters hold a note of a change in the context.

        See `Announcer.pending` for how the context has to be left.

        Args:
            kind: Kind of the pending change, such as `configuration`.

        Raises:
            NoMajority: Too few voters acknowledged in time.
            PendingExpired: The context stayed open for too long.
        """
        return self._announcer.pending(kind)

    def on_store_read(self, started_at: float) -> None:
        """Record that all changes accepted before a time are in force here.

        Args:
            started_at: Monotonic time, in seconds, before the read of the store was
                sent.
        """
        self._configuration_read_at = max(self._configuration_read_at, started_at)
        self._confirm()

    def on_change(self, callback: OnChange) -> None:
        """Register a function to call when the set of live members has changed."""
        self._callbacks.append(callback)

    def request_poll(self) -> None:
        """Request a read of the members and the view as soon as possible."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Register, renew and read members until cancelled."""
        await self._mesh.ready()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_every(self.renew, self._cfg.renew))
            tasks.create_task(self._poll_forever())
            tasks.create_task(
                self._run_every(self.read_list, self._cfg.list_poll_interval)
            )
            tasks.create_task(self._run_every(self.upkeep, self._cfg.poll))

    async def leave(self) -> None:
        """Mark this instance as leaving in its member row; it keeps its standing.

        Raises:
            PlatformError: The store did not answer; the next renewal writes the mark.
        """
        self._leaving = True
        await self.renew()

    async def deregister(self) -> None:
        """End the membership. Call it once no request is in flight.

        Raises:
            PlatformError: The store did not answer. The other instances then wait
                until the lease of the member row has expired.
        """
        self._deregistering = True
        if self.registered and not self._registration.lost:
            await self._renew_row("left")

    async def renew(self) -> None:
        """Write the member row once, and mark its predecessors at this address as left.

        Raises:
            PlatformError: The store did not answer; the row may have been written.
        """
        if self._registration.lost or self._deregistering:
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
        self._signal_revocation()
        address = (self._record.address, self._record.peer_port)
        await self._upkeep.mark_predecessors(address)

    async def poll(self) -> None:
        """Read the members and the view once.

        Raises:
            PlatformError: The store did not answer, or a row is malformed.
        """
        started = await self._table.read()
        self._registration.on_read(self._observer.members.get(self.me))
        self._signal_revocation()
        self._rule.view = self._observer.view
        if self.registered and not self._registration.lost:
            self._members_read_at = max(self._members_read_at, started)
            self._confirm()
        self._update_targets()
        self._notify_of_live_change()

    async def read_list(self) -> None:
        """Read the platform's instance list once.

        Raises:
            PlatformError: The list did not answer, or the answer is malformed.
        """
        self._listed = await self._instance_list.instances()
        self._update_targets()

    async def upkeep(self) -> None:
        """Update the view and other members' rows, if this instance is responsible.

        Raises:
            PlatformError: The store did not answer.
        """
        if not self._may_run_upkeep():
            return
        if self.owner_of("member-view") != self.me:
            return
        no_view_yet = self._observer.view.number == 0
        try:
            await self._upkeep.update_view()
        except GuavaError as exc:
            events.VIEW_NOT_CHANGED.log(error=type(exc).__name__)
        if no_view_yet:
            # Changes can be announced only after the first view has been read.
            self.request_poll()
        await self._upkeep.revoke_expired()
        await self._upkeep.delete_old_rows()

    async def _renew_row(self, state: State) -> float | None:
        started = await self._registration.renew(state)
        if started is None and not self._registration.lost:
            # The failed write has re-read the row's version, so a second can succeed.
            started = await self._registration.renew(state)
        return started

    def _may_run_upkeep(self) -> bool:
        """Return whether the other members have had time to renew their rows.

        After an outage for writes, the rows of all members are old, and some members
        renew theirs a little later than others. So this instance must have renewed its
        own row for a whole lease before it treats other members as expired.
        """
        if self._renewing_since is None or not self._has_recent_read():
            return False
        renewing_for = self._clock.monotonic() - self._renewing_since
        no_view_yet = self._observer.view.number == 0
        return no_view_yet or renewing_for >= self._cfg.lease + self._cfg.drift_margin

    async def _poll_forever(self) -> None:
        while True:
            self._poll_requested.clear()
            await self._run_job(self.poll)
            self._log_standing_change()
            pause = asyncio.ensure_future(self._sleep_jittered(self._cfg.poll))
            requested = asyncio.ensure_future(self._poll_requested.wait())
            try:
                await asyncio.wait(
                    {pause, requested}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                pause.cancel()
                requested.cancel()

    async def _run_every(self, job: Job, interval: float) -> None:
        while True:
            await self._run_job(job)
            await self._sleep_jittered(interval)

    async def _run_job(self, job: Job) -> None:
        name = job.__name__
        try:
            await job()
        except PlatformError as exc:
            # Log once for each job and outage, not for each attempt.
            if name not in self._failing_jobs:
                events.STORE_JOB_FAILED.log(job=name, error=type(exc).__name__)
            self._failing_jobs.add(name)
        else:
            self._failing_jobs.discard(name)

    async def _sleep_jittered(self, seconds: float) -> None:
        # Jitter keeps instances that started together from calling the store together.
        jitter = 1 + self.JOB_JITTER * (random.random() - 0.5)
        await self._clock.sleep(seconds * jitter)

    async def _on_pending(self, sender: PeerId, note: Pending) -> PendingAck:
        view = self._rule.view
        if (
            view is None
            or view.number != note.view
            or self._deregistering
            or not self._may_hold_note()
        ):
            self.request_poll()
            return PendingAck(False)
        return PendingAck(self._notes.hold(note, self._clock.monotonic()))

    def _may_hold_note(self) -> bool:
        """Return whether this instance has renewed its row recently enough.

        Others count a voter as ended some time after its last renewal, and then write
        a new view without its acknowledgement.
        """
        elapsed = self._clock.monotonic() - self._rule.renewed_at
        return elapsed < self._cfg.outage_limit

    async def _on_settled(self, sender: PeerId, settled: Settled) -> None:
        now = self._clock.monotonic()
        self._notes.settle(settled.note, now, effect=settled.effect)
        if settled.effect:
            self.request_poll()

    def _status(self) -> Status:
        now = self._clock.monotonic()
        confirmed_at = self._rule.confirmed_at
        serving = not (self._registration.lost or self._deregistering)
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

    def _has_recent_read(self) -> bool:
        limit = self._cfg.lease
        return self._clock.monotonic() - self._observer.read_at < limit

    def _update_targets(self) -> None:
        known = {(r.address, r.peer_port): r for r in self._listed}
        for member in self._observer.members.values():
            if member.active:
                record = member.row.record
                known[record.address, record.peer_port] = record
        known.pop((self._record.address, self._record.peer_port), None)
        self._mesh.set_targets(list(known.values()))

    def _signal_revocation(self) -> None:
        if self._registration.lost:
            self.lost.set()

    def _log_standing_change(self) -> None:
        standing = self.standing()
        if standing != self._was_standing:
            self._was_standing = standing
            events.STANDING_CHANGED.log(standing=standing)

    def _notify_of_live_change(self) -> None:
        self._rule.retain_peers(set(self._observer.members))
        live = self.live_members()
        if live == self._live:
            return
        self._live = live
        events.MEMBERS_CHANGED.log(live=[peer.name for peer in live])
        for callback in self._callbacks:
            self._run_callback(callback)

    def _run_callback(self, callback: OnChange) -> None:
        try:
            callback()
        except Exception as exc:
            # A failing callback must not keep the other callbacks from running.
            events.CALLBACK_FAILED.log(failure=repr(exc))
