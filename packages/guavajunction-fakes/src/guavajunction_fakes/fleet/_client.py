"""HTTP calls by which a launcher controls a fleet."""

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


class Control:
    """Waits for processes, sets faults, reads figures and calls operator routes."""

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
        """Wait until a process answers at a URL.

        Args:
            process: Whose answer it is.
            url: What is asked.
            within: Seconds to wait.
            accept: Whether a status is the one waited for.

        Raises:
            ProcessEnded: The process ended.
            StartTimeout: No such answer came in time.
        """
        deadline = time.monotonic() + within
        status = 0
        while time.monotonic() < deadline:
            process.check()
            status = await self._status(url)
            if accept(status):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise StartTimeout(
            f"{process.name}: {url} answered {status or 'nothing'} after"
            f" {within:g} s:\n{process.tail()}"
        )

    async def get(self, url: str) -> dict[str, Any]:
        """Return the JSON body at a URL."""
        async with self._session.get(url, timeout=CALL_TIMEOUT) as resp:
            return await _body(resp)

    async def send(self, method: str, url: str, body: Any) -> None:
        """Send JSON to a stand-in."""
        async with self._session.request(
            method, url, json=body, timeout=CALL_TIMEOUT
        ) as resp:
            await _body(resp)

    async def operate(
        self, method: str, url: str, token: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """Call an operator route.

        Args:
            method: HTTP method.
            url: Whole URL of the route.
            token: Operator token.
            body: Fields besides author and attempt id; None for no body.

        Returns:
            The JSON answer.

        Raises:
            OperationRefused: The status was not 200.
        """
        headers = {"Authorization": f"Bearer {token}"}
        if body is not None:
            attempt = {"author": self.AUTHOR, "attempt_id": uuid.uuid4().hex}
            body = {**attempt, **body}
        async with self._session.request(
            method, url, json=body, headers=headers, timeout=CALL_TIMEOUT
        ) as resp:
            return await _body(resp)

    async def _status(self, url: str) -> int:
        try:
            async with self._session.get(url, timeout=CALL_TIMEOUT) as resp:
                return resp.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


async def _body(resp: aiohttp.ClientResponse) -> dict[str, Any]:
    text = await resp.text()
    if resp.status >= 400:
        raise OperationRefused(f"{resp.method} {resp.url}: {resp.status} {text}")
    return await resp.json() if text else {}
