"""What is known of one incarnation of a peer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ._envelope import Envelope
from ._protocols import PeerId


class Peer:
    """Tells when an incarnation was heard, and handles its messages in order."""

    INBOX_MESSAGES = 1024
    MAX_CONCURRENT_REQUESTS = 256

    def __init__(
        self,
        peer_id: PeerId,
        address: str,
        dispatch: Callable[[Envelope], Awaitable[None]],
    ) -> None:
        self.peer_id = peer_id
        self.address = address
        """Where its router listens, `host:port`."""
        self.last_seen_at = float("-inf")
        """When its latest heartbeat arrived."""
        self.echoed_at = float("-inf")
        """When the heartbeat of ours left that its latest one confirms."""
        self.sequence = 0
        """Sequence of its latest heartbeat."""
        self.received_bytes = 0
        """Payload that arrived from it."""
        self.received_messages = 0
        """Messages that arrived from it."""
        self.dropped = 0
        """Messages that found its inbox full."""
        self._dispatch = dispatch
        self._inbox: asyncio.Queue[Envelope] = asyncio.Queue(self.INBOX_MESSAGES)
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run(), name=f"peer-{peer_id.name}")

    def enqueue_message(self, envelope: Envelope) -> None:
        """Queue a message that expects no answer; it is handled in order."""
        try:
            self._inbox.put_nowait(envelope)
        except asyncio.QueueFull:
            self.dropped += 1

    def start_request(self, envelope: Envelope) -> None:
        """Handle a question at once, beside others of the same peer."""
        if len(self._request_tasks) >= self.MAX_CONCURRENT_REQUESTS:
            self.dropped += 1
            return
        task = asyncio.create_task(self._answer(envelope))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    def close(self) -> None:
        """Stop handling its messages."""
        self._task.cancel()
        for task in self._request_tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            await self._dispatch(await self._inbox.get())

    async def _answer(self, envelope: Envelope) -> None:
        await self._dispatch(envelope)
