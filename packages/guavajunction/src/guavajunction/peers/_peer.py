"""State of one incarnation of a peer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ._envelope import Envelope
from ._protocols import PeerId


class Peer:
    """Records the heartbeats of an incarnation and handles its messages.

    Messages without a reply are handled in order; requests are handled concurrently.
    """

    MAX_INBOX_MESSAGES = 1024
    MAX_CONCURRENT_REQUESTS = 256

    def __init__(
        self,
        peer_id: PeerId,
        address: str,
        dispatch: Callable[[Envelope], Awaitable[None]],
    ) -> None:
        self.peer_id = peer_id
        self.address = address
        """Address that the peer's router listens on, `host:port`."""
        self.last_seen_at = float("-inf")
        """When its latest heartbeat was received, on the monotonic clock."""
        self.echoed_at = float("-inf")
        """When this instance sent the heartbeat that the peer echoed last."""
        self.sequence = 0
        """Sequence number of its latest heartbeat."""
        self.received_bytes = 0
        """Payload bytes received from it."""
        self.received_messages = 0
        """Messages received from it."""
        self.dropped = 0
        """Messages and requests dropped because too many were pending."""
        self._dispatch = dispatch
        self._inbox: asyncio.Queue[Envelope] = asyncio.Queue(self.MAX_INBOX_MESSAGES)
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run(), name=f"peer-{peer_id.name}")

    def enqueue_message(self, envelope: Envelope) -> None:
        """Queue a message without a reply, to be handled in order."""
        try:
            self._inbox.put_nowait(envelope)
        except asyncio.QueueFull:
            self.dropped += 1

    def start_request(self, envelope: Envelope) -> None:
        """Start handling a request concurrently with others of the same peer."""
        if len(self._request_tasks) >= self.MAX_CONCURRENT_REQUESTS:
            self.dropped += 1
            return
        task = asyncio.create_task(self._handle_request(envelope))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    def close(self) -> None:
        """Cancel the handling of its messages and requests."""
        self._task.cancel()
        for task in self._request_tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            await self._dispatch(await self._inbox.get())

    async def _handle_request(self, envelope: Envelope) -> None:
        await self._dispatch(envelope)
