"""What routing hands an answer to, and what is known of a finished answer."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class AnswerSink(Protocol):
    """The caller's side of an answer that is being relayed."""

    @property
    def started(self) -> bool:
        """Return whether the status line has been sent."""
        ...

    async def start(self, status: int, content_type: str) -> None:
        """Send the status line and headers.

        Raises:
            ConnectionError: The caller has left.
        """
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body.

        Raises:
            ConnectionError: The caller has left.
        """
        ...


class AnswerTimes(Protocol):
    """Receives the times of a request and its answer's tokens."""

    def on_slot_granted(self) -> None:
        """Note that the request left the queue for the first time."""
        ...

    def on_tokens(self, count: int) -> None:
        """Note that some events of the stream arrived together."""
        ...


class AnswerSummary(NamedTuple):
    """A whole answer that was relayed."""

    backend: str
    output_tokens: float
    prompt_tokens: float | None
    """As the engine counted them, None if it did not say."""
