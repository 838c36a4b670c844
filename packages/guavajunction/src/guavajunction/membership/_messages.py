"""Messages between members."""

from __future__ import annotations

from typing import NamedTuple


class Status(NamedTuple):
    """What a member says of itself in each heartbeat."""

    age: float | None
    """Seconds since its own latest confirmation of the store's state began."""
    version: int
    """Version of the configuration in force there."""
    view: int
    """Number of the latest view that it read."""
    eligible: bool
    """Whether it may be counted towards a majority that serves without the store."""
    revoked: tuple[str, ...]
    """Incarnations that it saw revoked lately."""


class Pending(NamedTuple):
    """Asks a voter to hold a note of a change that may take effect."""

    note: str
    """Unique identity of the announcement."""
    kind: str
    """What is pending, such as `configuration` or `view`."""
    view: int
    """Number of the view whose voters are asked."""


class PendingAck(NamedTuple):
    """Whether the voter holds the note."""

    held: bool


class Settled(NamedTuple):
    """Ends an announcement whose outcome is known."""

    note: str
    effect: bool
    """Whether the change may have taken effect; if so, the store must be read."""
