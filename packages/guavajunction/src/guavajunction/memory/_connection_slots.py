"""Bounds the number of open connections of callers.

Designed for up to 7,000 connections. While all slots are taken, each new connection
reads the state of all open ones once.
"""

from __future__ import annotations

from typing import Protocol

from guavajunction.clock import Clock
from guavajunction.metrics import MetricsRegistry

from . import _events as events


class CallerConnection(Protocol):
    """An open connection of a caller."""

    @property
    def is_running(self) -> bool:
        """Return whether a request was received completely and is not answered."""
        ...

    @property
    def is_receiving(self) -> bool:
        """Return whether the body of a request is arriving."""
        ...

    @property
    def has_unread(self) -> bool:
        """Return whether a part of an answer has not been taken by the caller."""
        ...

    @property
    def served(self) -> int:
        """Return the number of requests that the connection has carried."""
        ...

    @property
    def last_received_at(self) -> float:
        """Return when bytes arrived last, on the monotonic clock."""
        ...

    def shed(self) -> None:
        """Close the connection at once."""
        ...


class ConnectionSlots:
    """The open connections of callers, of which a bounded number may be open."""

    FILES = 200
    """Descriptors of a machine that are for files."""
    CALLERS_SHARE = 0.6
    """Share of the other descriptors that callers' requests may use."""
    OTHERS_SHARE = 0.06
    """Share of them for readiness, directory and metrics. The rest is for backend
    servers, other instances, tunnels and the store."""
    SILENT_SECONDS = 1.0
    """A connection whose body is arriving, or whose answer is being read, may be closed
    after this time without bytes from its caller."""
    LOG_SECONDS = 1.0

    def __init__(
        self,
        max_descriptors: int | None,
        clock: Clock,
        metrics: MetricsRegistry,
        share: float = CALLERS_SHARE,
    ) -> None:
        """Create the slots.

        Args:
            max_descriptors: Descriptors of the machine; None for no limit.
            clock: Source of time.
            metrics: Registry for `shed_total`.
            share: Share of the descriptors that are not for files.
        """
        self.limit = (
            None
            if max_descriptors is None
            else max(1, int((max_descriptors - self.FILES) * share))
        )
        """Number of connections that may be open; None for any."""
        self._clock = clock
        self._metrics = metrics
        self._open: dict[CallerConnection, None] = {}
        self._unlogged = 0
        self._logged_at = float("-inf")

    @property
    def open(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def unread(self) -> int:
        """Return the number of connections whose callers still read an answer."""
        return sum(connection.has_unread for connection in self._open)

    def add(self, connection: CallerConnection) -> bool:
        """Take a slot for a new connection; return whether there is one.

        If all are taken, a connection without a request that runs is closed: first one
        that has not carried any, then the one that was silent for longest.
        """
        if self.limit is not None and len(self._open) >= self.limit:
            now = self._clock.monotonic()
            self._note_shed(now)
            candidates = [c for c in self._open if self._may_shed(c, now)]
            if not candidates:
                return False
            victim = min(
                candidates,
                key=lambda c: (
                    c.is_receiving or c.has_unread,
                    c.served > 0,
                    c.last_received_at,
                ),
            )
            self.remove(victim)
            victim.shed()
        self._open[connection] = None
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Give back the slot of a connection, if it has one."""
        self._open.pop(connection, None)

    def _may_shed(self, connection: CallerConnection, now: float) -> bool:
        if connection.is_running:
            return False
        silent = now - connection.last_received_at
        is_busy = connection.is_receiving or connection.has_unread
        return not is_busy or silent >= self.SILENT_SECONDS

    def _note_shed(self, now: float) -> None:
        self._metrics.count("shed_total", reason="connections")
        self._unlogged += 1
        if now - self._logged_at >= self.LOG_SECONDS:
            events.CONNECTION_REFUSED.log(
                connections=self._unlogged, open=len(self._open), limit=self.limit
            )
            self._unlogged, self._logged_at = 0, now
