"""Writes claims to the table service so that lost answers do no harm."""

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


class ClaimTable:
    """Conditional writes of claims.

    A write whose answer is lost is sent again unchanged: at most one copy takes
    effect, and the attempt's identity in the row tells whose claim stands. A claim
    that is given up while a copy may still be on its way is recorded as not run.
    """

    WRITE_TRIES = 4

    def __init__(self, table: TableService, outcomes: OutcomeLog) -> None:
        self._table = table
        self._outcomes = outcomes

    async def write(self, key: ClaimKey, mine: ClaimRow, *, expected: int) -> Row:
        """Write a claim over a version of its row.

        Args:
            key: Where the claim is.
            mine: The claim.
            expected: Version of the row that may be replaced, 0 for none.

        Returns:
            The row that stands now: this claim's, or that of whoever was first.

        Raises:
            StoreUnavailableForRequest: Neither is known.
        """
        try:
            return await self._write(key, mine, expected)
        except StoreAnswerLost as exc:
            self._give_up(key, mine)
            raise _unavailable("true" if expected == 0 else "unknown") from exc
        except StoreUnavailable as exc:
            raise _unavailable("true" if expected == 0 else "unknown") from exc
        except asyncio.CancelledError:
            self._give_up(key, mine)
            raise

    async def read(self, key: ClaimKey) -> Row | None:
        """Read a claim that another send has made.

        Raises:
            StoreUnavailableForRequest: The store does not answer, and how the other
                send ended is not known.
        """
        try:
            return await self._table.get(*key)
        except PlatformError as exc:
            raise _unavailable("unknown") from exc

    async def _write(self, key: ClaimKey, mine: ClaimRow, expected: int) -> Row:
        lost = False
        for _ in range(self.WRITE_TRIES):
            try:
                return await self._table.put(*key, encode(mine), expected=expected)
            except ConditionFailed:
                row = await self._row_in_the_way(key, mine, lost=lost)
                if row is not None:
                    return row
                expected = 0
            except StoreAnswerLost:
                lost = True
            except StoreUnavailable:
                if not lost:
                    raise
        raise StoreAnswerLost("the claim may or may not have been written")

    async def _row_in_the_way(
        self, key: ClaimKey, mine: ClaimRow, *, lost: bool
    ) -> Row | None:
        try:
            return await self._table.get(*key)
        except PlatformError as exc:
            if lost:
                self._give_up(key, mine)
            raise _unavailable("unknown") from exc

    def _give_up(self, key: ClaimKey, mine: ClaimRow) -> None:
        self._outcomes.defer(key, mine.attempt, Outcome(NOT_RUN))


def _unavailable(not_run: str) -> StoreUnavailableForRequest:
    return StoreUnavailableForRequest(
        "the table service is needed for this request and does not answer",
        retry_after=RETRY_AFTER_SECONDS,
        not_run=not_run,
    )
