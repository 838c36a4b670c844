"""Protocols of the objects that the configuration uses from other packages."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol


class StoreReadObserver(Protocol):
    """Observes reads of the store that confirm the version in force."""

    def on_store_read(self, started_at: float) -> None:
        """Record that the version accepted at `started_at` is in force here.

        Args:
            started_at: Monotonic time in seconds, taken before the read was sent.
        """
        ...


class Announcement(Protocol):
    """An announced change, of which a majority of members has acknowledged a note."""

    def check(self) -> None:
        """Check that the announcement is still valid.

        Raises:
            PendingExpired: The announcement has expired; the change must not be sent.
        """
        ...


class ChangeAnnouncer(Protocol):
    """Announces changes to the members before they may take effect."""

    def pending(self, kind: str) -> AbstractAsyncContextManager[Announcement]:
        """Announce a pending change to the members while the context is open.

        The context is entered once a majority of members has acknowledged a note of
        the change. If `AcceptanceUnknown` ends the context, the members must keep the
        note until they have read the store.

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
