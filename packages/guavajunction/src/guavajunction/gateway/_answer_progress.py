"""How far the answer to a request has arrived."""

from __future__ import annotations


class AnswerProgress:
    """Times of the first and the last part of one answer.

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
