"""Splits a stream of server-sent events into single events."""

from __future__ import annotations

import re
from typing import NamedTuple

EVENT_END = b"\n\n"
PLAIN_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)").fullmatch
"""Fast path: matches the form that engines send, without the general parser."""
END_MARK = b"[DONE]"
"""Data of the last event of a complete stream."""


class StreamEvent(NamedTuple):
    """One server-sent event."""

    number: int
    """The event's `id`, or -1 without an `id`."""
    data: bytes
    raw: bytes
    """The event as received, including the blank line at its end."""
    is_joined: bool = False
    """Whether a part of an HTTP head is inside: another response begins there."""

    @property
    def is_end(self) -> bool:
        """Return whether the event is the end mark of a stream."""
        return self.data == END_MARK


class EventSplitter:
    r"""Buffers chunks of a body and returns complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 0\ndata: a\n")
    []
    >>> [e.data for e in splitter.feed(b"\nid: 1\ndata: [DONE]\n\n")]
    [b'a', b'[DONE]']
    """

    MAX_EVENT_BYTES = 1_048_576
    """Limit on the size of an incomplete event."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add a chunk of the body.

        Returns:
            The events that this chunk completes.
        """
        whole, mark, self._incomplete = (self._incomplete + chunk).rpartition(EVENT_END)
        if not mark:
            return []
        return [_parse(raw) for raw in whole.split(EVENT_END) if raw]

    @property
    def is_oversize(self) -> bool:
        """Return whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._incomplete) > self.MAX_EVENT_BYTES


def _parse(raw: bytes) -> StreamEvent:
    match = PLAIN_EVENT(raw)
    if match is not None:
        return StreamEvent(int(match[1]), match[2], raw + EVENT_END)
    # Engines end the lines of events with a line feed alone.
    if b"\r\n" in raw:
        return StreamEvent(-1, b"", raw + EVENT_END, is_joined=True)
    number = -1
    data = b""
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"data":
            data += value.strip()
        elif name == b"id" and value.strip().isdigit():
            number = int(value)
    return StreamEvent(number, data, raw + EVENT_END)
