"""HTTP client with which the launcher controls the processes of a fleet."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from typing import Any

import aiohttp

from guavajunction_fakes._errors import OperationRefused, StartTimeout

from ._process import FleetProcess

POLL_SECONDS = 0.05
CALL_TIMEOUT = aiohttp.ClientTimeout(total=10)


class FleetClient:
    """Sends requests to stand-ins and to the operator routes of entry instances."""

    AUTHOR = "fleet-launcher"

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def wait_until_served(
        self,
        process: FleetProcess,
        url: str,
        *,
        within: float,
        accept: Callable[[int], bool] = lambda status: status == 200,
    ) -> None:
        """Poll a URL until it responds with an accepted status.

        Args:
            process: Process that serves the URL.
            url: URL to poll with GET.
            within: Timeout in seconds.
            accept: Returns whether an HTTP status ends the wait.

        Raises:
            ProcessEnded: The process exited.
            StartTimeout: No accepted status was received within the timeout.
        """
        deadline = time.monotonic() + within
        status = 0
        while time.monotonic() < deadline:
            process.raise_if_ended()
            status = await self._status(url)
            if accept(status):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise StartTimeout(
            f"{process.name}: {url} returned no accepted status within"
            f" {within:g} s; last response: {status or 'nothing'}:\n{process.tail()}"
        )

    async def get(self, url: str) -> dict[str, Any]:
        """Send a GET request and return the JSON body.

        Raises:
            OperationRefused: The status was 400 or above.
        """
        async with self._session.get(url, timeout=CALL_TIMEOUT) as resp:
            return await _json_body(resp)

    async def send(self, method: str, url: str, body: Any) -> None:
        """Send a request with a JSON body to a stand-in.

        Raises:
            OperationRefused: The status was 400 or above.
        """
        async with self._session.request(
            method, url, json=body, timeout=CALL_TIMEOUT
        ) as resp:
            await _json_body(resp)

    async def call_operator(
        self, method: str, url: str, token: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """Call an operator route.

        Args:
            method: HTTP method.
            url: Complete URL of the route.
            token: Operator token.
            body: Fields to send in addition to `author` and `attempt_id`, which are
                added here; None sends no body.

        Returns:
            The JSON body of the response.

        Raises:
            OperationRefused: The status was 400 or above.
        """
        headers = {"Authorization": f"Bearer {token}"}
        if body is not None:
            attempt = {"author": self.AUTHOR, "attempt_id": uuid.uuid4().hex}
            body = {**attempt, **body}
        async with self._session.request(
            method, url, json=body, headers=headers, timeout=CALL_TIMEOUT
        ) as resp:
            return await _json_body(resp)

    async def _status(self, url: str) -> int:
        try:
            async with self._session.get(url, timeout=CALL_TIMEOUT) as resp:
                return resp.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


async def _json_body(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    text = await resp.text()
    if resp.status >= 400:
        raise OperationRefused(f"{resp.method} {resp.url}: {resp.status} {text}")
    return await resp.json() if text else {}
