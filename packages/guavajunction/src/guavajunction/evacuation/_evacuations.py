"""The data centres that are evacuated, as one instance knows them.

Designed for: evacuations that begin or end on hundreds of instances within seconds,
overlap, and cover any data centre, while the store comes back from an older copy, or
answers some instances late or not at all. An instance keeps what it knows until a row
says otherwise, because a request to an evacuated data centre can't be taken back, while
an evacuation that ends late only leaves capacity unused.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock

from . import _events as events


class Evacuations:
    """Set of the evacuated data centres."""

    RETURN_SECONDS = 2.5
    """How long an evacuation is kept whose row is missing since the store came back
    from a copy. Within two seconds the operator writes its rows again."""

    MAX_UNREADABLE = 64
    """Number of keys without a name that are remembered, for one log line each."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unreadable: dict[str, None] = {}
        self._began_at: dict[str, float] = {}
        self._kept_until: dict[str, float] = {}
        self.on_changed: Callable[[], None] = lambda: None
        """Called when an evacuation has begun or ended."""
        self.on_ended: Callable[[str], None] = lambda _: None
        """Called with a data centre that is no longer evacuated."""

    def __len__(self) -> int:
        return len(self._began_at)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._began_at

    def replace_all(self, names: Iterable[str], *, keep_missing: bool = False) -> None:
        """Replace all evacuations with a complete list.

        Args:
            names: The evacuated data centres.
            keep_missing: Whether unlisted ones are kept for `RETURN_SECONDS`.
        """
        listed = set(names)
        for name in sorted(listed):
            self.begin(name)
        for name in sorted(set(self._began_at) - listed):
            self.end(name, came_back=keep_missing)

    def begin(self, name: str) -> None:
        """Evacuate a data centre, whose row was read."""
        self._kept_until.pop(name, None)
        if name in self._began_at:
            return
        self._began_at[name] = self._clock.monotonic()
        events.BEGAN.log(data_centre=name, evacuated=len(self))
        self.on_changed()

    def end(self, name: str, *, came_back: bool = False) -> None:
        """End an evacuation whose row is missing.

        One that is kept after a return of the store ends only by `expire`: later lists
        of the same era lack its row as well until the operator has written it again.

        Args:
            name: The data centre.
            came_back: Whether the row is missing since the store came back from a copy;
                the evacuation is then kept for `RETURN_SECONDS`.
        """
        if name not in self._began_at:
            return
        if came_back:
            self._kept_until[name] = self._clock.monotonic() + self.RETURN_SECONDS
        elif name not in self._kept_until:
            self._remove(name, returned=False)

    def note_unreadable(self, key: str, reason: str) -> None:
        """Log once that the key of a row names no data centre."""
        if key not in self._unreadable:
            self._unreadable[key] = None
            drop_oldest(self._unreadable, self.MAX_UNREADABLE)
            events.UNREADABLE.log(key=key[:64], reason=reason)

    def expire(self, read_at: float = float("inf")) -> None:
        """End the evacuations that the operator has not written again.

        Args:
            read_at: When the store last answered, on the monotonic clock. An answer
                after the time to keep an evacuation shows that its row is missing; the
                store may be silent in that time.
        """
        known_until = min(read_at, self._clock.monotonic())
        for name, until in list(self._kept_until.items()):
            if until <= known_until:
                self._remove(name, returned=True)

    def _remove(self, name: str, *, returned: bool) -> None:
        self._kept_until.pop(name, None)
        seconds = self._clock.monotonic() - self._began_at.pop(name)
        events.ENDED.log(
            data_centre=name,
            after_seconds=round(seconds, 2),
            returned=returned,
            evacuated=len(self),
        )
        self.on_ended(name)
        self.on_changed()
