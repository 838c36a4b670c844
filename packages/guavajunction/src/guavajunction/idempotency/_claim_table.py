"""Writes claims to the table service and handles lost replies."""

from __future__ import annotations

import asyncio

from guavajunction.errors import (
    ConditionFailed,
    PlatformError,
    StoreAnswerLost,
    StoreUnavailable,
    StoreUnavailableForRequest,
)
from guavajunction.storage import Row, TableService

from ._model import NOT_RUN, ClaimKey, ClaimRow, Outcome, encode
from ._outcome_log import OutcomeLog

RETRY_AFTER_SECONDS = 1.0
"""`Retry-After` if a claim is in progress or the store is unavailable."""


class ClaimTable:
    """Writes claims conditionally.

    A write without a reply is sent again unchanged. At most one copy takes effect, and
    the attempt id in the row shows which attempt has the claim. If the writer gives up
    while a copy may still arrive, it records the outcome `not_run` for its attempt.
    """

    WRITE_TRIES = 4
    """Attempts to write one claim before the caller receives an error."""

    def __init__(self, table: TableService, outcomes: OutcomeLog) -> None:
        self._table = table
        self._outcomes = outcomes

    async def write(self, key: ClaimKey, new_claim: ClaimRow, *, expected: int) -> Row:
        """Write a claim if its row has the expected version.

        Args:
            key: Row key of the claim.
            new_claim: The claim to write.
            expected: Version of the row to replace, 0 to insert.

        Returns:
            The current row: the new claim, or the claim of another attempt that was
            written first.

        Raises:
            StoreUnavailableForRequest: The store does not reply, so the current row is
                not known.
        """
        try:
            return await self._write(key, new_claim, expected)
        except StoreAnswerLost as exc:
            self._record_not_run(key, new_claim)
            raise _unavailable("true" if expected == 0 else "unknown") from exc
        except StoreUnavailable as exc:
            raise _unavailable("true" if expected == 0 else "unknown") from exc
        except asyncio.CancelledError:
            self._record_not_run(key, new_claim)
            raise

    async def read(self, key: ClaimKey) -> Row | None:
        """Read the current claim of a key; None if there is none.

        Raises:
            StoreUnavailableForRequest: The store does not reply, so the outcome of
                the other attempt is not known.
        """
        try:
            return await self._table.get(*key)
        except PlatformError as exc:
            raise _unavailable("unknown") from exc

    async def _write(self, key: ClaimKey, new_claim: ClaimRow, expected: int) -> Row:
        reply_lost = False
        for _ in range(self.WRITE_TRIES):
            try:
                return await self._table.put(*key, encode(new_claim), expected=expected)
            except ConditionFailed:
                row = await self._conflicting_row(key, new_claim, reply_lost=reply_lost)
                if row is not None:
                    return row
                # The row was deleted meanwhile, so the claim is inserted.
                expected = 0
            except StoreAnswerLost:
                reply_lost = True
            except StoreUnavailable:
                if not reply_lost:
                    raise
        raise StoreAnswerLost("the claim may or may not have been written")

    async def _conflicting_row(
        self, key: ClaimKey, new_claim: ClaimRow, *, reply_lost: bool
    ) -> Row | None:
        try:
            return await self._table.get(*key)
        except PlatformError as exc:
            if reply_lost:
                self._record_not_run(key, new_claim)
            raise _unavailable("unknown") from exc

    def _record_not_run(self, key: ClaimKey, new_claim: ClaimRow) -> None:
        self._outcomes.defer(key, new_claim.attempt, Outcome(NOT_RUN))


def _unavailable(not_run: str) -> StoreUnavailableForRequest:
    return StoreUnavailableForRequest(
        "the table service is needed for this request and does not answer",
        retry_after=RETRY_AFTER_SECONDS,
        not_run=not_run,
    )
