"""Messages between hubs and their followers."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.storage import RowChange

from ._roster import KnownMember


class PartitionStatus(NamedTuple):
    """How far a hub has read a partition of the store."""

    version: int
    """Of the latest rows that it handed on; -1 before the first."""
    read_version: int
    """Up to which it has read; nothing that matters changed in between."""
    age: float
    """Seconds since the store last answered it."""


class HubStatus(NamedTuple):
    """What a hub tells each follower with its heartbeats."""

    partitions: dict[str, PartitionStatus]
    """By partition."""
    members: tuple[KnownMember, ...] | None = None
    """The whole fleet without the hub itself; None if nothing is new."""


class RowsNotice(NamedTuple):
    """Rows that changed in the store, handed on by a hub."""

    partition: str
    after: int
    """Version of the rows that the hub handed on before."""
    version: int
    rows: tuple[RowChange, ...]


class RowsWanted(NamedTuple):
    """Asks a hub for all rows of a partition."""

    partition: str


class RowsAnswer(NamedTuple):
    """Every row of a partition as a hub knows it."""

    version: int
    """Version of the rows; -1 if it does not know them."""
    rows: tuple[RowChange, ...]
