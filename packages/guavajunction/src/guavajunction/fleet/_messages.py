"""Messages between hubs and their followers, and between the reader and the hubs."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.storage import RowChange

from ._roster import KnownMember


class PartitionStatus(NamedTuple):
    """State of one partition on a hub."""

    version: int
    """Version of the last notice sent to followers; -1 before the first read."""
    read_version: int
    """Version up to which the hub has read. No change after `version`, up to and
    including this one, is relevant to followers."""
    age: float
    """Seconds since the store last answered the hub for this partition."""


class HubStatus(NamedTuple):
    """Status that an instance sends to those that take the store's rows from it.

    It is sent with the heartbeats.
    """

    partitions: dict[str, PartitionStatus]
    """State of each offered partition, by name."""
    members: tuple[KnownMember, ...] | None = None
    """All instances of the fleet except the hub; None if the list is not sent with this
    heartbeat. Only followers get it."""


class RowsNotice(NamedTuple):
    """Rows that changed in the store, relayed by a hub."""

    partition: str
    after: int
    """Version of the previous notice; the changes start after it."""
    version: int
    """Version up to which `rows` contains all relevant changes."""
    rows: tuple[RowChange, ...]


class RowsWanted(NamedTuple):
    """Requests all rows of a partition from a hub."""

    partition: str


class RowsAnswer(NamedTuple):
    """Reply to `RowsWanted`: every row of a partition as read by the hub."""

    version: int
    """Version of the rows; -1 if the hub has not read the partition."""
    rows: tuple[RowChange, ...]


class NewerRowsWanted(NamedTuple):
    """Requests all rows of a partition if one has changed after a version.

    Sent by an instance that the store does not answer.
    """

    partition: str
    after: int
    """Version up to which the sender has read the partition; -1 before its first
    read."""


class NewerRowsAnswer(NamedTuple):
    """Reply to `NewerRowsWanted`."""

    version: int
    """Version of the rows; -1 if the instance has not read the partition."""
    rows: tuple[RowChange, ...]
    """All rows of the partition; empty if none has changed after the version."""
    changed: bool
    """Whether a row has changed after the version."""
