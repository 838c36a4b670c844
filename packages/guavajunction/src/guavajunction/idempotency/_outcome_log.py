"""Writes the outcomes of claims, with retries."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import (
    ConditionFailed,
    ObjectCorrupt,
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


class _PendingOutcome(NamedTuple):
    """An outcome that is not yet written to the table."""

    key: ClaimKey
    outcome: Outcome
    row: Row | None
    """The last known row of the claim, None if it must be read."""
    retry_until: float
    """Monotonic time in seconds after which the outcome is dropped."""
    is_logged: bool = False
    """Whether the deferral was logged."""


class OutcomeLog:
    """Records outcomes by compare-and-set and retries failed writes.

    A pending outcome is returned from memory. An outcome that is never written leaves
    the row in the state `claimed`. A repeated request is then refused with `InProgress`
    until the holder has certainly stopped, and with `OutcomeUnknown` afterwards; both
    say that it is unknown whether the request has run.
    """

    MAX_INLINE_BYTES = 8 * 1024
    """Largest body that is stored in the row; larger bodies are stored as objects."""

    MAX_PENDING_OUTCOMES = 200
    """Maximum number of pending outcomes; the oldest is dropped to add another."""

    MAX_PENDING_SECONDS = 900.0
    """Time for which the write of an outcome is retried."""

    WRITE_TRIES = 3
    """Conditional writes in one attempt to record an outcome."""

    def __init__(self, table: TableService, objects: ObjectStore, clock: Clock) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._pending: dict[str, _PendingOutcome] = {}

    def outcome(self, attempt: str) -> Outcome | None:
        """Return an attempt's outcome if its write is pending, else None."""
        pending = self._pending.get(attempt)
        return pending.outcome if pending else None

    async def record(
        self, key: ClaimKey, attempt: str, outcome: Outcome, row: Row | None = None
    ) -> None:
        """Write an outcome, or leave it pending for `retry` if the store fails.

        The arguments are those of `defer`.
        """
        self.defer(key, attempt, outcome, row)
        await self._try_write(attempt)

    def defer(
        self, key: ClaimKey, attempt: str, outcome: Outcome, row: Row | None = None
    ) -> None:
        """Add a pending outcome for `retry` without accessing the store.

        Args:
            key: Row key of the claim.
            attempt: Id of the attempt that ended.
            outcome: Outcome of the attempt.
            row: The claim's row; None to read the row before the write.
        """
        if len(self._pending) >= self.MAX_PENDING_OUTCOMES:
            self._drop(next(iter(self._pending)))
        retry_until = self._clock.monotonic() + self.MAX_PENDING_SECONDS
        self._pending[attempt] = _PendingOutcome(key, outcome, row, retry_until)

    async def retry(self) -> None:
        """Try to write all pending outcomes; stop at the first failure of the store."""
        for attempt in list(self._pending):
            if not await self._try_write(attempt):
                return

    async def answer(self, claim: ClaimRow) -> RecordedAnswer:
        """Return the recorded answer of a claim in the state `done`.

        Raises:
            PlatformError: The body of the answer could not be read.
        """
        body = claim.body
        if claim.body_object:
            body = await self._objects.get(claim.body_object)
            if _object_name(body) != claim.body_object:
                raise ObjectCorrupt(f"{claim.body_object} does not have its digest")
        return RecordedAnswer(claim.status, claim.headers, body)

    async def _try_write(self, attempt: str) -> bool:
        """Write one pending outcome; return False if the store failed."""
        pending = self._pending.get(attempt)
        if pending is None:
            return True
        try:
            written = await self._write(attempt, pending)
        except PlatformError as exc:
            self._record_failure(attempt, pending, exc.message)
            return False
        if written:
            self._pending.pop(attempt, None)
        else:
            self._record_failure(attempt, pending, "the claim is not in the table")
        return True

    async def _write(self, attempt: str, pending: _PendingOutcome) -> bool:
        """Write one outcome.

        Returns:
            False if the claim is not in the table; its write may still arrive.
        """
        row = pending.row
        for _ in range(self.WRITE_TRIES):
            row = row or await self._table.get(*pending.key)
            if row is None:
                return False
            claim = decode(row)
            if claim.attempt != attempt or claim.state != CLAIMED:
                return True
            body = encode(await self._settled_row(claim, pending.outcome))
            try:
                await self._table.put(*pending.key, body, expected=row.version)
            except (ConditionFailed, StoreAnswerLost):
                row = None
                continue
            return True
        raise StoreAnswerLost("the outcome may or may not have been written")

    async def _settled_row(self, claim: ClaimRow, outcome: Outcome) -> ClaimRow:
        settled = claim._replace(state=outcome.state)
        if outcome.answer is None:
            return settled
        status, headers, body = outcome.answer
        settled = settled._replace(status=status, headers=headers)
        if len(body) <= self.MAX_INLINE_BYTES:
            return settled._replace(body=body)
        name = _object_name(body)
        await self._objects.put(name, body)
        return settled._replace(body_object=name)

    def _record_failure(
        self, attempt: str, pending: _PendingOutcome, reason: str
    ) -> None:
        if self._clock.monotonic() >= pending.retry_until:
            self._drop(attempt)
            return
        self._pending[attempt] = pending._replace(row=None, is_logged=True)
        if not pending.is_logged:
            _events.OUTCOME_DEFERRED.log(
                attempt=attempt, state=pending.outcome.state, reason=reason
            )

    def _drop(self, attempt: str) -> None:
        dropped = self._pending.pop(attempt, None)
        if dropped is not None:
            _events.OUTCOME_DROPPED.log(attempt=attempt, state=dropped.outcome.state)


def _object_name(body: bytes) -> str:
    return f"once/{hashlib.sha256(body).hexdigest()}"
