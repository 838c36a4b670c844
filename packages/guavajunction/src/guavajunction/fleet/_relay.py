"""The role of an instance as a hub or a follower of a hub."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any, NamedTuple, TypeVar

from guavajunction.clock import Clock
from guavajunction.errors import PeerError
from guavajunction.peers import Links, PeerId
from guavajunction.storage import Changes

from . import _events as events
from ._hubs import Candidate, FleetShape, hub_of, hubs, reader_of
from ._messages import (
    HubStatus,
    NewerRowsAnswer,
    NewerRowsWanted,
    PartitionStatus,
    RowsAnswer,
    RowsNotice,
    RowsWanted,
)
from ._relayed_rows import UNREAD, ReadRows, RelayedRows
from ._roster import KnownMember, Member, Roster

AnswerT = TypeVar("AnswerT", RowsAnswer, NewerRowsAnswer)


class _HubChoice(NamedTuple):
    """The hubs of each data centre, and the one that reads the store."""

    by_data_centre: dict[str, list[str]]
    reader: str | None


class _ReceivedStatus(NamedTuple):
    """The last status that the source of the store's rows sent."""

    peer: PeerId
    status: HubStatus
    at: float


class _Offer(NamedTuple):
    """A partition whose rows are relayed to followers."""

    rows: ReadRows
    age: Callable[[], float]


class _Follower(NamedTuple):
    peer: PeerId
    last_seen_at: float


class Relay:
    """Follows a hub, or acts as a hub for the instances that follow this one.

    It selects the hub to follow and the receivers of heartbeats, relays rows and
    messages, and requests rows from their source. Followers take the store's rows from
    their hub. Hubs take them from the order leader, or from the best hub while there is
    no leader, so that the number of calls to the store does not grow with the fleet.
    Without an up-to-date source an instance reads the store itself.
    """

    HUB_TIMEOUT_SECONDS = 0.6
    """A hub is replaced if its last status is older than this, that is, than four
    heartbeat intervals."""
    FIRST_STATUS_SECONDS = 1.0
    """Timeout for the first status of a newly followed hub."""
    AVOID_HUB_SECONDS = 5.0
    """How long a hub that sent no status in time is not followed again."""
    FOLLOWER_TIMEOUT_SECONDS = 1.0
    """An instance stops counting as a follower this long after its last heartbeat."""
    STORE_AGE_SECONDS = 1.3
    """The rows of a hub count as stale if the store has not answered it for this
    long."""
    ROWS_REQUEST_SECONDS = 0.5
    """Timeout of a request for all rows of a partition."""
    MEMBERS_EVERY_HEARTBEATS = 4
    """While the fleet does not change, one of this many heartbeats carries the list of
    all instances."""
    OTHER_HUBS_EVERY_HEARTBEATS = 2
    """A follower sends one of this many heartbeats to hubs that it does not follow, and
    every heartbeat to its own hub."""
    MAX_CACHED_HUB_CHOICES = 16
    """Maximum number of cached hub selections, by the set of unfit instances."""
    SETTLE_SECONDS = 3.0
    """Time after the start from which a listed instance without a heartbeat counts as
    stopped."""

    def __init__(
        self, links: Links, roster: Roster, shape: FleetShape, clock: Clock
    ) -> None:
        """Create a relay that follows no hub.

        Args:
            links: Links to the other instances.
            roster: The known instances and their last heartbeats.
            shape: Sizes that determine the hubs.
            clock: Source of time.
        """
        self._links = links
        self._roster = roster
        self._shape = shape
        self._clock = clock
        self._listed: dict[str, Candidate] = {}
        self._cached_hubs: dict[frozenset[str], _HubChoice] = {}
        self._avoid: dict[str, float] = {}
        self._hub: str | None = None
        self._source: str | None = None
        self._chosen_at = float("-inf")
        self._settled_at = clock.monotonic() + self.SETTLE_SECONDS
        self._received: _ReceivedStatus | None = None
        self._followers: dict[str, _Follower] = {}
        self._row_receivers: dict[str, _Follower] = {}
        self._offers: dict[str, _Offer] = {}
        self._relayed_rows: dict[str, RelayedRows] = {}
        self._sent_states: dict[str, tuple[bool, bool]] = {}
        self._heartbeat_count = 0
        self._newer_rows_requests = 0
        self._members: tuple[KnownMember, ...] | None = None
        self.targets: frozenset[str] = frozenset()
        """Names of the instances that receive heartbeats, in addition to followers."""
        self.must_be_hub: Callable[[], bool] = lambda: False
        """Returns whether this instance has a role that only a hub can have."""
        self.on_hub_changed: Callable[[], None] = lambda: None
        """Called when this instance starts to follow a different hub, when it becomes a
        hub, and when its hub has restarted."""
        self.preferred_reader: Callable[[], str | None] = lambda: None
        """Returns the name of an instance that reads the store in any case, if any."""
        self.on_source_changed: Callable[[], None] = lambda: None
        """Called when the store's rows have a different source, or it has restarted."""
        links.handle(RowsNotice, self._on_notice)
        links.handle(RowsWanted, self._on_wanted)
        links.handle(NewerRowsWanted, self._on_newer_wanted)

    @property
    def follows(self) -> str:
        """Return the name of the followed hub, or an empty string if this is a hub."""
        return self._hub or ""

    @property
    def rows_from(self) -> str:
        """Return the source of the store's rows, an empty string for the store."""
        return self._source or ""

    def offer_partition(
        self, partition: str, rows: ReadRows, age: Callable[[], float]
    ) -> None:
        """Offer a partition of the store to followers.

        Args:
            partition: Name of the partition.
            rows: The rows of the partition that this instance has read.
            age: Returns the seconds since the store last answered for the partition.
        """
        self._offers[partition] = _Offer(rows, age)
        self._relayed_rows[partition] = RelayedRows()

    def sends_heartbeat_to(self, name: str) -> bool:
        """Return whether the current heartbeat is sent to an instance."""
        if name not in self.targets:
            return False
        always = self._hub is None or name == self._hub
        return always or self._heartbeat_count % self.OTHER_HUBS_EVERY_HEARTBEATS == 0

    def publish(self, notice: RowsNotice) -> None:
        """Send a notice of changed rows to all instances that take rows from here."""
        self._links.send_to_each(self.row_receivers(), notice)

    def set_listed(self, listed: Iterable[Candidate]) -> None:
        """Set the list of all instances, including this one."""
        self._listed = {candidate.name: candidate for candidate in listed}
        self._cached_hubs.clear()
        self._choose_hub_and_targets(self._roster.known())

    def _choose_hub_and_targets(self, known: Collection[KnownMember]) -> None:
        """Select the hub to follow and the receivers of heartbeats."""
        now = self._clock.monotonic()
        self._drop_silent_source(now)
        unfit = frozenset(self._unfit(known, now))
        by_data_centre, best_reader = self._hubs_without(unfit)
        me = self._listed.get(self._links.me.name)
        hub = hub_of(me, by_data_centre) if me else None
        if hub is not None and (self.followers() or self.must_be_hub()):
            hub = None
        if hub != self._hub:
            self._change_hub(hub, now)
        source = hub or self._choose_reader(best_reader, unfit)
        if source != self._source:
            self._change_source(source, now)
        # The preferred hubs receive heartbeats even if they send none. Otherwise a hub
        # that starts or recovers would not be discovered.
        preferred, _ = self._hubs_without(frozenset())
        wanted = {
            name
            for names in (*by_data_centre.values(), *preferred.values())
            for name in names
        }
        wanted.update(m.peer.name for m in known if m.live and m.member.is_hub)
        if self._source is not None:
            wanted.add(self._source)
        self.targets = frozenset(wanted - {self._links.me.name})

    def _choose_reader(
        self, best_reader: str | None, unfit: frozenset[str]
    ) -> str | None:
        """Return the hub from which this hub takes rows, or None for the store."""
        me = self._links.me.name
        if self.must_be_hub() or not self._shape.one_reader:
            return None
        preferred = self.preferred_reader()
        if preferred is not None and preferred not in unfit and preferred != me:
            return preferred
        return best_reader if best_reader != me else None

    def _hubs_without(self, unfit: frozenset[str]) -> _HubChoice:
        """Return the hubs, cached because every heartbeat needs them."""
        choice = self._cached_hubs.get(unfit)
        if choice is None:
            if len(self._cached_hubs) >= self.MAX_CACHED_HUB_CHOICES:
                self._cached_hubs.clear()
            listed = self._listed.values()
            by_data_centre = hubs(listed, unfit, self._shape)
            choice = _HubChoice(by_data_centre, reader_of(listed, by_data_centre))
            self._cached_hubs[unfit] = choice
        return choice

    def _drop_silent_source(self, now: float) -> None:
        if self._source is None:
            return
        if self._received is not None:
            elapsed, timeout = now - self._received.at, self.HUB_TIMEOUT_SECONDS
        else:
            elapsed, timeout = now - self._chosen_at, self.FIRST_STATUS_SECONDS
        if elapsed > timeout and self._avoid.get(self._source, 0.0) <= now:
            self._avoid[self._source] = now + self.AVOID_HUB_SECONDS
            events.HUB_SILENT.log(hub=self._source, seconds=round(elapsed, 2))

    def _unfit(self, known: Collection[KnownMember], now: float) -> set[str]:
        unfit = {name for name, until in self._avoid.items() if until > now}
        unfit.update(
            m.peer.name for m in known if not m.live or not m.member.sees_store
        )
        if now > self._settled_at:
            known_names = {m.peer.name for m in known}
            unfit |= self._listed.keys() - known_names - {self._links.me.name}
        return unfit

    def _change_hub(self, hub: str | None, now: float) -> None:
        events.HUB_CHOSEN.log(hub=hub, before=self._hub, listed=len(self._listed))
        self._hub = hub
        self.on_hub_changed()

    def _change_source(self, source: str | None, now: float) -> None:
        events.ROWS_SOURCE_CHOSEN.log(source=source, before=self._source)
        self._source = source
        self._chosen_at = now
        self._reset_source()

    def _reset_source(self) -> None:
        self._received = None
        for rows in self._relayed_rows.values():
            rows.clear()
        self.on_source_changed()

    def row_receivers(self) -> list[PeerId]:
        """Return the instances that take the store's rows from this one."""
        return [
            receiver.peer
            for receiver in self._row_receivers.values()
            if self._still_follows(receiver)
        ]

    def followers(self) -> list[PeerId]:
        """Return the instances that follow this one."""
        return [
            follower.peer
            for follower in self._followers.values()
            if self._still_follows(follower)
        ]

    def has_follower(self, peer: PeerId) -> bool:
        """Return whether an instance follows this one."""
        known = self._followers.get(peer.name)
        return known is not None and known.peer == peer and self._still_follows(known)

    def _still_follows(self, follower: _Follower) -> bool:
        elapsed = self._clock.monotonic() - follower.last_seen_at
        return elapsed < self.FOLLOWER_TIMEOUT_SECONDS

    def on_member(self, peer: PeerId, member: Member) -> None:
        """Update the lists of followers and receivers from another's heartbeat."""
        if member.rows_from == self._links.me.name:
            receiver = _Follower(peer, self._clock.monotonic())
            self._row_receivers[peer.name] = receiver
        else:
            self._row_receivers.pop(peer.name, None)
        if member.follows == self._links.me.name:
            known = self._followers.get(peer.name)
            self._followers[peer.name] = _Follower(peer, self._clock.monotonic())
            if known is None or known.peer != peer:
                events.FOLLOWER_ADDED.log(
                    instance=peer.name, incarnation=peer.incarnation
                )
                self._sent_states = {}
        else:
            self._followers.pop(peer.name, None)

    def begin_heartbeat(self) -> None:
        """Prepare a heartbeat: select the hub and the receivers again.

        Also decides whether this heartbeat carries the list of all instances.
        """
        known = tuple(self._roster.known())
        self._choose_hub_and_targets(known)
        self._heartbeat_count += 1
        serving = tuple(self._roster.may_be_serving())
        states = {m.peer.name: (m.live, m.member.ready) for m in serving}
        changed = states != self._sent_states
        self._sent_states = states
        send_members = (
            changed or self._heartbeat_count % self.MEMBERS_EVERY_HEARTBEATS == 0
        )
        self._members = serving if send_members else None

    def status_for(self, peer: PeerId) -> HubStatus | None:
        """Return the status to send to a receiver of rows, or None for other peers."""
        receiver = self._row_receivers.get(peer.name)
        if receiver is None or receiver.peer != peer:
            return None
        if not self._still_follows(receiver):
            return None
        partitions = {
            partition: PartitionStatus(
                offer.rows.sent_version, offer.rows.version, round(offer.age(), 3)
            )
            for partition, offer in self._offers.items()
        }
        members = self._members if self.has_follower(peer) else None
        return HubStatus(partitions, members)

    def on_hub_status(self, peer: PeerId, status: HubStatus) -> None:
        """Store the status of the source of rows; ignore that of other peers."""
        if peer.name != self._source:
            return
        if self._received is not None and self._received.peer != peer:
            self._reset_source()
            if peer.name == self._hub:
                self.on_hub_changed()
        self._received = _ReceivedStatus(peer, status, self._clock.monotonic())
        if status.members is not None and peer.name == self._hub:
            self._roster.on_hub_members(status.members)

    def has_joined(self) -> bool:
        """Return whether the fleet is listed, and the source of rows, if any, ready."""
        if not self._listed:
            return False
        return self._source is None or (
            self._received is not None
            and any(
                state.version != UNREAD
                for state in self._received.status.partitions.values()
            )
        )

    def hub_peer(self) -> PeerId | None:
        """Return the followed hub's incarnation, or None if its last status is old."""
        return self.source_peer() if self._hub is not None else None

    def source_peer(self) -> PeerId | None:
        """Return the source of rows, or None if its last status is old."""
        status = self._fresh_status()
        return status.peer if status else None

    def broadcast(self, message: Any) -> None:
        """Send a message to all instances; the other hubs forward it to followers."""
        followers = self.followers()
        for peer in followers:
            self._links.send(peer, message)
        for peer in self._roster.peers_matching(lambda member: member.is_hub):
            if peer not in followers:
                self._links.send(peer, message)

    def forward(self, sender: PeerId, message: Any) -> None:
        """Forward a message to the followers, unless a follower sent it."""
        if not self.has_follower(sender):
            for peer in self.followers():
                self._links.send(peer, message)

    def fresh(self, partition: str) -> bool:
        """Return whether the source's rows of a partition are up to date."""
        last = self._fresh_status()
        state = last.status.partitions.get(partition) if last else None
        if last is None or state is None or state.version == UNREAD:
            return False
        age = state.age + self._clock.monotonic() - last.at
        return age < self.STORE_AGE_SECONDS

    def sent_version(self, partition: str) -> int:
        """Return the version of the source's last notice, as of its last status."""
        state = self._partition_status(partition)
        return state.version if state else UNREAD

    def read_version(self, partition: str) -> int:
        """Return the version up to which the source has read the partition."""
        state = self._partition_status(partition)
        return state.read_version if state else UNREAD

    def take(self, partition: str, after: int) -> Changes | None:
        """Return the received changes after a version, or None if there are none."""
        return self._relayed_rows[partition].take(after)

    def has_gap(self, partition: str, after: int) -> bool:
        """Return whether a notice of changes after a version was missed."""
        return self._relayed_rows[partition].has_gap(after)

    async def request_rows(self, partition: str) -> RowsAnswer | None:
        """Request all rows of a partition from the source; None without a reply."""
        source = self.source_peer()
        if source is None:
            return None
        self._relayed_rows[partition].clear()
        return await self._request(source, RowsWanted(partition), RowsAnswer)

    async def request_newer_rows(
        self, partition: str, after: int
    ) -> NewerRowsAnswer | None:
        """Request rows that changed after a version from a hub.

        A follower asks its own hub, which asks the others if it needs to. A hub asks
        the next of the hubs that reach the store at each call, because a hub that has
        just lost the store is still listed as reaching it.

        Returns:
            The answer; None if no such hub is known or it does not reply.
        """
        hub = self.hub_peer() if self._hub is not None else self._next_hub_with_store()
        if hub is None:
            return None
        wanted = NewerRowsWanted(partition, after)
        return await self._request(hub, wanted, NewerRowsAnswer)

    async def _request(
        self,
        hub: PeerId,
        wanted: RowsWanted | NewerRowsWanted,
        answer_type: type[AnswerT],
    ) -> AnswerT | None:
        """Send a request for rows to a hub; return None if it does not reply."""
        try:
            return await self._links.request(
                hub, wanted, answer_type, timeout=self.ROWS_REQUEST_SECONDS
            )
        except PeerError as exc:
            events.ROWS_REQUEST_FAILED.log(
                hub=hub.name, partition=wanted.partition, reason=exc.message
            )
            return None

    def _next_hub_with_store(self) -> PeerId | None:
        hubs = self._roster.peers_matching(lambda m: m.is_hub and m.sees_store)
        if not hubs:
            return None
        self._newer_rows_requests += 1
        return hubs[self._newer_rows_requests % len(hubs)]

    async def _on_notice(self, peer: PeerId, notice: RowsNotice) -> None:
        if peer.name == self._source and notice.partition in self._relayed_rows:
            self._relayed_rows[notice.partition].add(notice)

    async def _on_wanted(self, _: PeerId, wanted: RowsWanted) -> RowsAnswer:
        offer = self._offers.get(wanted.partition)
        return offer.rows.answer() if offer else RowsAnswer(UNREAD, ())

    async def _on_newer_wanted(
        self, _: PeerId, wanted: NewerRowsWanted
    ) -> NewerRowsAnswer:
        offer = self._offers.get(wanted.partition)
        if offer is None:
            return NewerRowsAnswer(UNREAD, (), changed=False)
        return offer.rows.answer_newer(wanted.after)

    def _partition_status(self, partition: str) -> PartitionStatus | None:
        return (
            self._received.status.partitions.get(partition) if self._received else None
        )

    def _fresh_status(self) -> _ReceivedStatus | None:
        """Return the source's last status, or None if it is too old."""
        now = self._clock.monotonic()
        if self._received is None or now - self._received.at > self.HUB_TIMEOUT_SECONDS:
            return None
        return self._received
