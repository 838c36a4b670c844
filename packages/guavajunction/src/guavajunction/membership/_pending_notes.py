"""A voter's note of the change that is pending."""

from __future__ import annotations

from collections import deque

from . import _events as events
from ._config import MembershipConfig
from ._messages import Pending


class PendingNotes:
    """Holds at most one note, until the outcome of its change is known.

    Two concurrent announcements can't both succeed: any two majorities share a
    voter, and a voter acknowledges only one note at a time.
    """

    MAX_ENDED_NOTES = 64
    """Number of ended notes whose identities are kept, to refuse a late `Pending`."""

    def __init__(self, cfg: MembershipConfig) -> None:
        self._cfg = cfg
        self._note: Pending | None = None
        self._known_after = 0.0
        """Monotonic time from which the start of a read shows the change's outcome."""
        self._ended: deque[str] = deque(maxlen=self.MAX_ENDED_NOTES)

    @property
    def blocked(self) -> bool:
        """Whether a note is held."""
        return self._note is not None

    def hold(self, note: Pending, now: float) -> bool:
        """Hold a note, unless another one is held or this one has already ended.

        Args:
            note: The note.
            now: Monotonic time in seconds.

        Returns:
            Whether the note is held.
        """
        if self._note is not None:
            return self._note.note == note.note
        if note.note in self._ended:
            return False
        self._note = note
        self._known_after = now + self._cfg.settle_bound
        events.NOTE_HELD.log(note=note.note, kind=note.kind, view=note.view)
        return True

    def settle(self, note: str, now: float, *, effect: bool) -> None:
        """End an announcement.

        Args:
            note: Identity of the announcement.
            now: Monotonic time in seconds.
            effect: Whether the change may have taken effect. If so, the note is held
                until a read of the store that began at `now` or later is confirmed.
        """
        self._ended.append(note)
        if self._note is None or self._note.note != note:
            return
        if effect:
            self._known_after = min(self._known_after, now)
        else:
            self._clear()

    def on_confirmed(self, started: float) -> None:
        """Clear the note if a confirmation of the store's state shows its outcome.

        Args:
            started: Monotonic time, in seconds, when the read of the store began.
        """
        if self._note is not None and started >= self._known_after:
            self._clear()

    def _clear(self) -> None:
        if self._note is not None:
            events.NOTE_CLEARED.log(note=self._note.note, kind=self._note.kind)
        self._note = None
