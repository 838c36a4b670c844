"""Sends the requests of one customer, checks the answers, and retries if allowed."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import time
from typing import Any, NamedTuple

import aiohttp

from guavajunction_fakes._errors import NoInstance
from guavajunction_fakes.engine import expected_answer
from guavajunction_fakes.fleet import CustomerAccess, Roster

from ._arrivals import Arrival, LoadPlan
from ._bucket import ClientTokenBucket
from ._chat_stream import ChatStream
from ._directory import DirectoryCache
from ._outcome import Outcome, Refusal, Verdict


class _Attempt(NamedTuple):
    """Result of one attempt to send a request."""

    verdict: Verdict
    sent: float
    """Monotonic time at which the attempt began, in seconds."""
    times: list[float]
    """Monotonic time of each token, or of the answer to a call, in seconds."""
    used: float = 0.0
    """Tokens charged; 0 if unknown or none."""
    refusal: Refusal | None = None


class Caller:
    """Sends requests as one customer from one data centre."""

    ANSWER_TIMEOUT_SECONDS = 120.0
    MAX_RETRY_AFTER_SECONDS = 5.0
    DEFAULT_RETRY_DELAY_SECONDS = 0.2
    """Delay before a retry if there was no response or it has no `retry_after`."""
    CHANGE_INSTANCE_TYPES = frozenset({"instance_not_ready", "store_unavailable"})
    """Error types after which the caller switches to another instance."""
    UNKNOWN_OUTCOME_TYPES = frozenset({"in_progress", "outcome_unknown"})
    """Error types after which a call may be retried with the same idempotency key."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        access: CustomerAccess,
        roster: Roster,
        plan: LoadPlan,
        data_centre: str,
        run_id: str,
    ) -> None:
        """Create a caller.

        Args:
            session: HTTP session of this caller.
            access: The customer and its key.
            roster: Addresses of the fleet.
            plan: Load plan, which sets the number of retries and the seed.
            data_centre: Data centre of the caller.
            run_id: Prefix of idempotency keys, unique for each run.
        """
        self._session = session
        self._roster = roster
        self._plan = plan
        self._run_id = run_id
        self._name = access.plan.name
        self._headers = {"Authorization": f"Bearer {access.key}"}
        self.directory = DirectoryCache(
            session,
            roster.entries,
            access.key,
            data_centre,
            f"{plan.seed}/{self._name}",
        )
        """Directory of instances to connect to."""
        self._token_bucket = ClientTokenBucket(
            access.plan.rate, access.plan.burst, time.monotonic()
        )

    async def send_request(self, arrival: Arrival, scheduled_at: float) -> Outcome:
        """Send a request, with retries, and return its outcome.

        Args:
            arrival: The request.
            scheduled_at: Monotonic time at which the request is scheduled, in seconds.
        """
        send_delay = time.monotonic() - scheduled_at
        refusals: list[Refusal] = []
        first_inside_rate = False
        for attempt in range(self._plan.retries + 1):
            cost = arrival.reserved_tokens
            inside_rate = self._token_bucket.charge(cost, time.monotonic())
            first_inside_rate = first_inside_rate or (attempt == 0 and inside_rate)
            result = await self._send_once(arrival, inside_rate)
            self._token_bucket.refund(
                cost - _max_used_tokens(result, cost), time.monotonic()
            )
            if result.refusal is not None:
                refusals.append(result.refusal)
            if not self._may_retry(arrival, result):
                break
            if attempt < self._plan.retries:
                await asyncio.sleep(self._retry_delay(result))
        outcome = self._outcome(
            arrival, scheduled_at, result, refusals, first_inside_rate
        )
        return outcome._replace(send_delay=send_delay)

    async def _send_once(self, arrival: Arrival, inside_rate: bool) -> _Attempt:
        sent = time.monotonic()
        try:
            url = await self.directory.best_url()
        except NoInstance:
            return _Attempt(Verdict.UNREACHABLE, sent, [])
        sent = time.monotonic()
        send = self._call if arrival.kind == "call" else self._chat
        try:
            result = await send(url, arrival, sent, inside_rate)
        except aiohttp.ClientConnectorError:
            self.directory.mark_failed(url)
            return _Attempt(Verdict.UNREACHABLE, sent, [])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            self.directory.mark_failed(url)
            return _Attempt(Verdict.CUT, sent, [])
        if (
            result.refusal is not None
            and result.refusal.type in self.CHANGE_INSTANCE_TYPES
        ):
            self.directory.mark_failed(url)
        return result

    async def _chat(
        self, url: str, arrival: Arrival, sent: float, inside_rate: bool
    ) -> _Attempt:
        body = {
            "model": arrival.model,
            "messages": arrival.messages,
            "max_tokens": arrival.max_tokens,
            "stream": True,
        }
        if arrival.kind == "batch":
            body["service_tier"] = "flex"
        stream = ChatStream()
        async with self._session.post(
            f"{url}/v1/chat/completions",
            json=body,
            headers=self._headers,
            timeout=self._timeout(),
        ) as resp:
            if resp.status != 200:
                return _refused_attempt(sent, await resp.json(), inside_rate)
            try:
                await stream.read(resp)
            except aiohttp.ClientError:
                return _Attempt(Verdict.CUT, sent, stream.token_times)
        if stream.error is not None:
            refused = _refused_attempt(sent, {"error": stream.error}, inside_rate)
            return refused._replace(
                verdict=Verdict.CUT if stream.token_times else Verdict.REFUSED
            )
        return self._evaluate_stream(arrival, stream, sent)

    def _evaluate_stream(
        self, arrival: Arrival, stream: ChatStream, sent: float
    ) -> _Attempt:
        expected = expected_answer(
            arrival.model, arrival.prompt_text, arrival.max_tokens
        )
        if not stream.ended:
            verdict = Verdict.CUT
        elif stream.text == expected:
            verdict = Verdict.WHOLE
        elif expected.startswith(stream.text):
            verdict = Verdict.CUT_AS_WHOLE
        else:
            verdict = Verdict.WRONG
        return _Attempt(
            verdict,
            sent,
            stream.token_times,
            stream.total_tokens or arrival.reserved_tokens,
        )

    async def _call(
        self, url: str, arrival: Arrival, sent: float, inside_rate: bool
    ) -> _Attempt:
        service = self._roster.service
        path = service.change_prefix
        if service.change_method == "PUT":
            path = f"{path}/{self._idempotency_key(arrival)}"
        headers = {
            **self._headers,
            "Idempotency-Key": self._idempotency_key(arrival),
            "Content-Type": "application/json",
        }
        payload = json.dumps({"order": arrival.prompt}).encode()
        async with self._session.request(
            service.change_method,
            f"{url}/services/{service.name}{path}",
            data=payload,
            headers=headers,
            timeout=self._timeout(),
        ) as resp:
            body = await resp.json()
            answered = time.monotonic()
        if "error" in body:
            return _refused_attempt(sent, body, inside_rate)
        digest_matches = body.get("body_sha256") == hashlib.sha256(payload).hexdigest()
        verdict = (
            Verdict.WHOLE if digest_matches and resp.status == 201 else Verdict.WRONG
        )
        return _Attempt(verdict, sent, [answered], arrival.reserved_tokens)

    def _may_retry(self, arrival: Arrival, result: _Attempt) -> bool:
        if result.verdict is Verdict.UNREACHABLE:
            return True
        if arrival.kind == "call" and result.verdict in (Verdict.CUT, Verdict.UNKNOWN):
            return True
        refusal = result.refusal
        if refusal is None or result.verdict is not Verdict.REFUSED:
            return False
        return refusal.not_run == "true" and refusal.retry_after is not None

    def _retry_delay(self, result: _Attempt) -> float:
        if result.refusal is None or result.refusal.retry_after is None:
            return self.DEFAULT_RETRY_DELAY_SECONDS
        return min(result.refusal.retry_after, self.MAX_RETRY_AFTER_SECONDS)

    def _idempotency_key(self, arrival: Arrival) -> str:
        return f"{self._run_id}-{self._name}-{arrival.number}"

    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=self.ANSWER_TIMEOUT_SECONDS)

    def _outcome(
        self,
        arrival: Arrival,
        scheduled_at: float,
        result: _Attempt,
        refusals: list[Refusal],
        inside_rate: bool,
    ) -> Outcome:
        start = scheduled_at - arrival.at
        times = result.times
        began = times[0] if times else time.monotonic()
        return Outcome(
            arrival=arrival,
            verdict=result.verdict,
            first_token=began - scheduled_at,
            gaps=[later - earlier for earlier, later in itertools.pairwise(times)],
            refusals=refusals,
            sent=result.sent - start,
            began=began - start,
            used=result.used,
            inside_rate=inside_rate,
            idempotency_key=(
                self._idempotency_key(arrival) if arrival.kind == "call" else ""
            ),
        )


def _max_used_tokens(result: _Attempt, cost: float) -> float:
    """Return the tokens that an attempt used, or an upper bound if unknown.

    Args:
        result: Result of the attempt.
        cost: Tokens that the attempt reserved.
    """
    if result.verdict is Verdict.UNREACHABLE:
        return 0.0
    if result.refusal is not None and result.refusal.not_run == "true":
        return 0.0
    return result.used or cost


def _refused_attempt(sent: float, body: dict[str, Any], inside_rate: bool) -> _Attempt:
    error = body["error"]
    refusal = Refusal(
        type=str(error["type"]),
        not_run=str(error.get("not_run", "")),
        request_id=str(error.get("request_id", "")),
        retry_after=error.get("retry_after"),
        inside_rate=inside_rate,
    )
    unknown = refusal.type in Caller.UNKNOWN_OUTCOME_TYPES
    verdict = Verdict.UNKNOWN if unknown else Verdict.REFUSED
    return _Attempt(verdict, sent, [], refusal=refusal)
