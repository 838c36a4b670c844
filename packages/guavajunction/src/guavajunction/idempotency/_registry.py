"""Ensures that only one attempt sends a request with an idempotency key."""

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


class IdempotencyRegistry:
    """Manages one claim in the table service for each idempotency key of a customer.

    A claim is inserted before the first byte of a request is sent. It is never taken
    over from its holder, since a paused holder may still send the request. A request
    can be claimed again only if the holder has recorded that no byte was sent.
    """

    STEP_SECONDS = 1.0
    """Interval of the background work."""

    RETENTION_SECONDS = 7 * 86_400.0
    """Time for which a repeated request is recognised."""

    ANSWER_POLLS = 3
    """Reads of the claim by a repeated request while the first is in progress."""

    ANSWER_POLL_SECONDS = 0.3
    """Pause before each of the `ANSWER_POLLS` reads."""

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        me: PeerId,
        clock: Clock,
        members: Members,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        """Create the registry of one instance.

        Args:
            table: Stores the claims.
            objects: Stores the bodies of large answers.
            me: Identity of this incarnation.
            clock: Source of monotonic time.
            members: The fleet's members.
            unix_time: Returns the Unix time in seconds.
        """
        self._me = me
        self._clock = clock
        self._members = members
        self._unix_time = unix_time
        self._outcomes = OutcomeLog(table, objects, clock)
        self._claims = ClaimTable(table, self._outcomes)
        self._sweeper = Sweeper(table, me, members, unix_time)

    async def claim(
        self, customer: str, idempotency_key: str, request_hash: str
    ) -> Claim | RecordedAnswer:
        """Claim a request, or return its recorded answer.

        Args:
            customer: Name of the customer; each customer has its own key space.
            idempotency_key: The key from the request.
            request_hash: Hash of method, path and body.

        Raises:
            InstanceNotReady: This instance may not send requests now.
            KeyReused: The key was used with a different request.
            InProgress: The first attempt has not ended yet.
            OutcomeUnknown: The request was sent and its outcome is not known.
            StoreUnavailableForRequest: The claim could not be written or read.
        """
        if not self._members.standing():
            raise InstanceNotReady("the instance may not serve now", retry_after=1.0)
        key = claim_key(customer, idempotency_key)
        new_claim = self._new_claim(request_hash)
        row: Row | None = await self._claims.write(key, new_claim, expected=0)
        for _ in range(self.ANSWER_POLLS):
            claim_or_answer = await self._resolve(key, row, new_claim)
            if claim_or_answer is not None:
                return claim_or_answer
            await self._clock.sleep(self.ANSWER_POLL_SECONDS)
            row = await self._claims.read(key)
        raise InProgress(
            "the first send of this idempotency key has not ended; ask again with it",
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def run(self) -> None:
        """Write pending outcomes and delete expired claims until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self.STEP_SECONDS)

    async def step(self) -> None:
        """Write pending outcomes and delete the expired claims of one partition."""
        await self._outcomes.retry()
        await self._sweeper.step()

    def _new_claim(self, request_hash: str) -> ClaimRow:
        return ClaimRow(
            CLAIMED,
            secrets.token_hex(16),
            self._me.incarnation,
            request_hash,
            self._unix_time() + self.RETENTION_SECONDS,
        )

    async def _resolve(
        self, key: ClaimKey, row: Row | None, new_claim: ClaimRow
    ) -> Claim | RecordedAnswer | None:
        """Return the claim or answer for a row, or None while it is in progress."""
        if row is None:
            row = await self._claims.write(key, new_claim, expected=0)
        stored = decode(row)
        if stored.request_hash != new_claim.request_hash:
            raise KeyReused("the idempotency key was used with a different request")
        outcome = self._outcome(stored)
        if outcome.state == NOT_RUN:
            row = await self._claims.write(key, new_claim, expected=row.version)
            stored = decode(row)
        if stored.attempt == new_claim.attempt:
            return Claim(key, row, self._members, self._outcomes)
        if outcome.state == NOT_RUN:
            return None
        if outcome.state == DONE:
            return outcome.answer or await self._recorded_answer(stored)
        if outcome.state == UNKNOWN or not await self._may_still_end(stored):
            raise OutcomeUnknown(
                "the request was sent and how it ended is not known; asking again"
                " with the same idempotency key does not send it again"
            )
        return None

    def _outcome(self, stored: ClaimRow) -> Outcome:
        """Return the pending outcome of a claim's attempt, or the stored state."""
        pending = self._outcomes.outcome(stored.attempt)
        return pending or Outcome(stored.state)

    async def _recorded_answer(self, stored: ClaimRow) -> RecordedAnswer:
        try:
            return await self._outcomes.answer(stored)
        except PlatformError as exc:
            raise StoreUnavailableForRequest(
                "the request ran, but its recorded answer cannot be read now",
                retry_after=RETRY_AFTER_SECONDS,
                not_run="false",
            ) from exc

    async def _may_still_end(self, stored: ClaimRow) -> bool:
        """Return whether the holder may still act and record an outcome."""
        try:
            members = await self._members.unrevoked_members()
        except PlatformError as exc:
            raise StoreUnavailableForRequest(
                "it is not known whether the first send is still in progress",
                retry_after=RETRY_AFTER_SECONDS,
                not_run="unknown",
            ) from exc
        return any(member.incarnation == stored.holder for member in members)
