"""Tells whether a stream of server-sent events ends with a complete event.

Source: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

from __future__ import annotations

EVENT_ENDS = (b"\n\n", b"\r\r", b"\n\r\n")
"""Ends of an event: an empty line, for each of the permitted line ends."""
LONGEST_END_BYTES = 3

EVENT_STREAM = "text/event-stream"
"""Content type of a stream of server-sent events."""


class EventBoundary:
    r"""Follows the bytes of a stream; keeps only the last ones.

    >>> boundary = EventBoundary()
    >>> boundary.feed(b"id: 1\ndata: a\n\nid: 2\n")
    >>> boundary.is_inside_event, boundary.open_bytes
    (True, 6)
    >>> boundary.feed(b"data: b\n\n")
    >>> boundary.is_inside_event, boundary.open_bytes, boundary.events
    (False, 0, 2)
    """

    def __init__(self) -> None:
        self._last_bytes = b""
        self.open_bytes = 0
        """Number of bytes since the end of the last complete event."""
        self.events = 0
        """Number of complete events so far."""

    def feed(self, chunk: bytes) -> None:
        """Add a chunk of the stream."""
        # An end may begin in the previous chunk.
        text = self._last_bytes + chunk
        end = max(text.rfind(mark) + len(mark) for mark in EVENT_ENDS)
        has_end = any(mark in text for mark in EVENT_ENDS)
        if has_end:
            self.events += _count_ends(text) - _count_ends(self._last_bytes)
        self.open_bytes = len(text) - end if has_end else self.open_bytes + len(chunk)
        self._last_bytes = text[-LONGEST_END_BYTES:]

    @property
    def is_inside_event(self) -> bool:
        """Return whether the stream ends in the middle of an event."""
        return self.open_bytes > 0


def _count_ends(text: bytes) -> int:
    return sum(text.count(mark) for mark in EVENT_ENDS)


def is_event_stream(headers: tuple[tuple[str, str], ...]) -> bool:
    """Return whether headers announce a stream of server-sent events.

    >>> is_event_stream((("content-type", "Text/Event-Stream; charset=utf-8"),))
    True
    """
    return any(
        name.lower() == "content-type"
        and value.partition(";")[0].strip().lower() == EVENT_STREAM
        for name, value in headers
    )
