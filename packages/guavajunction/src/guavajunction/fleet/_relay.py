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
from ._messages import HubWord, RowsAnswer, RowsNotice, RowsStand, RowsWanted
from ._relayed_rows import UNREAD, HandedRows, ReadRows
from ._roster import KnownMember, Member, Roster


class _Word(NamedTuple):
    """What a hub told last."""

    peer: PeerId
    word: HubWord
    at: float


class _Offer(NamedTuple):
    """A partition that is handed on."""

    rows: ReadRows
    age: Callable[[], float]


class _Follower(NamedTuple):
    peer: PeerId
    heard_at: float


class Relay:
    """Follows a hub, or acts as one for whoever follows this instance."""

    SILENT_SECONDS = 0.6
    """A hub whose word is older than this is left; four heartbeats."""
    FIRST_WORD_SECONDS = 1.0
    """How long the first word of a hub may take."""
    AVOID_SECONDS = 5.0
    """How long a hub that fell silent is not followed again."""
    FOLLOWED_SECONDS = 1.0
    """After its last heartbeat, a follower counts as gone."""
    STORE_AGE_SECONDS = 1.3
    """Rows of a hub that the store has not answered for this long may be stale."""
    ASK_SECONDS = 0.5
    """Longest wait for all rows of a partition."""
    MEMBERS_EVERY = 4
    """Heartbeats between two whole lists of the fleet while it does not change."""
    FAR_EVERY = 2
    """Heartbeats of a follower to each one that goes to hubs of others; its own hub
    gets all."""
    REMEMBERED = 16
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
        self._known_hubs: dict[frozenset[str], dict[str, list[str]]] = {}
        self._avoid: dict[str, float] = {}
        self._hub: str | None = None
        self._chosen_at = float("-inf")
        self._settled_at = clock.monotonic() + self.SETTLE_SECONDS
        self._last: _Word | None = None
        self._followers: dict[str, _Follower] = {}
        self._offers: dict[str, _Offer] = {}
        self._handed: dict[str, HandedRows] = {}
        self._told: dict[str, tuple[bool, bool]] = {}
        self._beats = 0
        self._members: tuple[KnownMember, ...] | None = None
        self.targets: frozenset[str] = frozenset()
        """Names of the instances that heartbeats go to, besides followers."""
        self.must_lead: Callable[[], bool] = lambda: False
        """Whether this instance has a duty that only a hub can do."""
        self.on_moved: Callable[[], None] = lambda: None
        """Called when this instance begins to follow another hub, or none, or when the
        hub has restarted."""
        links.handle(RowsNotice, self._on_notice)
        links.handle(RowsWanted, self._on_wanted)

    @property
    def follows(self) -> str:
        """Return the name of the hub that is followed; empty for a hub."""
        return self._hub or ""

    def hand_on(self, partition: str, rows: ReadRows, age: Callable[[], float]) -> None:
        """Offer a partition of the store to followers.

        Args:
            partition: Name of the partition.
            rows: What this instance has read of it.
            age: Returns the seconds since the store last answered for it.
        """
        self._offers[partition] = _Offer(rows, age)
        self._handed[partition] = HandedRows()

    def beats_to(self, name: str) -> bool:
        """Return whether the present heartbeat goes to an instance."""
        if name not in self.targets:
            return False
        near = self._hub is None or name == self._hub
        return near or self._beats % self.FAR_EVERY == 0

    def publish(self, notice: RowsNotice) -> None:
        """Tell followers what this instance has read."""
        for follower in self.followers():
            self._links.tell(follower, notice)

    def set_listed(self, listed: Iterable[Candidate]) -> None:
        """Take the list of all instances, this one included."""
        self._listed = {one.name: one for one in listed}
        self._known_hubs.clear()
        self._review(self._roster.known())

    def _review(self, known: Collection[KnownMember]) -> None:
        """Choose again whom to follow and whom to send heartbeats to."""
        now = self._clock.monotonic()
        self._drop_silent_hub(now)
        by_place = self._hubs_without(frozenset(self._unfit(known, now)))
        me = self._listed.get(self._links.me.name)
        hub = hub_of(me, by_place) if me else None
        if hub is not None and (self.followers() or self.must_lead()):
            hub = None
        if hub != self._hub:
            self._move(hub, now)
        # The best hubs are sent to even while they are not heard: how else would they
        # be found?
        ideal = self._hubs_without(frozenset())
        wanted = {
            name for names in (*by_place.values(), *ideal.values()) for name in names
        }
        wanted.update(one.peer.name for one in known if one.live and one.member.is_hub)
        if self._hub is not None:
            wanted.add(self._hub)
        self.targets = frozenset(wanted - {self._links.me.name})

    def _hubs_without(self, unfit: frozenset[str]) -> dict[str, list[str]]:
        """Return the hubs; the same question comes with every heartbeat."""
        known = self._known_hubs.get(unfit)
        if known is None:
            if len(self._known_hubs) >= self.REMEMBERED:
                self._known_hubs.clear()
            known = hubs(self._listed.values(), unfit, self._shape)
            self._known_hubs[unfit] = known
        return known

    def _drop_silent_hub(self, now: float) -> None:
        if self._hub is None:
            return
        if self._last is not None:
            silent, bound = now - self._last.at, self.SILENT_SECONDS
        else:
            silent, bound = now - self._chosen_at, self.FIRST_WORD_SECONDS
        if silent > bound and self._avoid.get(self._hub, 0.0) <= now:
            self._avoid[self._hub] = now + self.AVOID_SECONDS
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

    def _move(self, hub: str | None, now: float) -> None:
        events.HUB_CHOSEN.log(hub=hub, before=self._hub, listed=len(self._listed))
        self._hub = hub
        self._chosen_at = now
        self._forget_hub()

    def _forget_hub(self) -> None:
        self._last = None
        for handed in self._handed.values():
            handed.clear()
        self.on_moved()

    def followers(self) -> list[PeerId]:
        """Return the instances that follow this one."""
        return [one.peer for one in self._followers.values() if self._follows_yet(one)]

    def leads(self, peer: PeerId) -> bool:
        """Return whether an instance follows this one."""
        known = self._followers.get(peer.name)
        return known is not None and known.peer == peer and self._follows_yet(known)

    def _follows_yet(self, follower: _Follower) -> bool:
        silent = self._clock.monotonic() - follower.heard_at
        return silent < self.FOLLOWED_SECONDS

    def on_member(self, peer: PeerId, member: Member) -> None:
        """Note whom another instance follows."""
        if member.follows == self._links.me.name:
            known = self._followers.get(peer.name)
            self._followers[peer.name] = _Follower(peer, self._clock.monotonic())
            if known is None or known.peer != peer:
                events.FOLLOWED.log(instance=peer.name, incarnation=peer.incarnation)
                self._told = {}
        else:
            self._followers.pop(peer.name, None)

    def begin_beat(self) -> None:
        """Choose again, and decide whether this heartbeat tells the whole fleet."""
        known = tuple(self._roster.known())
        self._review(known)
        self._beats += 1
        standing = {one.peer.name: (one.live, one.member.ready) for one in known}
        changed = standing != self._told
        self._told = standing
        whole = changed or self._beats % self.MEMBERS_EVERY == 0
        self._members = known if whole else None

    def word_for(self, peer: PeerId) -> HubWord | None:
        """Return what to tell a follower with the next heartbeat, None to others."""
        if not self.leads(peer):
            return None
        stands = {
            partition: RowsStand(
                offer.rows.told_version, offer.rows.version, round(offer.age(), 3)
            )
            for partition, offer in self._offers.items()
        }
        return HubWord(stands, self._members)

    def hear_word(self, peer: PeerId, word: HubWord) -> None:
        """Take what the hub that is followed tells."""
        if peer.name != self._hub:
            return
        if self._last is not None and self._last.peer != peer:
            self._forget_hub()
        self._last = _Word(peer, word, self._clock.monotonic())
        if word.members is not None:
            self._roster.hear_told(word.members)

    def placed(self) -> bool:
        """Return whether it is known who is there, and the hub has been heard."""
        if not self._listed:
            return False
        return self._hub is None or (
            self._last is not None
            and any(
                stand.version != UNREAD for stand in self._last.word.stands.values()
            )
        )

    def hub_peer(self) -> PeerId | None:
        """Return the hub's incarnation, None if there is none or it is silent."""
        word = self._fresh_word()
        return word.peer if word else None

    def tell_all(self, message: Any) -> None:
        """Send a message to every instance, through the hubs."""
        followers = self.followers()
        for peer in followers:
            self._links.tell(peer, message)
        for peer in self._roster.peers_that(lambda member: member.is_hub):
            if peer not in followers:
                self._links.tell(peer, message)

    def pass_on(self, sender: PeerId, message: Any) -> None:
        """Send a message of another hub to this one's followers."""
        if not self.leads(sender):
            for peer in self.followers():
                self._links.tell(peer, message)

    def fresh(self, partition: str) -> bool:
        """Return whether a hub is followed whose rows are as new as the store's."""
        last = self._fresh_word()
        stand = last.word.stands.get(partition) if last else None
        if last is None or stand is None or stand.version == UNREAD:
            return False
        age = stand.age + self._clock.monotonic() - last.at
        return age < self.STORE_AGE_SECONDS

    def told_version(self, partition: str) -> int:
        """Return the version of the rows that the hub told last."""
        stand = self._stand(partition)
        return stand.version if stand else UNREAD

    def read_version(self, partition: str) -> int:
        """Return the version up to which the hub has read the store."""
        stand = self._stand(partition)
        return stand.read_version if stand else UNREAD

    def take(self, partition: str, after: int) -> Changes | None:
        """Return the changes that follow a version, None if there are none yet."""
        return self._handed[partition].take(after)

    def misses(self, partition: str, after: int) -> bool:
        """Return whether changes that follow a version were not told."""
        return self._handed[partition].misses(after)

    async def ask_rows(self, partition: str) -> RowsAnswer | None:
        """Ask the hub for all rows; None if it does not answer."""
        hub = self.hub_peer()
        if hub is None:
            return None
        self._handed[partition].clear()
        try:
            return await self._links.ask(
                hub, RowsWanted(partition), RowsAnswer, timeout=self.ASK_SECONDS
            )
        except PeerError as exc:
            events.ROWS_NOT_HAD.log(
                hub=hub.name, partition=partition, reason=exc.message
            )
            return None

    async def _on_notice(self, peer: PeerId, notice: RowsNotice) -> None:
        if peer.name == self._hub and notice.partition in self._handed:
            self._handed[notice.partition].add(notice)

    async def _on_wanted(self, _: PeerId, wanted: RowsWanted) -> RowsAnswer:
        offer = self._offers.get(wanted.partition)
        return offer.rows.answer() if offer else RowsAnswer(UNREAD, ())

    def _stand(self, partition: str) -> RowsStand | None:
        return self._last.word.stands.get(partition) if self._last else None

    def _fresh_word(self) -> _Word | None:
        """Return the hub's last word unless it is silent."""
        now = self._clock.monotonic()
        if self._last is None or now - self._last.at > self.SILENT_SECONDS:
            return None
        return self._last
