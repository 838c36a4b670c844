"""The fleet's live and serving instances, determined by heartbeats alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import PeerId

from . import _events as events
from ._silent_instances import FleetView, SilentInstance, SilentInstances


class Member(NamedTuple):
    """Status of an instance that it sends with each heartbeat."""

    front: str
    """Address for callers, `host:port`."""
    data_centre: str
    ready: bool
    """Whether callers may be directed to the instance."""
    sees_store: bool
    """Whether the store answered the instance recently."""
    follows: str = ""
    """Name of the followed hub; empty if the instance is a hub."""
    configuration: int = 0
    """Version of the active configuration, 0 before the first one."""
    rows_from: str = ""
    """Name of the instance that relays the store's rows to it; empty if it reads the
    store itself."""

    @property
    def is_hub(self) -> bool:
        """Return whether the instance is a hub."""
        return not self.follows

    @property
    def may_give_orders(self) -> bool:
        """Return whether the instance may become the order leader.

        The leader must be a hub, be ready and reach the store. An instance that is
        stopping still reaches the store for some seconds, and the other candidates
        would wait for it to acquire the lease.
        """
        return self.ready and self.sees_store and self.is_hub


class KnownMember(NamedTuple):
    """An instance that served recently."""

    peer: PeerId
    member: Member
    live: bool
    """Whether its heartbeats arrive. An instance without heartbeats may still be
    serving for some time."""


class _LastHeartbeat(NamedTuple):
    member: Member
    at: float


class Roster:
    """Stores the last heartbeat of each instance.

    An instance without a heartbeat for `LIVE_SECONDS` is not returned to callers. It
    may still be serving, so its part of shared rate limits stays reserved, until its
    row in the store shows that it has ended. Instances from which no heartbeats arrive
    directly are known from the hub's list, and from the list in the store.
    """

    LIVE_SECONDS = 1.0
    HUB_LIST_SECONDS = 2.0
    """How long a hub's list is valid: the time of three lists, or of one change of
    hub."""

    def __init__(self, me: PeerId, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self._last_heartbeats: dict[str, tuple[PeerId, _LastHeartbeat]] = {}
        self._live: set[str] = set()
        self._hub_members: dict[str, KnownMember] = {}
        self._hub_members_at = float("-inf")
        self._is_heard_by_hub = False
        self._cut: set[str] = set()
        self._cut_by_hub: frozenset[str] = frozenset()
        self._listed: dict[str, PeerId] = {}
        self._listed_at: dict[str, float] = {}
        self._silent = SilentInstances()

    def on_cut(self, peer: PeerId, is_cut: bool) -> None:
        """Store whether an instance reaches no backend server, from its heartbeat."""
        if is_cut:
            self._cut.add(peer.name)
        else:
            self._cut.discard(peer.name)

    def on_hub_cut(self, names: Iterable[str]) -> None:
        """Store a hub's list of the instances that reach no backend server."""
        self._cut_by_hub = frozenset(names)

    def cut(self) -> frozenset[str]:
        """Return the names of the live instances that reach no backend server."""
        if not self._cut and not self._cut_by_hub:
            return frozenset()
        live = {known.peer.name for known in self._live_members()}
        return live & (self._cut | self._cut_by_hub)

    def reaching(self) -> list[tuple[str, Member]]:
        """Return the other live instances that reach backend servers, by name."""
        cut = self.cut()
        return [
            (known.peer.name, known.member)
            for known in self._live_members()
            if known.peer.name not in cut
        ]

    def on_hub_members(self, members: Iterable[KnownMember]) -> None:
        """Store a hub's list of all instances."""
        self._hub_members = {known.peer.name: known for known in members}
        own = self._hub_members.pop(self._me.name, None)
        self._is_heard_by_hub = own is not None and own.live
        self._hub_members_at = self._clock.monotonic()

    def on_rows(self, versions: Mapping[PeerId, int], began_at: float) -> None:
        """Take the list of instances that was read from the store.

        Args:
            versions: Version of each instance's row.
            began_at: When the read began, on the monotonic clock.
        """
        now = self._clock.monotonic()
        others = [peer for peer in versions if peer.name != self._me.name]
        self._listed = {peer.name: peer for peer in others}
        self._listed_at = {
            name: self._listed_at.get(name, began_at) for name in self._listed
        }
        self._silent.note_rows(
            {peer.name: version for peer, version in versions.items()}, began_at, now
        )
        view = self._view()
        for name in self._silent.judge(view):
            self._hub_members.pop(name, None)
            events.MEMBER_ENDED.log(
                instance=name, seconds=round(now - view.silent[name].heard_at, 2)
            )
        self.expire()

    def must_read_rows(self) -> bool:
        """Return whether the list in the store must be read again now."""
        return self._silent.must_read(self._view(), self._clock.monotonic())

    def must_renew_row(self) -> bool:
        """Return whether this instance must renew its row in the store now."""
        if self._is_counted_by_hub():
            return False
        return self._silent.must_renew(self._view(), self._clock.monotonic())

    def note_renewal(self) -> None:
        """Record that a renewal of this instance's row begins."""
        self._silent.note_attempt(self._clock.monotonic())

    def note_renewed(self, began_at: float) -> None:
        """Record that the store has confirmed a renewal that began at a time."""
        self._silent.note_renewed(began_at, self._clock.monotonic())

    def known(self) -> list[KnownMember]:
        """Return the other instances that were heard and may be serving.

        They are known from heartbeats or from the hub's list.
        """
        now = self._clock.monotonic()
        if not self._has_hub_list():
            self._outdate_hub_members()
        merged = dict(self._hub_members)
        for name, (peer, last) in self._last_heartbeats.items():
            live = now - last.at <= self.LIVE_SECONDS
            if live or name not in merged:
                merged[name] = KnownMember(peer, last.member, live)
        return list(merged.values())

    def may_be_serving(self) -> list[KnownMember]:
        """Return the known instances, and those that are only listed in the store.

        An instance that starts while it is cut off has heard none of the others.
        """
        known = self.known()
        if self._has_hub_list():
            return known
        names = {one.peer.name for one in known}
        listed = [
            KnownMember(peer, Member("", "", ready=False, sees_store=False), live=False)
            for name, peer in self._listed.items()
            if name not in names and not self._silent.has_ended(name)
        ]
        return known + listed

    def _outdate_hub_members(self) -> None:
        """Note once that the last list of a hub does not show who is live any more."""
        if any(known.live for known in self._hub_members.values()):
            self._hub_members = {
                name: known._replace(live=False)
                for name, known in self._hub_members.items()
            }

    def _is_counted_by_hub(self) -> bool:
        """Return whether a hub hears this instance, and decides for it who serves."""
        return self._has_hub_list() and self._is_heard_by_hub

    def _has_hub_list(self) -> bool:
        now = self._clock.monotonic()
        return now - self._hub_members_at <= self.HUB_LIST_SECONDS

    def _view(self) -> FleetView:
        members = self.may_be_serving()
        heard = {known.peer.name for known in members if known.live}
        if self._has_hub_list() and not self._is_heard_by_hub:
            # This instance is in no list of those that the hub hears.
            heard = set()
        near = {self._me.name, *heard}
        silent = {
            known.peer.name: SilentInstance(
                self._heard_at(known.peer.name),
                "" if known.member.follows in near else known.member.follows,
            )
            for known in members
            if known.peer.name not in heard
        }
        return FleetView(self._me.name, heard, silent)

    def _heard_at(self, name: str) -> float:
        """Return when an instance was last heard, or else when it was first listed."""
        if name in self._last_heartbeats:
            return self._last_heartbeats[name][1].at
        if name in self._hub_members:
            return self._hub_members_at
        return self._listed_at[name]

    def _live_members(self) -> list[KnownMember]:
        return [known for known in self.known() if known.live]

    def on_heartbeat(self, peer: PeerId, member: Member) -> None:
        """Store an instance's heartbeat."""
        now = self._clock.monotonic()
        self._last_heartbeats[peer.name] = peer, _LastHeartbeat(member, now)
        self._silent.note_heard(peer.name)
        if peer.name not in self._live:
            self._live.add(peer.name)
            events.MEMBER_LIVE.log(
                instance=peer.name, incarnation=peer.incarnation, front=member.front
            )

    def expire(self) -> None:
        """Note the instances that are silent, and remove those that have ended."""
        now = self._clock.monotonic()
        for name, (peer, last) in list(self._last_heartbeats.items()):
            elapsed = now - last.at
            if elapsed > self.LIVE_SECONDS and name in self._live:
                self._live.discard(name)
                events.MEMBER_SILENT.log(
                    instance=name,
                    incarnation=peer.incarnation,
                    seconds=round(elapsed, 2),
                )
            if self._silent.has_ended(name):
                del self._last_heartbeats[name]
                self._cut.discard(name)

    def peers(self) -> list[PeerId]:
        """Return the other live incarnations."""
        return sorted(known.peer for known in self._live_members())

    def peers_matching(self, test: Callable[[Member], bool]) -> list[PeerId]:
        """Return the other live incarnations whose status passes a test."""
        return sorted(
            known.peer for known in self._live_members() if test(known.member)
        )

    def members(self) -> list[Member]:
        """Return the last status of each other live instance."""
        return [known.member for known in self._live_members()]

    @property
    def serving(self) -> int:
        """Return the number of instances that may be serving, including this one."""
        return len(self.may_be_serving()) + 1

    @property
    def live_fraction(self) -> float:
        """Return the fraction of the serving instances that is live, 0 to 1."""
        return self._live_fraction(self._view())

    @property
    def share(self) -> float:
        """Return the part of shared rate limits that the live instances may use.

        It is 0 while others may have taken this instance to have ended.
        """
        view = self._view()
        now = self._clock.monotonic()
        if self._is_counted_by_hub() or self._silent.may_use_part(view, now):
            return self._live_fraction(view)
        return 0.0

    @staticmethod
    def _live_fraction(view: FleetView) -> float:
        live = len(view.heard) + 1
        return live / (live + len(view.silent))
