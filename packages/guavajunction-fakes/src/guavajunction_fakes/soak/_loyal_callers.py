"""Callers that use one instance until nothing accepts their connections."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator

import aiohttp

from guavajunction.connections import StrictConnector
from guavajunction_fakes.deployment import HEADERS, HOST, LocalDeployment

from ._history import Call

STREAM_ROUTE = "draft"


class LoyalCallers:
    """Keeps sending bookings and streams to an instance that is about to end.

    Real callers use their open connections, and the address that they have cached, for
    as long as the instance answers.
    """

    REQUEST_SECONDS = 4.0
    """Deadline of a request."""
    PAUSE_SECONDS = 0.02
    """Pause after a request that was not served."""
    STAGGER_SECONDS = 0.1
    """Time between the starts of two callers, so that streams are under way at any
    time."""
    BEFORE_SECONDS = 2.0
    """Time for which the instance serves before it gets the signal."""
    END_SECONDS = 6.0
    """Time in which the process must have ended."""

    def __init__(
        self, deployment: LocalDeployment, name: str, key: str, prefix: str
    ) -> None:
        """Create the callers.

        Args:
            deployment: Deployment with the instance.
            name: Name of the instance.
            key: API key of the requests.
            prefix: Start of the ids of the requests.
        """
        self.calls: list[Call] = []
        """Requests with their results, in the order in which they ended. Those that
        could not be sent are left out."""
        self.signalled_at = float("inf")
        """When the instance got the signal, on the monotonic clock."""
        self.exit_status: int | None = None
        """Exit status of the instance."""
        self._deployment = deployment
        self._name = name
        self._key = key
        self._prefix = prefix

    async def run(self, count: int, signum: signal.Signals, streams: int = 0) -> None:
        """Let the instance end by a signal while callers use it.

        Args:
            count: Number of callers.
            signum: `SIGTERM` or `SIGKILL`.
            streams: Number of these callers that send streams.
        """
        running = [
            asyncio.ensure_future(self._run_caller(number, number < streams))
            for number in range(count)
        ]
        await asyncio.sleep(self.BEFORE_SECONDS)
        process = self._deployment.instances[self._name]
        self.signalled_at = time.monotonic()
        if signum is signal.SIGKILL:
            await process.kill()
        else:
            await process.stop(within=self.END_SECONDS)
        self.exit_status = process.exit_status
        await asyncio.wait_for(asyncio.gather(*running), 2 * self.REQUEST_SECONDS)

    async def _run_caller(self, number: int, sends_streams: bool) -> None:
        kind = STREAM_ROUTE if sends_streams else "book"
        await asyncio.sleep(number * self.STAGGER_SECONDS)
        async with aiohttp.ClientSession(connector=StrictConnector(limit=1)) as session:
            for count in range(100_000):
                name = f"{self._prefix}-{number}-{count}"
                call = Call(name, kind, f"/{kind}/{name}", self._key, time.monotonic())
                try:
                    call = await self._send(session, call, number)
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError:
                    # The connection was closed without a complete answer.
                    pass
                self.calls.append(call)
                if call.status != 200:
                    await asyncio.sleep(self.PAUSE_SECONDS)

    async def _send(
        self, session: aiohttp.ClientSession, call: Call, number: int
    ) -> Call:
        headers = {
            "Host": HOST,
            HEADERS.request_id: call.request_id,
            HEADERS.deadline: str(round(self.REQUEST_SECONDS * 1000)),
            HEADERS.key: f"Token {call.key}",
        }
        if call.kind == STREAM_ROUTE:
            headers |= {
                HEADERS.model: "m1",
                HEADERS.tokens: "100,20",
                HEADERS.parts: f"aa:30,{call.request_id}:70",
            }
        body = _chunks() if number % 5 == 0 else b"a body"
        url = self._deployment.front_url(self._name) + call.target
        async with session.post(url, headers=headers, data=body) as resp:
            received = await resp.read()
            return call._replace(
                status=resp.status,
                sealed=HEADERS.seal in resp.headers,
                answered_id=resp.headers.get(HEADERS.request_id),
                body=received,
            )


async def _chunks() -> AsyncIterator[bytes]:
    """Yield a body, which is then sent in chunks."""
    yield b"a "
    yield b"body"
