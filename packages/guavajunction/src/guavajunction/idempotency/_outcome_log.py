"""Writes the outcomes of claims, again if need be."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import (
    ConditionFailed,
    PlatformError,
    StoreAnswerLost,
)
from guavajunction.storage import ObjectStore, Row, TableService

from . import _events
from ._model import (
    CLAIMED,
    ClaimKey,
    ClaimRow,
    Outcome,
    RecordedAnswer,
    decode,
    encode,
)


class _Pending(NamedTuple):
    """An outcome that is not written yet."""

    key: ClaimKey
    outcome: Outcome
    row: Row | None
    """The claim's row as last known, None if it must be read."""
    give_up_at: float
    """Monotonic time in seconds."""
    is_told: bool = False
    """Whether the log says that it waits."""


class OutcomeLog:
    """Records outcomes by compare-and-set and keeps those that failed for later.

    An outcome that waits is answered from memory meanwhile. One that was never
    written leaves the row claimed: a repeat is told that the outcome is unknown,
    never that the request has not run.
    """

    INLINE_BYTES = 8 * 1024
    """Larger bodies go to the object store."""

    MAX_PENDING = 200
    MAX_PENDING_SECONDS = 900.0
    WRITE_TRIES = 3

    def __init__(self, table: TableService, objects: ObjectStore, clock: Clock) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._pending: dict[str, _Pending] = {}

    def outcome(self, attempt: str) -> Outcome | None:
        """Return an attempt's outcome if it waits to be written."""
        pending = self._pending.get(attempt)
        return pending.outcome if pending else None

    async def record(
        self, key: ClaimKey, attempt: str, outcome: Outcome, row: Row | None = None
    ) -> None:
        """Write an outcome, or keep it for `retry` if the store fails."""
        self.defer(key, attempt, outcome, row)
        await self._try(attempt)

    def defer(
        self, key: ClaimKey, attempt: str, outcome: Outcome, row: Row | None = None
    ) -> None:
        """Keep an outcome for `retry` without waiting for the store.

        Args:
            key: Where the claim is.
            attempt: The attempt that ended.
            outcome: How it ended.
            row: The claim's row, if the attempt knows it.
        """
        if len(self._pending) >= self.MAX_PENDING:
            self._drop(next(iter(self._pending)))
        give_up_at = self._clock.monotonic() + self.MAX_PENDING_SECONDS
        self._pending[attempt] = _Pending(key, outcome, row, give_up_at)

    async def retry(self) -> None:
        """Try once more to write each outcome that waits."""
        for attempt in list(self._pending):
            if not await self._try(attempt):
                return

    async def answer(self, claim: ClaimRow) -> RecordedAnswer:
        """Return the recorded answer of a row that is done.

        Raises:
            PlatformError: The answer's body could not be read.
        """
        body = claim.body
        if claim.body_object:
            body = await self._objects.get(claim.body_object)
        return RecordedAnswer(claim.status, claim.headers, body)

    async def _try(self, attempt: str) -> bool:
        """Write one outcome; False if the store failed."""
        pending = self._pending.get(attempt)
        if pending is None:
            return True
        try:
            written = await self._write(attempt, pending)
        except PlatformError as exc:
            self._note_failure(attempt, pending, exc.message)
            return False
        if written:
            self._pending.pop(attempt, None)
        else:
            self._note_failure(attempt, pending, "the claim is not in the table")
        return True

    async def _write(self, attempt: str, pending: _Pending) -> bool:
        """Write one outcome; False if its claim may still be on its way."""
        row = pending.row
        for _ in range(self.WRITE_TRIES):
            row = row or await self._table.get(*pending.key)
            if row is None:
                return False
            claim = decode(row)
            if claim.attempt != attempt or claim.state != CLAIMED:
                return True
            body = encode(await self._settled(claim, pending.outcome))
            try:
                await self._table.put(*pending.key, body, expected=row.version)
            except (ConditionFailed, StoreAnswerLost):
                row = None
                continue
            return True
        raise StoreAnswerLost("the outcome may or may not have been written")

    async def _settled(self, claim: ClaimRow, outcome: Outcome) -> ClaimRow:
        settled = claim._replace(state=outcome.state)
        if outcome.answer is None:
            return settled
        status, headers, body = outcome.answer
        settled = settled._replace(status=status, headers=headers)
        if len(body) <= self.INLINE_BYTES:
            return settled._replace(body=body)
        name = f"once/{hashlib.sha256(body).hexdigest()}"
        await self._objects.put(name, body)
        return settled._replace(body_object=name)

    def _note_failure(self, attempt: str, pending: _Pending, reason: str) -> None:
        if self._clock.monotonic() >= pending.give_up_at:
            self._drop(attempt)
            return
        self._pending[attempt] = pending._replace(row=None, is_told=True)
        if not pending.is_told:
            _events.OUTCOME_DEFERRED.log(
                attempt=attempt, state=pending.outcome.state, reason=reason
            )

    def _drop(self, attempt: str) -> None:
        dropped = self._pending.pop(attempt, None)
        if dropped is not None:
            _events.OUTCOME_DROPPED.log(attempt=attempt, state=dropped.outcome.state)
