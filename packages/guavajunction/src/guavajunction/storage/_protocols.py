"""Interfaces of the platform's services, and their data types."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Row(NamedTuple):
    """One row of the table service."""

    partition: str
    """Partition key, such as `lease`."""
    sort: str
    """Sort key, unique in its partition."""
    version: int
    """Version of the row; each write raises it, also across eras of the store."""
    body: bytes
    """Encoded content."""


class TableService(Protocol):
    """A transactional table with conditional writes and consistent reads.

    A failed call raises `StoreUnavailable` if it has certainly not taken effect, and
    `StoreAnswerLost` if it is a write that may have taken effect.

    If the service can come back from an older copy of itself, versions are positions
    (see `position`), and a write whose expected version is of an earlier era raises
    `ConditionFailed`.
    """

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read one row consistently; return None if it does not exist."""
        ...

    async def query(self, partition: str) -> list[Row]:
        """Read every row of a partition, in the order of the sort keys."""
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
            The row as written, its version above the expected one.

        Raises:
            ConditionFailed: The row has another version.
        """
        ...

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row if its version is still the expected one.

        Args:
            partition: Partition key.
            sort: Sort key.
            expected: Version that the row must have.

        Raises:
            ConditionFailed: The row has another version or does not exist.
        """
        ...


class ObjectStore(Protocol):
    """A store of whole objects by name.

    Reads are not consistent: they may miss an object or return an old one.
    """

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        ...

    async def get(self, name: str) -> bytes:
        """Read an object.

        Raises:
            ObjectNotFound: There is no object of that name.
        """
        ...


class InstanceRecord(NamedTuple):
    """One entry of the platform's instance list, which may be out of date."""

    name: str
    """The instance's name, unique among entry instances."""
    data_centre: str
    """Data centre in which the instance runs."""
    address: str
    """IP address."""
    http_port: int
    """Port of the HTTP server for callers and operators."""
    peer_port: int
    """Port of the links between instances."""
    state: str
    """`live` or `leaving`."""


class InstanceList(Protocol):
    """The platform's list of entry instances."""

    async def instances(self) -> list[InstanceRecord]:
        """Return the listed instances; the list may be out of date."""
        ...


class RowChange(NamedTuple):
    """A changed row, as of its latest change."""

    sort: str
    """Sort key, unique in its partition."""
    body: bytes | None
    """New content, or None if the row was deleted."""
    version: int
    """Version of the row or, if it was deleted, of its deletion."""


class Changes(NamedTuple):
    """Rows of one partition as of a version of the whole store."""

    rows: tuple[RowChange, ...]
    version: int
    """Version of the store that the rows reflect."""
    complete: bool
    """Whether `rows` contains all rows of the partition, not only changed rows."""


class ChangeFeed(Protocol):
    """Long polling for the changes of a partition.

    If the store comes back from an older copy of itself, versions are positions (see
    `position`), and `HistoryGone` is raised for a version of an earlier era.
    """

    async def snapshot(self, partition: str) -> Changes:
        """Read every row of a partition as of one version of the store.

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
            after: Version of the store up to which the caller has all changes.
            wait_seconds: Longest wait; the result has no rows if nothing changed.

        Raises:
            HistoryGone: The store no longer keeps the changes after that version.
            StoreUnavailable: The store did not answer.
        """
        ...
