"""Keeps an instance's place between hubs and followers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any, NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import PeerError
from guavajunction.peers import Links, PeerId
from guavajunction.storage import Changes

from . import _events as events
from ._hubs import Candidate, FleetShape, hub_of, hubs
from ._messages import HubStatus, PartitionStatus, RowsAnswer, RowsNotice, RowsWanted
from ._relayed_rows import UNREAD, ReadRows, RelayedRows
from ._roster import KnownMember, Member, Roster


class _ReceivedStatus(NamedTuple):
    """What a hub told last."""

    peer: PeerId
    status: HubStatus
    at: float


class _Offer(NamedTuple):
    """A partition that is handed on."""

    rows: ReadRows
    age: Callable[[], float]


class _Follower(NamedTuple):
    peer: PeerId
    last_seen_at: float


class Relay:
    """Follows a hub, or acts as one for whoever follows this instance."""

    HUB_TIMEOUT_SECONDS = 0.6
    """A hub whose word is older than this is left; four heartbeats."""
    FIRST_STATUS_SECONDS = 1.0
    """How long the first word of a hub may take."""
    AVOID_HUB_SECONDS = 5.0
    """How long a hub that fell silent is not followed again."""
    FOLLOWER_TIMEOUT_SECONDS = 1.0
    """After its last heartbeat, a follower counts as gone."""
    STORE_AGE_SECONDS = 1.3
    """Rows of a hub that the store has not answered for this long may be stale."""
    ROWS_REQUEST_SECONDS = 0.5
    """Longest wait for all rows of a partition."""
    MEMBERS_EVERY_HEARTBEATS = 4
    """Heartbeats between two whole lists of the fleet while it does not change."""
    OTHER_HUBS_EVERY_HEARTBEATS = 2
    """Heartbeats of a follower to each one that goes to hubs of others; its own hub
    gets all."""
    MAX_CACHED_HUB_CHOICES = 16
    """Answers of who is a hub that are kept."""
    SETTLE_SECONDS = 3.0
    """After the start, until an instance that is not known counts as not running."""

    def __init__(
        self, links: Links, roster: Roster, shape: FleetShape, clock: Clock
    ) -> None:
        """Create a relay that follows nobody.

        Args:
            links: Links to the other instances.
            roster: The instances that are heard.
            shape: Bounds of the links.
            clock: Source of time.
        """
        self._links = links
        self._roster = roster
        self._shape = shape
        self._clock = clock
        self._listed: dict[str, Candidate] = {}
        self._cached_hubs: dict[frozenset[str], dict[str, list[str]]] = {}
        self._avoid: dict[str, float] = {}
        self._hub: str | None = None
        self._chosen_at = float("-inf")
        self._settled_at = clock.monotonic() + self.SETTLE_SECONDS
        self._last: _ReceivedStatus | None = None
        self._followers: dict[str, _Follower] = {}
        self._offers: dict[str, _Offer] = {}
        self._relayed_rows: dict[str, RelayedRows] = {}
        self._sent_states: dict[str, tuple[bool, bool]] = {}
        self._heartbeat_count = 0
        self._members: tuple[KnownMember, ...] | None = None
        self.targets: frozenset[str] = frozenset()
        """Names of the instances that heartbeats go to, besides followers."""
        self.must_be_hub: Callable[[], bool] = lambda: False
        """Whether this instance has a duty that only a hub can do."""
        self.on_hub_changed: Callable[[], None] = lambda: None
        """Called when this instance begins to follow another hub, or none, or when the
        hub has restarted."""
        links.handle(RowsNotice, self._on_notice)
        links.handle(RowsWanted, self._on_wanted)

    @property
    def follows(self) -> str:
        """Return the name of the hub that is followed; empty for a hub."""
        return self._hub or ""

    def offer_partition(
        self, partition: str, rows: ReadRows, age: Callable[[], float]
    ) -> None:
        """Offer a partition of the store to followers.

        Args:
            partition: Name of the partition.
            rows: What this instance has read of it.
            age: Returns the seconds since the store last answered for it.
        """
        self._offers[partition] = _Offer(rows, age)
        self._relayed_rows[partition] = RelayedRows()

    def sends_heartbeat_to(self, name: str) -> bool:
        """Return whether the present heartbeat goes to an instance."""
        if name not in self.targets:
            return False
        near = self._hub is None or name == self._hub
        return near or self._heartbeat_count % self.OTHER_HUBS_EVERY_HEARTBEATS == 0

    def publish(self, notice: RowsNotice) -> None:
        """Tell followers what this instance has read."""
        for follower in self.followers():
            self._links.send(follower, notice)

    def set_listed(self, listed: Iterable[Candidate]) -> None:
        """Take the list of all instances, this one included."""
        self._listed = {one.name: one for one in listed}
        self._cached_hubs.clear()
        self._choose_hub_and_targets(self._roster.known())

    def _choose_hub_and_targets(self, known: Collection[KnownMember]) -> None:
        """Choose again whom to follow and whom to send heartbeats to."""
        now = self._clock.monotonic()
        self._drop_silent_hub(now)
        by_data_centre = self._hubs_without(frozenset(self._unfit(known, now)))
        me = self._listed.get(self._links.me.name)
        hub = hub_of(me, by_data_centre) if me else None
        if hub is not None and (self.followers() or self.must_be_hub()):
            hub = None
        if hub != self._hub:
            self._change_hub(hub, now)
        # The best hubs are sent to even while they are not heard: how else would they
        # be found?
        ideal = self._hubs_without(frozenset())
        wanted = {
            name
            for names in (*by_data_centre.values(), *ideal.values())
            for name in names
        }
        wanted.update(one.peer.name for one in known if one.live and one.member.is_hub)
        if self._hub is not None:
            wanted.add(self._hub)
        self.targets = frozenset(wanted - {self._links.me.name})

    def _hubs_without(self, unfit: frozenset[str]) -> dict[str, list[str]]:
        """Return the hubs; the same question comes with every heartbeat."""
        known = self._cached_hubs.get(unfit)
        if known is None:
            if len(self._cached_hubs) >= self.MAX_CACHED_HUB_CHOICES:
                self._cached_hubs.clear()
            known = hubs(self._listed.values(), unfit, self._shape)
            self._cached_hubs[unfit] = known
        return known

    def _drop_silent_hub(self, now: float) -> None:
        if self._hub is None:
            return
        if self._last is not None:
            silent, bound = now - self._last.at, self.HUB_TIMEOUT_SECONDS
        else:
            silent, bound = now - self._chosen_at, self.FIRST_STATUS_SECONDS
        if silent > bound and self._avoid.get(self._hub, 0.0) <= now:
            self._avoid[self._hub] = now + self.AVOID_HUB_SECONDS
            events.HUB_SILENT.log(hub=self._hub, seconds=round(silent, 2))

    def _unfit(self, known: Collection[KnownMember], now: float) -> set[str]:
        unfit = {name for name, until in self._avoid.items() if until > now}
        unfit.update(
            one.peer.name for one in known if not one.live or not one.member.sees_store
        )
        if now > self._settled_at:
            heard = {one.peer.name for one in known}
            unfit |= self._listed.keys() - heard - {self._links.me.name}
        return unfit

    def _change_hub(self, hub: str | None, now: float) -> None:
        events.HUB_CHOSEN.log(hub=hub, before=self._hub, listed=len(self._listed))
        self._hub = hub
        self._chosen_at = now
        self._reset_hub()

    def _reset_hub(self) -> None:
        self._last = None
        for handed in self._relayed_rows.values():
            handed.clear()
        self.on_hub_changed()

    def followers(self) -> list[PeerId]:
        """Return the instances that follow this one."""
        return [
            one.peer for one in self._followers.values() if self._still_follows(one)
        ]

    def has_follower(self, peer: PeerId) -> bool:
        """Return whether an instance follows this one."""
        known = self._followers.get(peer.name)
        return known is not None and known.peer == peer and self._still_follows(known)

    def _still_follows(self, follower: _Follower) -> bool:
        silent = self._clock.monotonic() - follower.last_seen_at
        return silent < self.FOLLOWER_TIMEOUT_SECONDS

    def on_member(self, peer: PeerId, member: Member) -> None:
        """Note whom another instance follows."""
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
        """Choose again, and decide whether this heartbeat tells the whole fleet."""
        known = tuple(self._roster.known())
        self._choose_hub_and_targets(known)
        self._heartbeat_count += 1
        standing = {one.peer.name: (one.live, one.member.ready) for one in known}
        changed = standing != self._sent_states
        self._sent_states = standing
        whole = changed or self._heartbeat_count % self.MEMBERS_EVERY_HEARTBEATS == 0
        self._members = known if whole else None

    def status_for(self, peer: PeerId) -> HubStatus | None:
        """Return what to tell a follower with the next heartbeat, None to others."""
        if not self.has_follower(peer):
            return None
        partitions = {
            partition: PartitionStatus(
                offer.rows.sent_version, offer.rows.version, round(offer.age(), 3)
            )
            for partition, offer in self._offers.items()
        }
        return HubStatus(partitions, self._members)

    def on_hub_status(self, peer: PeerId, word: HubStatus) -> None:
        """Take what the hub that is followed tells."""
        if peer.name != self._hub:
            return
        if self._last is not None and self._last.peer != peer:
            self._reset_hub()
        self._last = _ReceivedStatus(peer, word, self._clock.monotonic())
        if word.members is not None:
            self._roster.on_hub_members(word.members)

    def has_joined(self) -> bool:
        """Return whether it is known who is there, and the hub has been heard."""
        if not self._listed:
            return False
        return self._hub is None or (
            self._last is not None
            and any(
                stand.version != UNREAD
                for stand in self._last.status.partitions.values()
            )
        )

    def hub_peer(self) -> PeerId | None:
        """Return the hub's incarnation, None if there is none or it is silent."""
        word = self._fresh_status()
        return word.peer if word else None

    def broadcast(self, message: Any) -> None:
        """Send a message to every instance, through the hubs."""
        followers = self.followers()
        for peer in followers:
            self._links.send(peer, message)
        for peer in self._roster.peers_matching(lambda member: member.is_hub):
            if peer not in followers:
                self._links.send(peer, message)

    def forward(self, sender: PeerId, message: Any) -> None:
        """Send a message of another hub to this one's followers."""
        if not self.has_follower(sender):
            for peer in self.followers():
                self._links.send(peer, message)

    def fresh(self, partition: str) -> bool:
        """Return whether a hub is followed whose rows are as new as the store's."""
        last = self._fresh_status()
        stand = last.status.partitions.get(partition) if last else None
        if last is None or stand is None or stand.version == UNREAD:
            return False
        age = stand.age + self._clock.monotonic() - last.at
        return age < self.STORE_AGE_SECONDS

    def sent_version(self, partition: str) -> int:
        """Return the version of the rows that the hub told last."""
        stand = self._partition_status(partition)
        return stand.version if stand else UNREAD

    def read_version(self, partition: str) -> int:
        """Return the version up to which the hub has read the store."""
        stand = self._partition_status(partition)
        return stand.read_version if stand else UNREAD

    def take(self, partition: str, after: int) -> Changes | None:
        """Return the changes that follow a version, None if there are none yet."""
        return self._relayed_rows[partition].take(after)

    def has_gap(self, partition: str, after: int) -> bool:
        """Return whether changes that follow a version were not told."""
        return self._relayed_rows[partition].has_gap(after)

    async def request_rows(self, partition: str) -> RowsAnswer | None:
        """Ask the hub for all rows; None if it does not answer."""
        hub = self.hub_peer()
        if hub is None:
            return None
        self._relayed_rows[partition].clear()
        try:
            return await self._links.request(
                hub,
                RowsWanted(partition),
                RowsAnswer,
                timeout=self.ROWS_REQUEST_SECONDS,
            )
        except PeerError as exc:
            events.ROWS_REQUEST_FAILED.log(
                hub=hub.name, partition=partition, reason=exc.message
            )
            return None

    async def _on_notice(self, peer: PeerId, notice: RowsNotice) -> None:
        if peer.name == self._hub and notice.partition in self._relayed_rows:
            self._relayed_rows[notice.partition].add(notice)

    async def _on_wanted(self, _: PeerId, wanted: RowsWanted) -> RowsAnswer:
        offer = self._offers.get(wanted.partition)
        return offer.rows.answer() if offer else RowsAnswer(UNREAD, ())

    def _partition_status(self, partition: str) -> PartitionStatus | None:
        return self._last.status.partitions.get(partition) if self._last else None

    def _fresh_status(self) -> _ReceivedStatus | None:
        """Return the hub's last word unless it is silent."""
        now = self._clock.monotonic()
        if self._last is None or now - self._last.at > self.HUB_TIMEOUT_SECONDS:
            return None
        return self._last
