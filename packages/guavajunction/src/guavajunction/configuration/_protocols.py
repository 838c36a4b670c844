"""What the configuration needs from the other aggregates."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol


class StoreReadObserver(Protocol):
    """Learns when this instance has seen the store's state."""

    def on_store_read(self, started_at: float) -> None:
        """Note that what was accepted at a time is in force here.

        Args:
            started_at: Monotonic time, in seconds, before the read was sent.
        """
        ...


class Announcement(Protocol):
    """A note that a majority of members holds for a while."""

    def check(self) -> None:
        """Make sure that the note still holds.

        Raises:
            PendingExpired: It no longer does; the change must not be sent.
        """
        ...


class PendingNotes(Protocol):
    """Warns the members of a change before it may take effect."""

    def pending(self, kind: str) -> AbstractAsyncContextManager[Announcement]:
        """Keep a majority of members warned while the context is open.

        The context is entered once a majority has acknowledged the note. If it is
        left by `AcceptanceUnknown`, the note must outlive it, until the members
        have read the store.

        Args:
            kind: What is pending, such as `configuration`.

        Raises:
            NoMajority: Too few members acknowledged in time.
            PendingExpired: The context stayed open for too long.
        """
        ...


class Explainer(Protocol):
    """Remembers the decisions that were taken for a request."""

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions in order, empty if the request is not known."""
        ...
