"""Which prompt prefixes an engine is thought to hold."""

from __future__ import annotations

from collections.abc import Iterable

from ._model import CacheEvent


class PrefixIndex:
    """The cached prefixes of one backend server, built from its events.

    The index is a hint: events come late. After a gap nothing that was known can be
    relied on, so that the index starts again empty.
    """

    MAX_PREFIXES = 4_096
    """Prefixes that are kept; the oldest are forgotten first."""

    def __init__(self) -> None:
        self.last = 0
        """Sequence number of the newest event taken in."""
        self._prefixes: dict[str, None] = {}

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._prefixes

    def extend(self, after: int, events: Iterable[CacheEvent], last: int) -> bool:
        """Take in events that follow on a sequence number.

        Args:
            after: Sequence number that the sender had taken in before these events.
            events: The events, by rising sequence number.
            last: Sequence number that the index has then reached.

        Returns:
            Whether nothing was missed.
        """
        if last == self.last and after <= last:
            return True
        whole = after <= self.last <= last
        if not whole:
            self._prefixes.clear()
            self.last = after
        for event in events:
            whole = self._apply(event) and whole
        self.last = last
        return whole

    def _apply(self, event: CacheEvent) -> bool:
        if event.seq <= self.last:
            return True
        whole = event.seq == self.last + 1
        if not whole:
            self._prefixes.clear()
        self._prefixes.pop(event.prefix, None)
        if event.kind == "stored":
            self._prefixes[event.prefix] = None
        if len(self._prefixes) > self.MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]
        self.last = event.seq
        return whole
