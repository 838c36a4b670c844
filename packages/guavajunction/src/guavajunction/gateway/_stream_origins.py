"""Which software version began each stream that a caller may resume.

Events of two software versions do not fit together, and backend servers do not check
this. A caller may resume a stream at any instance, also after the instance and the
backend server that began it are gone.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from guavajunction.clock import Clock


class StreamOrigin(NamedTuple):
    """The service and the software version that began a stream."""

    service: str
    software_version: str


class StreamBegan(NamedTuple):
    """Announces to other instances that a stream has begun."""

    stream: str
    """Request id of the caller's attempt that receives the first event."""
    origin: StreamOrigin


class _KnownStream(NamedTuple):
    origin: StreamOrigin
    known_since: float
    own: bool


StreamLookUp = Callable[[str, str | None], Awaitable[StreamOrigin | None]]
"""Called with a stream and with its service, if that is certain."""


async def _ask_nobody(_: str) -> StreamOrigin | None:
    return None


async def _look_nowhere(_: str, __: str | None) -> StreamOrigin | None:
    return None


class StreamOrigins:
    """The origins of recent streams, and of those that other instances know."""

    KEEP_SECONDS = 120.0
    """How long an origin is kept. Callers resume a stream before the deadline of its
    first attempt; the longest timeout of a route is 25 s."""
    MAX_STREAMS = 50_000
    """Maximum number of origins kept: 400 new streams a second for `KEEP_SECONDS`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, _KnownStream] = {}
        self.announce: Callable[[StreamBegan], None] = lambda _: None
        """Called for each stream that begins on this instance."""
        self.ask_peers: Callable[[str], Awaitable[StreamOrigin | None]] = _ask_nobody
        """Returns the origin of a stream that another instance knows, or None."""
        self.look_up: StreamLookUp = _look_nowhere
        """Returns the origin of a stream that no instance knows, if it is stored."""

    def __len__(self) -> int:
        return len(self._known)

    def begin(self, stream: str, origin: StreamOrigin) -> None:
        """Record a stream on this instance, before its first event is relayed."""
        began = StreamBegan(stream, origin)
        self._add(began, own=True)
        self.announce(began)

    def note(self, began: StreamBegan) -> None:
        """Record a stream that has begun on another instance."""
        self._add(began, own=False)

    def own(self) -> list[StreamBegan]:
        """Return the streams that have begun on this instance, the oldest first."""
        return [
            StreamBegan(stream, known.origin)
            for stream, known in self._known.items()
            if known.own
        ]

    def known_since(self, since: float) -> list[StreamBegan]:
        """Return the streams learned of after a monotonic time, the oldest first."""
        newest = itertools.takewhile(
            lambda item: item[1].known_since > since, reversed(self._known.items())
        )
        return [StreamBegan(stream, known.origin) for stream, known in newest][::-1]

    def get(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream if this instance knows it."""
        known = self._known.get(stream)
        return known.origin if known else None

    async def find(
        self, stream: str, service: str | None = None
    ) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known.

        Other instances are asked only if this one does not know the stream, and what
        is stored is read only if none of them does.

        Args:
            stream: Request id of the attempt that received its first event.
            service: The service that must have begun it; None if it may be several.
        """
        origin = self.get(stream)
        if origin is None:
            origin = await self.ask_peers(stream)
            if origin is None:
                origin = await self.look_up(stream, service)
            if origin is not None:
                self.note(StreamBegan(stream, origin))
        return origin

    def _add(self, began: StreamBegan, *, own: bool) -> None:
        self._remove_old()
        known = _KnownStream(began.origin, self._clock.monotonic(), own)
        # The first report stands: a stream never changes its origin.
        self._known.setdefault(began.stream, known)

    def _remove_old(self) -> None:
        oldest = self._clock.monotonic() - self.KEEP_SECONDS
        while self._known:
            stream, known = next(iter(self._known.items()))
            if known.known_since > oldest and len(self._known) < self.MAX_STREAMS:
                return
            del self._known[stream]
