"""Lets each non-idempotent request be sent by one attempt only."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable

from guavajunction.clock import Clock
from guavajunction.errors import (
    InProgress,
    InstanceNotReady,
    KeyReused,
    OutcomeUnknown,
    PlatformError,
    StoreUnavailableForRequest,
)
from guavajunction.peers import PeerId
from guavajunction.storage import ObjectStore, Row, TableService

from ._claim import Claim
from ._claim_key import claim_key
from ._claim_table import RETRY_AFTER_SECONDS, ClaimTable
from ._members import Members
from ._model import (
    CLAIMED,
    DONE,
    NOT_RUN,
    UNKNOWN,
    ClaimKey,
    ClaimRow,
    Outcome,
    RecordedAnswer,
    decode,
)
from ._outcome_log import OutcomeLog
from ._sweeper import Sweeper


class OnceRegister:
    """Claims in the table service, one for each customer's idempotency key.

    A claim is inserted before the first byte of a request leaves. It is never taken
    from its holder, since a paused holder may still send. Only a claim whose holder
    recorded that no byte was sent can be claimed anew.
    """

    STEP_SECONDS = 1.0

    RETENTION_SECONDS = 7 * 86_400.0
    """How long a repeat is recognised."""

    ANSWER_POLLS = 3
    """How often a repeat looks whether the first send has been answered."""

    ANSWER_POLL_SECONDS = 0.3

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        me: PeerId,
        clock: Clock,
        members: Members,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._me = me
        self._clock = clock
        self._members = members
        self._wall = wall
        self._outcomes = OutcomeLog(table, objects, clock)
        self._claims = ClaimTable(table, self._outcomes)
        self._sweeper = Sweeper(table, me, members, wall)

    async def claim(
        self, customer: str, idempotency_key: str, request_hash: str
    ) -> Claim | RecordedAnswer:
        """Claim a request, or return the answer that it had before.

        Args:
            customer: Name of the customer; keys of two customers never meet.
            idempotency_key: As the caller gave it.
            request_hash: Hash of method, path and body.

        Raises:
            InstanceNotReady: This instance may not send now.
            KeyReused: The key was used with a different request.
            InProgress: The first send has not ended yet.
            OutcomeUnknown: The request was sent and how it ended is not known.
            StoreUnavailableForRequest: The claim could not be made or read.
        """
        if not self._members.standing():
            raise InstanceNotReady("the instance may not serve now", retry_after=1.0)
        key = claim_key(customer, idempotency_key)
        mine = self._new_claim(request_hash)
        row: Row | None = await self._claims.write(key, mine, expected=0)
        for _ in range(self.ANSWER_POLLS):
            found = await self._settle(key, row, mine)
            if found is not None:
                return found
            await self._clock.sleep(self.ANSWER_POLL_SECONDS)
            row = await self._claims.read(key)
        raise InProgress(
            "the first send of this idempotency key has not ended; ask again with it",
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def run(self) -> None:
        """Write deferred outcomes and sweep; runs until it is cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self.STEP_SECONDS)

    async def step(self) -> None:
        """Write deferred outcomes and sweep one partition."""
        await self._outcomes.retry()
        await self._sweeper.step()

    def _new_claim(self, request_hash: str) -> ClaimRow:
        return ClaimRow(
            CLAIMED,
            secrets.token_hex(16),
            self._me.incarnation,
            request_hash,
            self._wall() + self.RETENTION_SECONDS,
        )

    async def _settle(
        self, key: ClaimKey, row: Row | None, mine: ClaimRow
    ) -> Claim | RecordedAnswer | None:
        """Return what a row allows, or None while its send is in progress."""
        if row is None:
            row = await self._claims.write(key, mine, expected=0)
        found = decode(row)
        if found.request_hash != mine.request_hash:
            raise KeyReused("the idempotency key was used with a different request")
        outcome = self._outcome(found)
        if outcome.state == NOT_RUN:
            row = await self._claims.write(key, mine, expected=row.version)
            found = decode(row)
        if found.attempt == mine.attempt:
            return Claim(key, row, self._members, self._outcomes)
        if outcome.state == NOT_RUN:
            return None
        if outcome.state == DONE:
            return outcome.answer or await self._recorded(found)
        if outcome.state == UNKNOWN or not await self._may_still_end(found):
            raise OutcomeUnknown(
                "the request was sent and how it ended is not known; asking again"
                " with the same idempotency key does not send it again"
            )
        return None

    def _outcome(self, found: ClaimRow) -> Outcome:
        """Return the outcome of a row, or the one that waits to be written to it."""
        waiting = self._outcomes.outcome(found.attempt)
        return waiting or Outcome(found.state)

    async def _recorded(self, found: ClaimRow) -> RecordedAnswer:
        try:
            return await self._outcomes.answer(found)
        except PlatformError as exc:
            raise StoreUnavailableForRequest(
                "the request ran, but its recorded answer cannot be read now",
                retry_after=RETRY_AFTER_SECONDS,
                not_run="false",
            ) from exc

    async def _may_still_end(self, found: ClaimRow) -> bool:
        try:
            members = await self._members.unrevoked_members()
        except PlatformError as exc:
            raise StoreUnavailableForRequest(
                "it is not known whether the first send is still in progress",
                retry_after=RETRY_AFTER_SECONDS,
                not_run="unknown",
            ) from exc
        return any(member.incarnation == found.holder for member in members)
