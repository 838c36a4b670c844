"""Bounds what one process holds of requests that were not parsed.

Designed for 7,000 connections and 3,000 received segments a second. Most requests are
parsed as they arrive and hold nothing here; a change is two updates of a dictionary.
"""

from __future__ import annotations

from typing import Protocol

from guavajunction.clock import Clock
from guavajunction.metrics import MetricsRegistry

from . import _events as events


class UnparsedHolder(Protocol):
    """A connection that holds bytes of incomplete heads or of requests ahead."""

    def refuse_unparsed(self) -> None:
        """Drop the bytes; the request that they belong to is not run."""
        ...


class UnparsedBytes:
    """Bytes that all connections hold besides the requests that are served.

    When there are too many, the connection that has held some for longest loses its
    own: the head of an ordinary caller is complete within a moment.
    """

    SMALL_BYTES = 2_048
    """A connection that holds no more counts as holding none: ordinary heads are
    smaller, and the fixed costs of a connection are larger."""
    LOG_SECONDS = 1.0
    """Shortest time between two log lines."""

    def __init__(
        self, limit: int | None, clock: Clock, metrics: MetricsRegistry
    ) -> None:
        """Create the bound.

        Args:
            limit: Bytes that may be held; None for no limit.
            clock: Source of time.
            metrics: Registry for `shed_total`.
        """
        self._limit = limit
        self._clock = clock
        self._metrics = metrics
        self._sizes: dict[UnparsedHolder, int] = {}
        """What each connection holds, in the order in which they began to."""
        self.held = 0
        """Bytes that all connections hold."""
        self._unlogged = 0
        self._logged_at = float("-inf")

    def hold(self, holder: UnparsedHolder, size: int) -> None:
        """Note how many bytes a connection holds; refuse others if there are too many.

        A connection that is the only one keeps its bytes.
        """
        if size <= self.SMALL_BYTES:
            size = 0
        self.held += size - self._sizes.get(holder, 0)
        if size > 0:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)
        while (
            self._limit is not None and self.held > self._limit and len(self._sizes) > 1
        ):
            oldest = next(iter(self._sizes))
            self.held -= self._sizes.pop(oldest)
            self._note_shed()
            oldest.refuse_unparsed()

    def _note_shed(self) -> None:
        self._metrics.count("shed_total", reason="unparsed")
        self._unlogged += 1
        now = self._clock.monotonic()
        if now - self._logged_at >= self.LOG_SECONDS:
            events.UNPARSED_REFUSED.log(
                connections=self._unlogged, held=self.held, limit=self._limit
            )
            self._unlogged, self._logged_at = 0, now
