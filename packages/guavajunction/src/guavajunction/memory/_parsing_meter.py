"""Bounds the time that one process spends on parsing callers' requests.

Designed for 7,000 connections and 3,000 received segments a second; one note is a few
additions.
"""

from __future__ import annotations


class ParsingUse:
    """The recent parsing time of one connection."""

    __slots__ = ("at", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        """Parsing time, less what has been worked off since."""
        self.at = 0.0
        """When it was noted last."""


class ParsingMeter:
    """Says which connections must rest because parsing takes too much time.

    Very many short fields, tiny chunks or pipelined requests cost far more time for
    each byte than other requests do. Only connections that use much rest, and only
    while all of them together use too much.
    """

    SHARE = 0.3
    """Share of the process' time for connections that use much."""
    FREE_SECONDS = 0.1
    """Parsing time of all connections together before any rests."""
    OWN_SHARE = 0.002
    """Share of the time that a connection may use without resting. 150 connections
    that all use it take as much as `SHARE`."""
    OWN_FREE_SECONDS = 0.01
    """Parsing time of one connection before it rests. The largest head takes 2 ms, a
    body of 1 MB in one piece 1 ms."""
    MAX_REST_SECONDS = 10.0

    def __init__(self) -> None:
        self._seconds = 0.0
        self._at = 0.0

    def note(self, use: ParsingUse, seconds: float, now: float) -> float:
        """Note parsing time of a connection; return for how long it must rest."""
        since = now - use.at
        use.seconds = max(0.0, use.seconds - since * self.OWN_SHARE) + seconds
        use.at = now
        if use.seconds <= self.OWN_FREE_SECONDS:
            return 0.0
        since = now - self._at
        self._seconds = max(0.0, self._seconds - since * self.SHARE) + seconds
        self._at = now
        excess = self._seconds - self.FREE_SECONDS
        return min(self.MAX_REST_SECONDS, max(0.0, excess / self.SHARE))
