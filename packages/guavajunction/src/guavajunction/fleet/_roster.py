"""Which instances serve, judged by their heartbeats alone."""

from __future__ import annotations

from collections.abc import Callable
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


class _Heard(NamedTuple):
    member: Member
    at: float


class Roster:
    """Remembers whom this instance heard, and when.

    Two bounds: an instance silent for `LIVE_SECONDS` is not given to callers; one
    silent for `SERVING_SECONDS` is taken to have stopped serving, so what it may have
    spent of shared limits need not be kept for it any more.
    """

    LIVE_SECONDS = 1.0
    SERVING_SECONDS = 8.0

    def __init__(self, me: PeerId, clock: Clock) -> None:
        self._me = me
        self._clock = clock
        self._heard: dict[str, tuple[PeerId, _Heard]] = {}
        self._live: set[str] = set()

    def hear(self, peer: PeerId, member: Member) -> None:
        """Note a heartbeat."""
        now = self._clock.monotonic()
        self._heard[peer.name] = peer, _Heard(member, now)
        if peer.name not in self._live:
            self._live.add(peer.name)
            events.MEMBER_HEARD.log(
                instance=peer.name, incarnation=peer.incarnation, front=member.front
            )

    def expire(self) -> None:
        """Forget who has been silent for too long."""
        now = self._clock.monotonic()
        for name, (peer, heard) in list(self._heard.items()):
            silent = now - heard.at
            if silent > self.LIVE_SECONDS and name in self._live:
                self._live.discard(name)
                events.MEMBER_SILENT.log(
                    instance=name,
                    incarnation=peer.incarnation,
                    seconds=round(silent, 2),
                )
            if silent > self.SERVING_SECONDS:
                del self._heard[name]

    def peers(self) -> list[PeerId]:
        """Return the incarnations that are heard, without this one."""
        now = self._clock.monotonic()
        return sorted(
            peer
            for peer, heard in self._heard.values()
            if now - heard.at <= self.LIVE_SECONDS
        )

    def peers_that(self, test: Callable[[Member], bool]) -> list[PeerId]:
        """Return the incarnations that are heard and say something that fits."""
        heard = set(self.peers())
        return sorted(
            peer
            for peer, last in self._heard.values()
            if peer in heard and test(last.member)
        )

    def members(self) -> list[Member]:
        """Return what the heard instances said last, without this one."""
        now = self._clock.monotonic()
        return [
            heard.member
            for _, heard in self._heard.values()
            if now - heard.at <= self.LIVE_SECONDS
        ]

    @property
    def serving(self) -> int:
        """Return how many instances may be serving, this one included."""
        return len(self._heard) + 1

    @property
    def heard_part(self) -> float:
        """Return the part of those instances that are heard, this one included."""
        return (len(self.peers()) + 1) / self.serving
