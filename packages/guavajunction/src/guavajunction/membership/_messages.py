"""Messages between members."""

from __future__ import annotations

from typing import NamedTuple


class Status(NamedTuple):
    """State of a member, sent with each of its heartbeats."""

    age: float | None
    """Seconds since the sender's latest confirmation of the store's state began.

    None if the sender has not confirmed it yet.
    """
    version: int
    """Version of the configuration in force at the sender."""
    view: int
    """Number of the latest view that the sender has read; 0 for none."""
    eligible: bool
    """Whether the sender counts towards a majority that serves without the store."""
    revoked: tuple[str, ...]
    """Incarnations whose rows were revoked when the sender last read the members."""


class Pending(NamedTuple):
    """Requests that a voter hold a note of a change that may take effect."""

    note: str
    """Unique identity of the announcement."""
    kind: str
    """Kind of the pending change, such as `configuration` or `view`."""
    view: int
    """Number of the view whose voters receive the request."""


class PendingAck(NamedTuple):
    """Reply to `Pending`."""

    held: bool
    """Whether the voter holds the note."""


class Settled(NamedTuple):
    """Sent to the voters when an announcement ends with a known outcome."""

    note: str
    """Identity of the announcement, as in `Pending`."""
    effect: bool
    """Whether the change may have taken effect: if so, the voter reads the store."""
