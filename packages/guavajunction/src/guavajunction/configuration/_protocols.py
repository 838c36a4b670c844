"""What the configuration needs from the other aggregates."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol


class Confirmations(Protocol):
    """Learns when this instance has seen the store's state."""

    def on_store_read(self, started_at: float) -> None:
        """Note that what was accepted at a time is in force here.

        Args:
            started_at: Monotonic time, in seconds, before the read was sent.
        """
        ...


class PendingNotes(Protocol):
    """Warns the members of a change before it may take effect."""

    def pending(self, kind: str) -> AbstractAsyncContextManager[None]:
        """Keep a majority of members warned while the context is open.

        The context is entered once a majority has acknowledged the note. If it is
        left by `AcceptanceUnknown`, the note must outlive it, until the members
        have read the store.

        Args:
            kind: What is pending, such as `configuration`.

        Raises:
            GuavaError: No majority acknowledged in time.
        """
        ...


class Explainer(Protocol):
    """Remembers the decisions that were taken for a request."""

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions in order, empty if the request is not known."""
        ...
