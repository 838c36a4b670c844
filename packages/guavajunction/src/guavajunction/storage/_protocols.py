"""What the product needs from the platform's services."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Row(NamedTuple):
    """One row of the table service."""

    partition: str
    """Partition key, such as `lease`."""
    sort: str
    """Sort key, unique in its partition."""
    version: int
    """Counts the writes of the row, from 1."""
    body: bytes
    """Encoded content."""


class TableService(Protocol):
    """A transactional table with conditional writes and consistent reads.

    Every call raises `StoreUnavailable` when it has certainly not taken effect and
    `StoreAnswerLost` when a write may have taken effect.
    """

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read one row consistently, or None if it does not exist."""
        ...

    async def query(self, partition: str) -> list[Row]:
        """Read every row of a partition, by sort key."""
        ...

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row if its version is still the expected one.

        Args:
            partition: Partition key.
            sort: Sort key.
            body: New content.
            expected: Version that the row must have; 0 if it must not exist.

        Returns:
            The row as written, its version one above the expected one.

        Raises:
            ConditionFailed: The row has another version.
        """
        ...

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row if its version is still the expected one.

        Raises:
            ConditionFailed: The row has another version or does not exist.
        """
        ...


class ObjectStore(Protocol):
    """A store of whole objects by name; reads may be stale or missing."""

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        ...

    async def get(self, name: str) -> bytes:
        """Read an object.

        Raises:
            ObjectNotFound: There is none of that name.
        """
        ...


class InstanceRecord(NamedTuple):
    """One entry of the platform's instance list, which lags."""

    name: str
    """The instance's name, unique among entry instances."""
    data_centre: str
    """Where it runs."""
    address: str
    """IP number."""
    http_port: int
    """Port for callers and operators."""
    peer_port: int
    """Port for links between instances."""
    state: str
    """`live` or `leaving`."""


class InstanceList(Protocol):
    """The platform's list of entry instances."""

    async def instances(self) -> list[InstanceRecord]:
        """Return the listed instances, perhaps of a while ago."""
        ...


class RowChange(NamedTuple):
    """One row as a change left it."""

    sort: str
    """Sort key, unique in its partition."""
    body: bytes | None
    """New content, or None if the row was removed."""
    version: int
    """Version of the row; for a removal, of the removal."""


class Changes(NamedTuple):
    """Rows of one partition, as of a version of the whole store."""

    rows: tuple[RowChange, ...]
    version: int
    """Newest version that these rows reflect."""
    complete: bool
    """Whether these are all rows of the partition, not only the changed ones."""


class ChangeFeed(Protocol):
    """Tells what changed in a partition as soon as it changes."""

    async def snapshot(self, partition: str) -> Changes:
        """Read every row of a partition as of one moment.

        Raises:
            StoreUnavailable: The store did not answer.
        """
        ...

    async def changes(
        self, partition: str, after: int, *, wait_seconds: float
    ) -> Changes:
        """Wait for changes after a version.

        Args:
            partition: Partition key.
            after: Version up to which changes are known.
            wait_seconds: Longest wait; without a change the answer has no rows.

        Raises:
            HistoryGone: Changes after that version are not kept any more.
            StoreUnavailable: The store did not answer.
        """
        ...
