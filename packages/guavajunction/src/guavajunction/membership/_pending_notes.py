"""The note of a pending change that a voter holds."""

from __future__ import annotations

from collections import deque

from . import _events as events
from ._config import MembershipConfig
from ._messages import Pending


class NoteBook:
    """Holds at most one note, until its outcome is known.

    One note at a time makes announcements exclude each other: two majorities share
    a voter, and that voter acknowledges only one of them.
    """

    REMEMBERED_ENDED = 64

    def __init__(self, cfg: MembershipConfig) -> None:
        self._cfg = cfg
        self._note: Pending | None = None
        self._known_after = 0.0
        self._ended: deque[str] = deque(maxlen=self.REMEMBERED_ENDED)

    @property
    def blocked(self) -> bool:
        """Whether a note is held."""
        return self._note is not None

    def hold(self, note: Pending, now: float) -> bool:
        """Hold a note, unless another is held or it has ended already.

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
            note: Its identity.
            now: Monotonic time in seconds.
            effect: Whether the change may have taken effect: the note is then held
                until a read of the store that began after now.
        """
        self._ended.append(note)
        if self._note is None or self._note.note != note:
            return
        if effect:
            self._known_after = min(self._known_after, now)
        else:
            self._clear()

    def on_confirmed(self, started: float) -> None:
        """Take a confirmation of the store's state that began at a time."""
        if self._note is not None and started >= self._known_after:
            self._clear()

    def _clear(self) -> None:
        if self._note is not None:
            events.NOTE_CLEARED.log(note=self._note.note, kind=self._note.kind)
        self._note = None
