"""Joins the instances' reports of crashes, through peers and through the store.

Peers learn of a report at once, also while the store is away. The store reaches
instances that are cut off from the others or start later, and keeps the reports if all
instances end. Each start of an instance writes one row, which only it changes.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.fleet import Relay
from guavajunction.peers import Links, PeerId
from guavajunction.quarantine import Evidence, PartQuarantine
from guavajunction.storage import Changes, RowChange, TableService, era_of

from . import _events as events

PARTITION = "crash"
"""Partition with the reports of each start of an instance."""
TRIAL_PARTITION = "crash-trial"
"""Partition with the parts whose one attempt has been claimed."""


class EvidenceNotice(NamedTuple):
    """Sends all reports of an instance to its peers."""

    source: str
    number: int
    """Counts the notices of the source; a lower number is older."""
    evidence: Evidence


class QuarantineLinks:
    """Publishes this instance's reports and applies those of the others."""

    SETTLE_SECONDS = 0.1
    """Interval at which crashes are confirmed while any wait for it."""
    RETRY_SECONDS = 0.5
    """Mean pause before a row is written again; the jitter is 50 % in both
    directions."""
    MAX_CLAIMS = 256
    """Number of own claims that are written again if the store loses them."""
    MAX_REMOVED_ROWS = 8
    """Number of expired rows that are removed after one read of all rows."""

    def __init__(
        self,
        table: TableService,
        me: PeerId,
        quarantine: PartQuarantine,
        clock: Clock,
    ) -> None:
        self._table = table
        self._source = f"{me.name}.{me.incarnation}"
        self._quarantine = quarantine
        self._clock = clock
        self._rng = random.Random(me.incarnation)
        self._changed = asyncio.Event()
        self._rows_due = asyncio.Event()
        self._number = 0
        self._newest_numbers: dict[str, int] = {}
        self._body: bytes | None = None
        self._row_version: int | None = 0
        self._written = True
        self._expired: list[RowChange] = []
        self._claims: dict[str, None] = {}
        self._unwritten_claims: list[str] = []
        self._era = 0
        self._relay: Relay | None = None
        quarantine.on_change = self._changed.set
        quarantine.claim_trial = self._claim_trial

    def connect(self, links: Links, relay: Relay) -> None:
        """Exchange reports with peers from now on."""
        self._relay = relay
        links.handle(EvidenceNotice, self._on_notice)

    async def run(self) -> None:
        """Publish this instance's reports until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._settle_crashes())
            tasks.create_task(self._maintain_rows())

    async def _settle_crashes(self) -> None:
        while True:
            if self._quarantine.unsettled:
                await self._clock.sleep(self.SETTLE_SECONDS)
            else:
                await self._changed.wait()
            self._changed.clear()
            evidence = self._quarantine.settle()
            if evidence is not None:
                self._publish(evidence)

    async def _maintain_rows(self) -> None:
        """Write this instance's row, and remove expired ones.

        Peers are told without waiting for the store, which may be silent.
        """
        while True:
            await self._rows_due.wait()
            self._rows_due.clear()
            while not self._written:
                self._written = True
                if not await self._attempt("write", self._write):
                    self._written = False
                    pause = self.RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                    await self._clock.sleep(pause)
            await self._write_claims_again()
            await self._remove_expired()

    def apply(self, changes: Changes) -> None:
        """Apply rows that were read from the store."""
        sources = set()
        for row in changes.rows:
            sources.add(row.sort)
            if row.sort != self._source and row.body is not None:
                self._apply_row(row, row.body)
        if changes.complete:
            own = {row.sort: row.body for row in changes.rows}.get(self._source)
            if own != self._body and self._is_newer_than_row(changes.version):
                # The store has lost the row.
                self._written = False
            self._quarantine.adopt_missing(sources)
        if era_of(changes.version) > self._era:
            self._era = era_of(changes.version)
            self._unwritten_claims = list(self._claims)
            self._written = self._body is None
        if not self._written or self._expired or self._unwritten_claims:
            self._rows_due.set()

    def _is_newer_than_row(self, version: int) -> bool:
        """Return whether rows of a version must contain this instance's row.

        Rows that a peer relays may be older than the row.
        """
        return bool(self._row_version) and version >= self._row_version

    def _apply_row(self, row: RowChange, body: bytes) -> None:
        try:
            evidence = msgspec.msgpack.decode(body, type=Evidence)
        except msgspec.DecodeError as exc:
            events.DOCUMENT_REFUSED.log(reason=f"crash reports {row.sort!r}: {exc}")
            return
        if not self._quarantine.is_expired(evidence):
            self._quarantine.merge(row.sort, evidence)
        elif len(self._expired) < self.MAX_REMOVED_ROWS:
            self._expired.append(row)

    def _publish(self, evidence: Evidence) -> None:
        self._body = msgspec.msgpack.encode(evidence)
        self._written = False
        self._rows_due.set()
        self._number += 1
        if self._relay is not None:
            notice = EvidenceNotice(self._source, self._number, evidence)
            self._relay.broadcast(notice)

    async def _on_notice(self, peer: PeerId, notice: EvidenceNotice) -> None:
        newest = self._newest_numbers.get(notice.source, 0)
        if notice.source == self._source or notice.number <= newest:
            return
        self._newest_numbers.pop(notice.source, None)
        self._newest_numbers[notice.source] = notice.number
        drop_oldest(self._newest_numbers, PartQuarantine.MAX_SOURCES)
        self._quarantine.merge(notice.source, notice.evidence)
        if self._relay is not None:
            self._relay.forward(peer, notice)

    async def _write(self) -> None:
        assert self._body is not None
        body = self._body
        if self._row_version is None:
            row = await self._table.get(PARTITION, self._source)
            self._row_version = row.version if row else 0
        expected, self._row_version = self._row_version, None
        row = await self._table.put(PARTITION, self._source, body, expected=expected)
        self._row_version = row.version

    async def _remove_expired(self) -> None:
        while self._expired:
            row = self._expired.pop()
            await self._attempt("remove", self._remove, row)

    async def _remove(self, row: RowChange) -> None:
        await self._table.delete(PARTITION, row.sort, expected=row.version)

    async def _claim_trial(self, part: str) -> bool:
        claimed = await self._attempt("claim", self._insert_trial, part)
        if claimed:
            self._claims[part] = None
            drop_oldest(self._claims, self.MAX_CLAIMS)
        return claimed

    async def _write_claims_again(self) -> None:
        """Write the claims that a store which came back from a copy may have lost.

        A claim that exists already is refused. One that fails otherwise is not
        repeated, because the reports of crashes also limit the attempts.
        """
        while self._unwritten_claims:
            part = self._unwritten_claims.pop()
            await self._attempt("claim", self._insert_trial, part)

    async def _insert_trial(self, part: str) -> None:
        body = self._source.encode()
        await self._table.put(TRIAL_PARTITION, part, body, expected=0)

    async def _attempt(
        self, call: str, func: Callable[..., Awaitable[None]], *args: object
    ) -> bool:
        """Call the store; return whether the call has certainly taken effect."""
        try:
            await func(*args)
        except (PlatformError, ConditionFailed) as exc:
            events.CRASH_ROW_FAILED.log(
                call=call, reason=type(exc).__name__, detail=exc.message
            )
            return False
        return True
