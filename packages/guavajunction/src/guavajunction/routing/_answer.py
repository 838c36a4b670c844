"""Protocols for relaying an answer to a caller, and the summary of an answer."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class AnswerSink(Protocol):
    """Writes a relayed answer to the caller's connection."""

    @property
    def started(self) -> bool:
        """Return whether the status line has been sent."""
        ...

    async def start(self, status: int, content_type: str) -> None:
        """Send the status line and headers.

        Raises:
            ConnectionError: The caller has disconnected.
        """
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body.

        Raises:
            ConnectionError: The caller has disconnected.
        """
        ...


class AnswerTimes(Protocol):
    """Records latencies of a request and of the tokens of its answer."""

    def on_slot_granted(self) -> None:
        """Record that the request was granted a slot for the first time."""
        ...

    def on_tokens(self, count: int) -> None:
        """Record the arrival of stream events.

        Args:
            count: Number of events that arrived in one chunk; an event is one token.
        """
        ...


class AnswerSummary(NamedTuple):
    """Token counts of an answer that was relayed to its end."""

    backend: str
    output_tokens: float
    """Token count of the engine; the number of relayed events if it sent none."""
    prompt_tokens: float | None
    """Token count of the engine, None if it sent none."""
