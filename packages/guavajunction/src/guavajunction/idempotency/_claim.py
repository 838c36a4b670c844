"""The exclusive right of one attempt to send a non-idempotent request."""

from __future__ import annotations

from collections.abc import Iterable
from types import TracebackType

from guavajunction.errors import InstanceNotReady
from guavajunction.storage import Row

from . import _events
from ._members import Members
from ._model import (
    DONE,
    NOT_RUN,
    UNKNOWN,
    ClaimKey,
    Outcome,
    RecordedAnswer,
    decode,
)
from ._outcome_log import OutcomeLog


class Claim:
    """A claimed request, to be used as an asynchronous context manager.

    Call `check` after the last `await` before the request is sent. When the request
    has ended, call one of `done`, `not_run` and `unknown`. If the context is left
    without an outcome, the claim records `not_run` if `check` never succeeded, and
    `unknown` otherwise.
    """

    def __init__(
        self, key: ClaimKey, row: Row, members: Members, outcomes: OutcomeLog
    ) -> None:
        self.attempt = decode(row).attempt
        """Random id of this attempt."""
        self._key = key
        self._row = row
        self._members = members
        self._outcomes = outcomes
        self._checked = False
        self._settled = False

    async def __aenter__(self) -> Claim:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._settled:
            return
        # Not written here, because a cancellation of the task may be in progress.
        state = UNKNOWN if self._checked else NOT_RUN
        _events.CLAIM_UNSETTLED.log(attempt=self.attempt, state=state)
        self._settled = True
        self._outcomes.defer(self._key, self.attempt, Outcome(state), self._row)

    def check(self) -> None:
        """Confirm that the request may be sent now, before any further `await`.

        Raises:
            InstanceNotReady: This instance can no longer prove that it is a member;
                the request has not been sent.
        """
        if not self._members.standing():
            raise InstanceNotReady("the instance may not serve now", retry_after=1.0)
        self._checked = True

    async def done(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Record the answer, so that a repeated request receives the same answer.

        If the store fails, the method returns and the answer is written later.

        Args:
            status: HTTP status.
            headers: Names and values of the headers.
            body: The complete body.
        """
        answer = RecordedAnswer(status, tuple(headers), body)
        await self._settle(Outcome(DONE, answer))

    async def not_run(self) -> None:
        """Record that no byte of the request was sent."""
        await self._settle(Outcome(NOT_RUN))

    async def unknown(self) -> None:
        """Record that the request was sent and may or may not have run."""
        await self._settle(Outcome(UNKNOWN))

    async def _settle(self, outcome: Outcome) -> None:
        if self._settled:
            return
        self._settled = True
        await self._outcomes.record(self._key, self.attempt, outcome, self._row)
