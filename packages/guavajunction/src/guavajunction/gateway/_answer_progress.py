"""How far the answer to a request has arrived."""

from __future__ import annotations


class AnswerProgress:
    """Times of the parts of one answer, and the number of its events.

    >>> progress = AnswerProgress()
    >>> progress.seconds is None
    True
    >>> progress.note_head(1.0)
    >>> progress.note_chunk(3.5)
    >>> progress.seconds, progress.chunks
    (2.5, 1)
    """

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._last_at = 0.0
        self.chunks = 0
        """Number of chunks of the body so far."""
        self.events = 0
        """Number of complete events of a stream so far."""
        self.blocked_seconds = 0.0
        """Time for which the caller did not take the answer."""
        self._first_event_at: float | None = None
        self._event_at = 0.0

    @property
    def first_event_at(self) -> float | None:
        """Return when the first event was complete; None before that."""
        return self._first_event_at

    @property
    def event_seconds(self) -> float:
        """Return the time from the first event to the last one."""
        if self._first_event_at is None:
            return 0.0
        return self._event_at - self._first_event_at

    @property
    def seconds(self) -> float | None:
        """Return the time from the head to the last chunk; None without a head."""
        return None if self._began_at is None else self._last_at - self._began_at

    def note_head(self, now: float) -> None:
        """Record the arrival of status and headers."""
        self._began_at = self._last_at = now

    def note_chunk(self, now: float) -> None:
        """Record the arrival of a chunk of the body."""
        self._last_at = now
        self.chunks += 1

    def note_events(self, events: int, now: float) -> None:
        """Record that a stream has a number of complete events now."""
        if events > self.events:
            if self._first_event_at is None:
                self._first_event_at = now
            self.events, self._event_at = events, now

    def note_blocked(self, seconds: float) -> None:
        """Record a time for which the caller took nothing."""
        self.blocked_seconds += seconds
