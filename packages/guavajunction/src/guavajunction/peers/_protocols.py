"""Interface of the links between instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple, Protocol, TypeVar


class PeerId(NamedTuple):
    """Identity of one incarnation, that is one run of one instance."""

    name: str
    """The instance's name."""
    incarnation: str
    """Random identifier generated at each start of the instance."""


M = TypeVar("M")
Handler = Callable[[PeerId, M], Awaitable[Any]]
"""Called with the sender and the message; the return value replies to a request."""


class Links(Protocol):
    """Authenticated links to the other instances.

    Messages are `NamedTuple` classes. Delivery is at most once and unordered
    across reconnects; a message is delivered only to the incarnation addressed.
    """

    @property
    def me(self) -> PeerId:
        """Identity of this incarnation."""
        ...

    def peers(self) -> list[PeerId]:
        """Return the live peers, from which a heartbeat was received recently."""
        ...

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the one handler for a message type."""
        ...

    def send(self, to: PeerId, message: Any) -> None:
        """Send a message without waiting for delivery; it may be lost."""
        ...

    def send_to_each(self, receivers: Iterable[PeerId], message: Any) -> None:
        """Send a message to several peers; it is encoded once."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send a message to every live peer."""
        ...

    async def request(
        self, to: PeerId, message: Any, reply_type: type[M], *, timeout: float
    ) -> M:
        """Send a message and wait for the reply of the peer's handler.

        Args:
            to: The peer's incarnation.
            message: The request, whose type selects the handler.
            reply_type: Type that the reply is decoded as.
            timeout: Seconds to wait.

        Raises:
            PeerTimeout: No valid reply arrived in time; the message may have been
                handled.
            PeerUnknown: No link to the peer exists.
        """
        ...

    def add_topic(
        self,
        topic: str,
        provide: Callable[[], Any],
        accept: Callable[[PeerId, Any], None],
        value_type: type[Any],
    ) -> None:
        """Add a topic, a small value sent with every heartbeat.

        Args:
            topic: Name of the topic, unique among all topics.
            provide: Called once for each round of heartbeats; returns the value.
            accept: Called with the sender and the value for each heartbeat received.
            value_type: Type that the value is decoded as.
        """
        ...
