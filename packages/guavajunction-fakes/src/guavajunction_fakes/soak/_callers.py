"""Concurrent callers that send the requests of a soak."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from yarl import URL

from guavajunction.connections import StrictConnector
from guavajunction_fakes.deployment import (
    HEADERS,
    HOST,
    CrashingRequest,
    LocalDeployment,
)

from ._history import Call

PLAIN_ROUTES = ("book", "look")
MODEL_ROUTES = ("draft", "long")
RESUMABLE_ROUTES = ("long",)


@dataclass
class _Answer:
    """What has arrived of a response."""

    status: int | None = None
    sealed: bool = False
    request_id: str | None = None
    body: bytearray = field(default_factory=bytearray)

    def added_to(self, call: Call) -> Call:
        """Return a call with all of the response but its status."""
        return call._replace(
            sealed=self.sealed, answered_id=self.request_id, body=bytes(self.body)
        )


class Callers:
    """Runs concurrent callers, each with its own persistent connections."""

    PAUSE_SECONDS = 0.04
    """Mean pause of a caller between two requests."""
    REQUEST_TIMEOUT_SECONDS = 4.0
    """Timeout of a request, also sent as its deadline."""
    MAX_RESUMES = 3
    """Maximum number of times that a caller resumes a broken stream."""
    DIRECTORY_CACHE_SECONDS = 1.0
    """Time for which a caller caches the directory's response; every third caller
    caches it three times as long."""
    CALLS_PER_REPEAT = 25
    """One of this many calls repeats the request on which all runners crash."""
    CALLS_PER_CRASHING_CALL = 12
    """One of this many requests to a model has the part on which engines crash."""
    ARTIFACTS = ("m1", "m1", "m1/a1", "m1/a2", "m2", "m2/a1")
    """Models and adapters to choose from; a repeated one is chosen more often."""

    def __init__(
        self,
        deployment: LocalDeployment,
        seed: int,
        next_key: Callable[[], str],
        crashing_part: str = "",
        crashing_request: CrashingRequest | None = None,
    ) -> None:
        """Create the callers.

        Args:
            deployment: Deployment that receives the requests.
            seed: Seed of the random requests.
            next_key: Returns the API key of the next request.
            crashing_part: Part that some prompts have; empty for none.
            crashing_request: Request that is repeated now and then, if any.
        """
        self.calls: list[Call] = []
        """Requests with their results, in the order in which the requests ended."""
        self._deployment = deployment
        self._seed = seed
        self._next_key = next_key
        self._crashing_part = crashing_part
        self._crashing_request = crashing_request
        self._sent = 0

    async def run(self, count: int) -> None:
        """Send requests until cancelled.

        Args:
            count: Number of callers.
        """
        async with asyncio.TaskGroup() as tasks:
            for number in range(count):
                tasks.create_task(self._run_caller(number))

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        cache_seconds = self.DIRECTORY_CACHE_SECONDS * (3 if number % 3 == 0 else 1)
        addresses: list[str] = []
        resolved_at = float("-inf")
        async with aiohttp.ClientSession(connector=StrictConnector()) as session:
            while True:
                if time.monotonic() - resolved_at > cache_seconds or not addresses:
                    addresses = await self._resolve(rng) or addresses
                    resolved_at = time.monotonic()
                if addresses:
                    await self._send_and_resume(session, rng, addresses)
                await asyncio.sleep(rng.expovariate(1 / self.PAUSE_SECONDS))

    async def _resolve(self, rng: random.Random) -> list[str]:
        names = list(self._deployment.instances)
        for name in rng.sample(names, len(names)):
            try:
                async with asyncio.timeout(1.0):
                    if found := await self._deployment.resolve(name):
                        return found
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return []

    async def _send_and_resume(
        self, session: aiohttp.ClientSession, rng: random.Random, addresses: list[str]
    ) -> None:
        """Send a request; resume its stream, at any instance, if it breaks."""
        kind = rng.choice([*PLAIN_ROUTES, *MODEL_ROUTES])
        target = f"/{kind}/x%2Fy/{rng.randrange(100)}?q=%20"
        crashing = kind in MODEL_ROUTES and self._is_crashing()
        repeated = self._crashing_request
        if repeated is not None and self._sent % self.CALLS_PER_REPEAT == 0:
            kind, target, crashing = "look", repeated.target, True
        call = Call(
            request_id=self._next_id(),
            kind=kind,
            target=target,
            key=self._next_key(),
            sent_at=time.monotonic(),
            crashing=crashing,
        )
        artifact = rng.choice(self.ARTIFACTS) if kind in MODEL_ROUTES else ""
        call = await self._send_request(session, rng, addresses, call, artifact)
        for _ in range(self.MAX_RESUMES):
            broken = call.status is None and call.last_event > 0
            if kind not in RESUMABLE_ROUTES or not broken or not addresses:
                return
            call = Call(
                request_id=self._next_id(),
                kind=kind,
                target=call.target,
                key=call.key,
                sent_at=time.monotonic(),
                resumes=call.stream,
                resume_after=call.last_event,
                crashing=call.crashing,
            )
            call = await self._send_request(session, rng, addresses, call, artifact)

    def _is_crashing(self) -> bool:
        due = self._sent % self.CALLS_PER_CRASHING_CALL == 0
        return bool(self._crashing_part) and due

    def _next_id(self) -> str:
        self._sent += 1
        return f"s{self._seed}-{self._sent}"

    def _parts_of(self, call: Call) -> str:
        if call.crashing:
            return f"aa:30,{self._crashing_part}:40,{call.request_id}:30"
        return "aa:30,bb:70"

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        rng: random.Random,
        addresses: list[str],
        call: Call,
        artifact: str,
    ) -> Call:
        address = rng.choice(addresses)
        answer = _Answer()
        try:
            async with asyncio.timeout(self.REQUEST_TIMEOUT_SECONDS):
                await self._exchange(session, address, call, artifact, answer)
        except (aiohttp.ClientError, TimeoutError, OSError):
            addresses.remove(address)
            call = answer.added_to(call)
        else:
            call = answer.added_to(call)._replace(status=answer.status)
        finally:
            self.calls.append(call)
        return call

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        address: str,
        call: Call,
        artifact: str,
        answer: _Answer,
    ) -> None:
        """Send one request and receive its answer.

        Args:
            session: HTTP session of the caller.
            address: Address of the instance, `host:port`.
            call: The request.
            artifact: Model or adapter of the request; empty for a plain service.
            answer: Filled as the response arrives.
        """
        headers = {
            "Host": HOST,
            HEADERS.request_id: call.request_id,
            HEADERS.deadline: str(round(self.REQUEST_TIMEOUT_SECONDS * 1000)),
            HEADERS.key: f"Token {call.key}",
        }
        if call.kind in MODEL_ROUTES:
            headers |= {
                HEADERS.model: artifact,
                HEADERS.tokens: "100,20",
                HEADERS.parts: self._parts_of(call),
            }
        if call.resumes:
            headers[HEADERS.resumes] = call.resumes
            headers[HEADERS.last_event] = str(call.resume_after)
        url = URL(f"http://{address}{call.target}", encoded=True)
        method = "GET" if call.kind == "look" else "POST"
        data = None if call.kind == "look" else b"a body"
        async with session.request(method, url, headers=headers, data=data) as resp:
            answer.status = resp.status
            answer.sealed = HEADERS.seal in resp.headers
            answer.request_id = resp.headers.get(HEADERS.request_id)
            async for chunk in resp.content.iter_any():
                answer.body += chunk
