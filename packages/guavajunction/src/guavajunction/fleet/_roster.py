"""The fleet's live and serving instances, determined by heartbeats alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import PeerId

from . import _events as events


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

    An instance without a heartbeat for `LIVE_SECONDS` is not returned to callers.
    After `SERVING_SECONDS` without one it is assumed to have stopped serving, so its
    part of shared rate limits need not be reserved any more. Instances from which no
    heartbeats arrive directly are known from the hub's list.
    """

    LIVE_SECONDS = 1.0
    SERVING_SECONDS = 8.0
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
        self._cut: set[str] = set()
        self._cut_by_hub: frozenset[str] = frozenset()

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
        self._hub_members = {
            known.peer.name: known
            for known in members
            if known.peer.name != self._me.name
        }
        self._hub_members_at = self._clock.monotonic()

    def known(self) -> list[KnownMember]:
        """Return the other instances that may be serving.

        They are known from heartbeats or from the hub's list.
        """
        now = self._clock.monotonic()
        merged = (
            dict(self._hub_members)
            if now - self._hub_members_at <= self.HUB_LIST_SECONDS
            else {}
        )
        for name, (peer, last) in self._last_heartbeats.items():
            live = now - last.at <= self.LIVE_SECONDS
            if live or name not in merged:
                merged[name] = KnownMember(peer, last.member, live)
        return list(merged.values())

    def _live_members(self) -> list[KnownMember]:
        return [known for known in self.known() if known.live]

    def on_heartbeat(self, peer: PeerId, member: Member) -> None:
        """Store an instance's heartbeat."""
        now = self._clock.monotonic()
        self._last_heartbeats[peer.name] = peer, _LastHeartbeat(member, now)
        if peer.name not in self._live:
            self._live.add(peer.name)
            events.MEMBER_LIVE.log(
                instance=peer.name, incarnation=peer.incarnation, front=member.front
            )

    def expire(self) -> None:
        """Remove instances without a heartbeat for `SERVING_SECONDS`."""
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
            if elapsed > self.SERVING_SECONDS:
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
        return len(self.known()) + 1

    @property
    def live_fraction(self) -> float:
        """Return the live fraction of the instances that may be serving, 0 to 1."""
        known = self.known()
        return (sum(member.live for member in known) + 1) / (len(known) + 1)
