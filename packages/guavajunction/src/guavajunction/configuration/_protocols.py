"""Protocols of the objects that the configuration uses from other packages."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol


class StoreReadObserver(Protocol):
    """Is notified when the version in force is confirmed by a read of the store."""

    def on_store_read(self, started_at: float) -> None:
        """Record that the version accepted at `started_at` is in force here.

        Args:
            started_at: Monotonic time in seconds, taken before the read was sent.
        """
        ...


class Announcement(Protocol):
    """A note of a pending change that a majority of members has acknowledged."""

    def check(self) -> None:
        """Check that the note is still valid.

        Raises:
            PendingExpired: The note has expired; the change must not be sent.
        """
        ...


class PendingNotes(Protocol):
    """Announces a change to the members before it may take effect."""

    def pending(self, kind: str) -> AbstractAsyncContextManager[Announcement]:
        """Announce a pending change to the members while the context is open.

        The context is entered once a majority has acknowledged the note. If the
        context is left by `AcceptanceUnknown`, the note must stay valid until the
        members have read the store.

        Args:
            kind: Kind of the pending change, such as `configuration`.

        Raises:
            NoMajority: Too few members acknowledged in time.
            PendingExpired: The context stayed open for too long.
        """
        ...


class Explainer(Protocol):
    """Records the decisions that were made for recent requests."""

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions in order; empty for an unknown request."""
        ...
