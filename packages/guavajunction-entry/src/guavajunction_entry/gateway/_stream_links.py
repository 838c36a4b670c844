"""Shares the origins of streams between the instances of a fleet.

A caller may resume a stream at any instance, and the one that began it may be gone. So
each stream is reported to all hubs before its first event is relayed. An instance that
does not know a stream asks. In a fleet without followers, every instance is a hub.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import PeerError
from guavajunction.fleet import Relay, Roster
from guavajunction.gateway import StreamBegan, StreamOrigin, StreamOrigins
from guavajunction.peers import Links, PeerId

from . import _events as events


class StreamsBegan(NamedTuple):
    """Reports streams to a hub, or from a hub to the holders of copies."""

    streams: tuple[StreamBegan, ...]


class StreamWanted(NamedTuple):
    """Asks for the origin of a stream."""

    stream: str
    forwarded: bool = False
    """Whether a hub has forwarded this question; it is forwarded only once."""


class StreamFound(NamedTuple):
    """Answers `StreamWanted`."""

    origin: StreamOrigin | None
    certain: bool = True
    """Whether every instance that might know the stream has answered."""


NO_ANSWER = StreamFound(None, certain=False)


class StreamLinks:
    """Reports streams to all hubs, and asks for streams of other instances.

    A follower is linked only to its own hub, which passes reports and questions on to
    the other hubs. So the cost of a stream grows with the number of hubs, not with the
    number of instances.
    """

    ANSWER_SECONDS = 0.3
    """Timeout of a question to one instance."""
    FORWARDED_ANSWER_SECONDS = 0.7
    """Timeout of a question that a hub may forward."""
    PATIENCE_SECONDS = 1.0
    """How long an instance asks again for a stream if not everyone has answered."""
    RETRY_SECONDS = 0.05
    """Pause before it asks again."""
    SETTLE_SECONDS = 3.0
    """Time after the start until an instance hears all those that it may ask."""
    MIN_COPIES = 3
    """Number of other instances that know each stream, if the fleet has as many. If
    there are fewer hubs, some followers hold copies as well."""
    MAX_ASKED = 8
    """Maximum number of instances that are asked at once."""
    MAX_REPORTED = 1_000
    """Maximum number of streams reported to a newly followed hub, the newest ones."""

    def __init__(
        self,
        links: Links,
        relay: Relay,
        roster: Roster,
        origins: StreamOrigins,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._settled_at = clock.monotonic() + self.SETTLE_SECONDS
        self._links = links
        self._relay = relay
        self._roster = roster
        self._origins = origins
        self._reported_to: PeerId | None = None
        origins.announce = self._announce
        origins.ask_peers = self._ask
        links.handle(StreamsBegan, self._on_began)
        links.handle(StreamWanted, self._on_wanted)

    def on_heartbeat(self) -> None:
        """Report this instance's streams again if it follows a different hub.

        The previous hub may have ended before it passed the last reports on.
        """
        hub = self._relay.hub_peer()
        if hub == self._reported_to:
            return
        self._reported_to = hub
        streams = self._origins.own()[-self.MAX_REPORTED :]
        if streams and (hub is not None or not self._relay.follows):
            self._send(StreamsBegan(tuple(streams)))

    def _announce(self, began: StreamBegan) -> None:
        self._send(StreamsBegan((began,)))

    def _send(self, report: StreamsBegan) -> None:
        hub = self._relay.hub_peer()
        if hub is not None:
            self._links.send(hub, report)
        elif not self._relay.follows:
            self._links.send_to_each(self._copies(), report)

    def _copies(self) -> list[PeerId]:
        """Return the instances that know the streams which this hub knows."""
        hubs = self._roster.peers_matching(lambda member: member.is_hub)
        missing = max(0, self.MIN_COPIES - len(hubs))
        return hubs + sorted(self._relay.followers())[:missing]

    async def _ask(self, stream: str) -> StreamOrigin | None:
        """Ask until a stream is found, or everyone has answered.

        An instance that has just started may not hear the others yet, and a question
        may get lost. Neither means that the stream is unknown.
        """
        ends_at = self._clock.monotonic() + self.PATIENCE_SECONDS
        while True:
            found = await self._ask_once(stream)
            if found.origin is not None:
                return found.origin
            if found.certain or self._clock.monotonic() >= ends_at:
                break
            await self._clock.sleep(self.RETRY_SECONDS)
        events.STREAM_UNKNOWN.log(
            stream=stream, hub=self._relay.follows or None, certain=found.certain
        )
        return None

    async def _ask_once(self, stream: str) -> StreamFound:
        if not self._relay.follows:
            return await self._ask_copies(stream)
        hub = self._relay.hub_peer()
        if hub is None:
            return NO_ANSWER
        wanted = StreamWanted(stream)
        return await self._ask_peer(hub, wanted, self.FORWARDED_ANSWER_SECONDS)

    async def _ask_copies(self, stream: str) -> StreamFound:
        """Ask several instances at once; return the first origin that one knows."""
        wanted = StreamWanted(stream, forwarded=True)
        questions = [
            asyncio.ensure_future(self._ask_peer(peer, wanted, self.ANSWER_SECONDS))
            for peer in self._copies()[: self.MAX_ASKED]
        ]
        certain = self._clock.monotonic() >= self._settled_at
        try:
            for answer in asyncio.as_completed(questions):
                found = await answer
                if found.origin is not None:
                    return found
                certain = certain and found.certain
            return StreamFound(None, certain)
        finally:
            for question in questions:
                question.cancel()

    async def _ask_peer(
        self, peer: PeerId, wanted: StreamWanted, timeout: float
    ) -> StreamFound:
        try:
            return await self._links.request(peer, wanted, StreamFound, timeout=timeout)
        except PeerError as exc:
            events.STREAM_QUESTION_FAILED.log(
                stream=wanted.stream, instance=peer.name, reason=exc.message
            )
            return NO_ANSWER

    async def _on_began(self, peer: PeerId, report: StreamsBegan) -> None:
        for began in report.streams:
            self._origins.note(began)
        if self._relay.has_follower(peer):
            copies = [copy for copy in self._copies() if copy != peer]
            self._links.send_to_each(copies, report)

    async def _on_wanted(self, _: PeerId, wanted: StreamWanted) -> StreamFound:
        origin = self._origins.get(wanted.stream)
        if origin is None and not wanted.forwarded:
            return await self._ask_copies(wanted.stream)
        return StreamFound(origin)
