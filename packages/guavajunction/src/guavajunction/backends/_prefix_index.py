"""Index of the prompt prefixes in an engine's cache."""

from __future__ import annotations

from collections.abc import Iterable

from ._model import CacheEvent


class PrefixIndex:
    """The cached prefixes of one backend server, built from its cache events.

    The index may be out of date, because events arrive late. After a gap in the
    sequence numbers the index is cleared, because a missed event may have removed any
    entry.
    """

    MAX_PREFIXES = 4_096
    """Largest number of prefixes; the oldest are dropped first."""

    def __init__(self) -> None:
        self.last = 0
        """Sequence number up to which events have been applied."""
        self._prefixes: dict[str, None] = {}

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._prefixes

    def extend(self, after: int, events: Iterable[CacheEvent], last: int) -> bool:
        """Apply events that follow a sequence number.

        Args:
            after: Sequence number that the sender had applied before these events.
            events: The events in order of their sequence numbers.
            last: Sequence number up to which the events are complete.

        Returns:
            True if no event was missed.
        """
        if last == self.last and after <= last:
            return True
        complete = after <= self.last <= last
        if not complete:
            self._prefixes.clear()
            self.last = after
        for event in events:
            complete = self._apply(event) and complete
        self.last = last
        return complete

    def _apply(self, event: CacheEvent) -> bool:
        if event.seq <= self.last:
            return True
        complete = event.seq == self.last + 1
        if not complete:
            self._prefixes.clear()
        self._prefixes.pop(event.prefix, None)
        if event.kind == "stored":
            self._prefixes[event.prefix] = None
        if len(self._prefixes) > self.MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]
        self.last = event.seq
        return complete
