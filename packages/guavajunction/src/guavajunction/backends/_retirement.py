"""Drains an artifact on an engine before it is unloaded."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from guavajunction.clock import Clock
from guavajunction.errors import PeerError
from guavajunction.peers import Links, PeerId

from ._events import ARTIFACT_RETIRING
from ._messages import RetireAnswer, RetireAsk


class Retirement:
    """Marks artifacts on engines as draining, so that they get no new requests.

    The planner sets the mark in every instance. A mark expires unless it is renewed,
    so that the replica gets requests again if the planner stops during the drain.
    """

    MARK_SECONDS = 8.0
    """Lifetime of a mark after it was last set or renewed."""
    REQUEST_TIMEOUT_SECONDS = 1.0

    def __init__(
        self, links: Links, in_flight: Callable[[str, str], int], clock: Clock
    ) -> None:
        """Register the message handler.

        Args:
            links: Links to the other instances.
            in_flight: Returns this instance's running requests for a backend server
                and an artifact.
            clock: Time source.
        """
        self._links = links
        self._in_flight = in_flight
        self._clock = clock
        self._marked_until: dict[tuple[str, str], float] = {}
        links.handle(RetireAsk, self._on_retire_ask)

    def is_marked(self, backend: str, artifact: str) -> bool:
        """Return whether an artifact is marked as draining on a backend server."""
        until = self._marked_until.get((backend, artifact))
        return until is not None and until > self._clock.monotonic()

    def marks(self) -> list[tuple[str, str]]:
        """Return the backend server and artifact of each mark that has not expired."""
        now = self._clock.monotonic()
        self._marked_until = {
            key: until for key, until in self._marked_until.items() if until > now
        }
        return list(self._marked_until)

    def mark(self, backend: str, artifact: str, seconds: float) -> int:
        """Set or renew a mark in this instance only.

        Args:
            backend: The backend server.
            artifact: The artifact to drain.
            seconds: Lifetime of the mark.

        Returns:
            Number of this instance's requests for the artifact that still run.
        """
        if not self.is_marked(backend, artifact):
            ARTIFACT_RETIRING.log(backend=backend, artifact=artifact)
        self._marked_until[backend, artifact] = self._clock.monotonic() + seconds
        return self._in_flight(backend, artifact)

    def release(self, backend: str, artifact: str) -> None:
        """Remove a mark in this instance; the marks in the peers expire."""
        self._marked_until.pop((backend, artifact), None)

    async def mark_and_check_drained(self, backend: str, artifact: str) -> bool:
        """Mark an artifact in every instance and check whether its requests have ended.

        Returns:
            True if every instance has set the mark and has no request in flight.
        """
        own = self.mark(backend, artifact, self.MARK_SECONDS)
        request = RetireAsk(backend, artifact, self.MARK_SECONDS)
        peers = self._links.peers()
        counts = await asyncio.gather(
            *(self._request_mark(peer, request) for peer in peers)
        )
        return own == 0 and all(count == 0 for count in counts)

    async def _request_mark(self, peer: PeerId, request: RetireAsk) -> int | None:
        try:
            answer = await self._links.request(
                peer, request, RetireAnswer, timeout=self.REQUEST_TIMEOUT_SECONDS
            )
        except PeerError:
            return None
        return answer.in_flight

    async def _on_retire_ask(self, sender: PeerId, request: RetireAsk) -> RetireAnswer:
        return RetireAnswer(
            self.mark(request.backend, request.artifact, request.seconds)
        )
