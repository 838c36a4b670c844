"""Which instances serve, judged by their heartbeats alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import PeerId

from . import _events as events


class Member(NamedTuple):
    """What an instance says of itself in each heartbeat."""

    front: str
    """`host:port` for callers."""
    data_centre: str
    ready: bool
    """Whether callers may be sent there."""
    sees_store: bool
    """Whether the store answered it lately."""
    follows: str = ""
    """Name of the hub that it follows; empty if it is a hub."""

    @property
    def is_hub(self) -> bool:
        """Return whether it hears the fleet by itself."""
        return not self.follows

    @property
    def may_give_orders(self) -> bool:
        """Return whether it sees the store, is not about to stop, and hears the fleet.

        One that is about to stop still sees the store for seconds; the others would
        wait for it to try.
        """
        return self.ready and self.sees_store and self.is_hub


class KnownMember(NamedTuple):
    """An instance that is known to have been serving lately."""

    peer: PeerId
    member: Member
    live: bool
    """Whether it is heard; one that is not may still be serving for a while."""


class _LastHeartbeat(NamedTuple):
    member: Member
    at: float


class Roster:
    """Remembers whom this instance heard, and when.

    Two bounds: an instance silent for `LIVE_SECONDS` is not given to callers; one
    silent for `SERVING_SECONDS` is taken to have stopped serving, so what it may have
    spent of shared limits need not be kept for it any more. Instances that are not
    heard directly are known through a hub.
    """

    LIVE_SECONDS = 1.0
    SERVING_SECONDS = 8.0
    HUB_LIST_SECONDS = 2.0
    """How long a hub's list holds: three of its lists, or one change of hub."""

    def __init__(self, me: PeerId, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self._last_heartbeats: dict[str, tuple[PeerId, _LastHeartbeat]] = {}
        self._live: set[str] = set()
        self._hub_members: dict[str, KnownMember] = {}
        self._hub_members_at = float("-inf")

    def on_hub_members(self, members: Iterable[KnownMember]) -> None:
        """Take a hub's list of the whole fleet."""
        self._hub_members = {
            known.peer.name: known
            for known in members
            if known.peer.name != self._me.name
        }
        self._hub_members_at = self._clock.monotonic()

    def known(self) -> list[KnownMember]:
        """Return the other instances that may be serving, heard or told of."""
        now = self._clock.monotonic()
        merged = (
            dict(self._hub_members)
            if now - self._hub_members_at <= self.HUB_LIST_SECONDS
            else {}
        )
        for name, (peer, heard) in self._last_heartbeats.items():
            live = now - heard.at <= self.LIVE_SECONDS
            if live or name not in merged:
                merged[name] = KnownMember(peer, heard.member, live)
        return list(merged.values())

    def _live_members(self) -> list[KnownMember]:
        return [known for known in self.known() if known.live]

    def hear(self, peer: PeerId, member: Member) -> None:
        """Note a heartbeat."""
        now = self._clock.monotonic()
        self._last_heartbeats[peer.name] = peer, _LastHeartbeat(member, now)
        if peer.name not in self._live:
            self._live.add(peer.name)
            events.MEMBER_LIVE.log(
                instance=peer.name, incarnation=peer.incarnation, front=member.front
            )

    def expire(self) -> None:
        """Forget who has been silent for too long."""
        now = self._clock.monotonic()
        for name, (peer, heard) in list(self._last_heartbeats.items()):
            silent = now - heard.at
            if silent > self.LIVE_SECONDS and name in self._live:
                self._live.discard(name)
                events.MEMBER_SILENT.log(
                    instance=name,
                    incarnation=peer.incarnation,
                    seconds=round(silent, 2),
                )
            if silent > self.SERVING_SECONDS:
                del self._last_heartbeats[name]

    def peers(self) -> list[PeerId]:
        """Return the incarnations that are live, without this one."""
        return sorted(known.peer for known in self._live_members())

    def peers_matching(self, test: Callable[[Member], bool]) -> list[PeerId]:
        """Return the incarnations that are live and say something that fits."""
        return sorted(
            known.peer for known in self._live_members() if test(known.member)
        )

    def members(self) -> list[Member]:
        """Return what the live instances said last, without this one."""
        return [known.member for known in self._live_members()]

    @property
    def serving(self) -> int:
        """Return how many instances may be serving, this one included."""
        return len(self.known()) + 1

    @property
    def live_fraction(self) -> float:
        """Return the part of those instances that are live, this one included."""
        known = self.known()
        return (sum(one.live for one in known) + 1) / (len(known) + 1)
