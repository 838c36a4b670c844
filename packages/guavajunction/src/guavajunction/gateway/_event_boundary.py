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
    >>> boundary.is_inside_event
    True
    >>> boundary.feed(b"data: b\n\n")
    >>> boundary.is_inside_event
    False
    """

    def __init__(self) -> None:
        self._last_bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Add a chunk of the stream."""
        self._last_bytes = (self._last_bytes + chunk[-LONGEST_END_BYTES:])[
            -LONGEST_END_BYTES:
        ]

    @property
    def is_inside_event(self) -> bool:
        """Return whether the stream ends in the middle of an event."""
        return bool(self._last_bytes) and not self._last_bytes.endswith(EVENT_ENDS)


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
