"""HTTP client of a running fleet for system tests."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import aiohttp

from guavajunction_fakes.engine import expected_answer
from guavajunction_fakes.fleet import Fleet


class Answer(NamedTuple):
    """One HTTP response."""

    status: int
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        return self.json["error"]

    @property
    def events(self) -> list[bytes]:
        """Data of each server-sent event in the body."""
        lines = self.body.split(b"\n")
        return [x.removeprefix(b"data: ") for x in lines if x.startswith(b"data: ")]

    @property
    def is_complete(self) -> bool:
        return self.status == 200 and self.events[-1:] == [b"[DONE]"]

    @property
    def text(self) -> str:
        """Generated text of a streamed chat completion."""
        chunks = [json.loads(data) for data in self.events if data != b"[DONE]"]
        parts = [c["choices"][0]["delta"].get("content", "") for c in chunks]
        return "".join(parts)


class FleetCaller:
    """Sends requests to entry instances with one customer's key."""

    TIMEOUT = aiohttp.ClientTimeout(total=30)

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session
        self.key = fleet.customers[0].key

    async def send(
        self,
        method: str,
        path: str,
        *,
        entry: int = 0,
        key: str | None = "",
        headers: dict[str, str] | None = None,
        **kwargs: Any,
    ) -> Answer:
        """Send a request to an entry instance.

        Args:
            method: HTTP method.
            path: Path of the URL.
            entry: Index of the instance.
            key: API key; empty for the key of this client, None for no key.
            headers: Additional headers.
            kwargs: Further arguments of `aiohttp.ClientSession.request`.
        """
        all_headers = dict(headers or {})
        if key is not None:
            all_headers["Authorization"] = f"Bearer {key or self.key}"
        url = self.fleet.urls[entry] + path
        async with self.session.request(
            method, url, headers=all_headers, timeout=self.TIMEOUT, **kwargs
        ) as resp:
            resp_headers = {name.lower(): value for name, value in resp.headers.items()}
            return Answer(resp.status, resp_headers, await resp.read())

    async def chat(
        self,
        prompt: str,
        *,
        model: str = "model-1",
        max_tokens: int = 8,
        stream: bool = True,
        fields: dict[str, Any] | None = None,
        **kwargs: Any,
    ) -> Answer:
        """Send a chat completion request."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
            **(fields or {}),
        }
        return await self.send("POST", "/v1/chat/completions", json=body, **kwargs)

    async def book(self, idempotency_key: str, body: str = "{}", **kwargs: Any):
        """Send a booking, a non-idempotent call that must run at most once."""
        headers = {"Idempotency-Key": idempotency_key}
        return await self.send(
            "POST", "/services/booking/bookings", headers=headers, data=body, **kwargs
        )

    async def runs(self, idempotency_key: str) -> int:
        """Return how many times the plain service ran a booking."""
        total = 0
        for url in self.fleet.service_urls:
            async with self.session.get(f"{url}/runs") as resp:
                runs = (await resp.json())["runs"]
            total += sum(run["idempotency_key"] == idempotency_key for run in runs)
        return total


def is_expected_answer(answer: Answer, prompt: str, max_tokens: int = 8) -> bool:
    """Return whether a stream is complete and has the expected text for a prompt."""
    return answer.is_complete and answer.text == expected_answer(
        "model-1@1", prompt, max_tokens
    )
