"""Deletes expired claims."""

from __future__ import annotations

from collections.abc import Callable

from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.peers import PeerId
from guavajunction.storage import Row, TableService

from . import _events
from ._claim_key import PARTITIONS, partition
from ._members import Members
from ._model import decode


class Sweeper:
    """Deletes expired claims in the partitions that this instance is responsible for.

    Rendezvous hashing assigns each partition to a live member.
    """

    def __init__(
        self,
        table: TableService,
        me: PeerId,
        members: Members,
        unix_time: Callable[[], float],
    ) -> None:
        self._table = table
        self._me = me
        self._members = members
        self._unix_time = unix_time
        self._next_partition = 0

    async def step(self) -> None:
        """Sweep the next partition if it is assigned to this instance."""
        name = partition(self._next_partition)
        self._next_partition = (self._next_partition + 1) % PARTITIONS
        if self._members.owner_of(name) != self._me:
            return
        try:
            await self._sweep(name)
        except PlatformError as exc:
            _events.SWEEP_FAILED.log(partition=name, reason=exc.message)

    async def _sweep(self, name: str) -> None:
        rows = await self._table.query(name)
        expired = [row for row in rows if decode(row).expires_at <= self._unix_time()]
        for row in expired:
            await self._delete(row)
        if expired:
            _events.CLAIMS_EXPIRED.log(partition=name, count=len(expired))

    async def _delete(self, row: Row) -> None:
        try:
            await self._table.delete(row.partition, row.sort, expected=row.version)
        except ConditionFailed:
            return
