"""Routes inference requests: slot, send, relay, resume and retry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import aiohttp

from guavajunction.clock import Clock
from guavajunction.configuration import Configuration
from guavajunction.errors import (
    AnswerCut,
    BackendFailed,
    GuavaError,
    NoReplica,
    RequestError,
)

from . import _events as events
from ._answer import AnswerSink, AnswerSummary, AnswerTimes
from ._decision_log import DecisionLog
from ._dispatcher import Dispatcher, Grant
from ._engine_call import (
    ConnectionLost,
    EngineCall,
    EngineRefused,
    EngineRequest,
    NotBegun,
    StreamCut,
)
from ._model import Replicas
from ._retry_budget import RetryBudget


class InferenceRouter:
    """Sends requests to model engines and relays the answers."""

    MAX_ATTEMPTS = 4
    """Maximum number of connections per request."""
    MAX_LOST_BACKENDS = 2
    """A request fails once this number of backend servers have closed its connection
    before its answer began: it may be what they crash on."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dispatcher: Dispatcher,
        replicas: Replicas,
        budget: RetryBudget,
        decisions: DecisionLog,
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        self._session = session
        self._dispatcher = dispatcher
        self._replicas = replicas
        self._budget = budget
        self._decisions = decisions
        self._configuration = configuration
        self._clock = clock

    async def route(
        self,
        engine_req: EngineRequest,
        sink: AnswerSink,
        times: AnswerTimes,
        check_allowed: Callable[[], None],
    ) -> AnswerSummary:
        """Send one request and relay its answer.

        Args:
            engine_req: The request.
            sink: Writes the answer to the caller.
            times: Records latencies.
            check_allowed: Called after each wait for a slot, before the answer begins.
                Raises a `RequestError` if the request may no longer run.

        Returns:
            A summary of the answer.

        Raises:
            Overloaded: No slot can be granted before the deadline.
            NoReplica: No backend server has the artifact ready.
            BackendFailed: All attempts failed before an answer began.
            AnswerCut: The answer began but could not be completed.
            ConnectionError: The caller has disconnected.
        """
        self._budget.deposit()
        call = EngineCall(self._session, engine_req, sink, times, self._decisions)
        failures: Counter[str] = Counter()
        failure: GuavaError = NoReplica("no attempt was made")
        may_have_run = False
        last: Grant | None = None
        lost: set[str] = set()
        for _ in range(self.MAX_ATTEMPTS):
            try:
                is_first_grant = last is None
                last = await self._next_grant(engine_req, call, last, failures)
                if is_first_grant:
                    times.on_slot_granted()
                return await self._attempt(call, last, check_allowed)
            except RequestError as exc:
                raise _error_for_caller(exc, call, may_have_run=may_have_run) from exc
            except (NotBegun, StreamCut) as exc:
                failure = exc
                may_have_run = may_have_run or isinstance(exc, StreamCut)
                self._record_failure(engine_req, last, exc, call, failures)
                if isinstance(exc, ConnectionLost) and not call.has_begun:
                    lost.add(last.backend)
            if len(lost) >= self.MAX_LOST_BACKENDS:
                failure = ConnectionLost(
                    f"{len(lost)} backend servers closed the connection, the last one: "
                    f"{failure.message}"
                )
                break
            if not call.has_begun and not self._budget.try_withdraw():
                self._decisions.note(events.NO_RETRY_LEFT, engine_req.req.request_id)
                break
            await self._clock.sleep(self._budget.backoff())
        error = BackendFailed(failure.message, retry_after=1.0, not_run="true")
        raise _error_for_caller(error, call, may_have_run=may_have_run)

    async def _next_grant(
        self,
        engine_req: EngineRequest,
        call: EngineCall,
        last: Grant | None,
        failures: Counter[str],
    ) -> Grant:
        """Return the slot for the next connection.

        A stream that has begun is resumed on the same backend server, which keeps it.
        Otherwise backend servers on which the request failed are excluded as long as
        other replicas are ready.
        """
        if last is not None and call.has_begun:
            return self._dispatcher.reacquire(last)
        ready = {state.name for state in self._replicas.ready(engine_req.req.artifact)}
        if ready - failures.keys():
            return await self._dispatcher.acquire(engine_req.req, frozenset(failures))
        return await self._dispatcher.acquire(engine_req.req)

    async def _attempt(
        self, call: EngineCall, grant: Grant, check_allowed: Callable[[], None]
    ) -> AnswerSummary:
        used = 0.0
        try:
            if not call.has_begun:
                check_allowed()
            backend = self._configuration().backends.get(grant.backend)
            if backend is None:
                raise NotBegun(f"{grant.backend} left the configuration")
            summary = await call.run(backend.name, backend.address)
            used = summary.output_tokens + (summary.prompt_tokens or 0.0)
            return summary
        finally:
            self._dispatcher.release(grant, used or call.output_tokens)

    def _record_failure(
        self,
        engine_req: EngineRequest,
        grant: Grant,
        exc: NotBegun | StreamCut,
        call: EngineCall,
        failures: Counter[str],
    ) -> None:
        failures[grant.backend] += 1
        if not isinstance(exc, EngineRefused):
            self._replicas.note_failure(grant.backend)
        self._decisions.note(
            events.RESUMED if call.has_begun else events.RETRIED,
            engine_req.req.request_id,
            backend=grant.backend,
            reason=exc.message,
            tokens=call.output_tokens,
        )


def _error_for_caller(
    exc: RequestError, call: EngineCall, *, may_have_run: bool
) -> RequestError:
    """Return the error for the caller; `not_run` accounts for all attempts."""
    if call.has_begun:
        return AnswerCut(f"the answer was cut: {exc.message}")
    if may_have_run and exc.not_run == "true":
        exc.not_run = "unknown"
    return exc
