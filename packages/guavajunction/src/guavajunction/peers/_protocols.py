"""What the aggregates need from the links between instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol, TypeVar


class PeerId(NamedTuple):
    """One run of one instance."""

    name: str
    """The instance's name."""
    incarnation: str
    """Random identity drawn at each start; a restarted instance has another."""


M = TypeVar("M")
Handler = Callable[[PeerId, M], Awaitable[Any]]
"""Called with the sender and the message; what it returns answers an ask."""


class Links(Protocol):
    """Authenticated links to the other instances.

    Messages are `NamedTuple` classes. Delivery is at most once and unordered
    across reconnects; nothing is delivered to another incarnation than the one
    addressed.
    """

    @property
    def me(self) -> PeerId:
        """Identity of this run of this instance."""
        ...

    def peers(self) -> list[PeerId]:
        """Return the peers heard from lately, without this instance."""
        ...

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the one handler for a message type."""
        ...

    def send(self, to: PeerId, message: Any) -> None:
        """Send a message without waiting; it may be lost."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send a message to every peer heard from lately."""
        ...

    async def request(
        self, to: PeerId, message: Any, reply_type: type[M], *, timeout: float
    ) -> M:
        """Send a message and wait for the handler's answer.

        Args:
            to: The peer's incarnation.
            message: The question.
            reply_type: Type that the answer is decoded as.
            timeout: Seconds to wait.

        Raises:
            PeerTimeout: No answer came in time; the message may have arrived.
            PeerUnknown: The peer is not linked.
        """
        ...

    def add_topic(
        self,
        topic: str,
        provide: Callable[[], Any],
        accept: Callable[[PeerId, Any], None],
        value_type: type[Any],
    ) -> None:
        """Add a small value to every heartbeat.

        Args:
            topic: Name of the value, unique among callers of `share`.
            provide: Called for each heartbeat that leaves.
            accept: Called with the sender and value of each heartbeat that comes.
            value_type: Type that the value is decoded as.
        """
        ...
