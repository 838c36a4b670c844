"""Demo of a small fleet: sends requests of each kind and checks the responses."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from guavajunction_fakes.engine import expected_answer
from guavajunction_fakes.fleet import Fleet, get_profile
from guavajunction_fakes.load import LoadPlan, run_load

MODEL = "model-1"
MAX_TOKENS = 12


class _Response(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class Demo:
    """Runs a small fleet through a series of steps and prints each check."""

    READY_SECONDS = 20.0
    """Timeout until all models are ready."""
    ADMISSION_SECONDS = 20.0
    """Longest time until the chat across the planned stop is admitted."""
    LOAD = LoadPlan(seconds=6.0, scale=2.0)

    def __init__(self, var: Path) -> None:
        """Create a demo.

        Args:
            var: Folder for settings, secrets and logs.
        """
        self._fleet = Fleet(get_profile("demo"), var)
        self._session: aiohttp.ClientSession
        self._failed = 0

    async def run(self) -> int:
        """Run every step.

        Returns:
            The number of checks that failed.
        """
        async with aiohttp.ClientSession() as self._session, self._fleet:
            await self._fleet.wait_until_ready(within=self.READY_SECONDS)
            self._print_note(
                f"{len(self._fleet.urls)} entry instances,"
                f" {len(self._fleet.engines)} engines and"
                f" {len(self._fleet.services)} servers of a plain service are running"
            )
            for step in (
                self._directory,
                self._chat,
                self._retried_booking,
                self._refusals,
                self._revoked_key,
                self._killed_instance,
                self._planned_stop,
                self._load,
            ):
                await step()
        print(
            f"\n{self._failed} checks failed" if self._failed else "\nall checks passed"
        )
        return self._failed

    async def _directory(self) -> None:
        resp = await self._send("GET", "/v1/instances")
        names = [entry["name"] for entry in json.loads(resp.body)["instances"]]
        self._print_note(f"the directory ranks {', '.join(names)} for this customer")
        self._check("every instance is listed", len(names) == len(self._fleet.urls))

    async def _chat(self) -> None:
        resp = await self._send_chat("a caption for a blue coat")
        is_whole = self._is_whole_answer(resp, "a caption for a blue coat")
        self._check("a streamed chat is complete and correct", is_whole)
        explanation = await self._fleet.call_operator(
            "GET", f"explain/{resp.request_id}"
        )
        for decision in explanation["decisions"]:
            self._print_note(
                f"  {decision['what']}: {decision.get('artifact')} on"
                f" {decision.get('backend')}, because {decision.get('reason')}"
            )

    async def _retried_booking(self) -> None:
        first = await self._send_booking("demo-booking", entry=0)
        repeat = await self._send_booking("demo-booking", entry=1)
        service_stats = [
            await self._fleet.stats(url) for url in self._fleet.service_urls
        ]
        self._check(
            "a booking retried on another instance gets the same response",
            first.status == 201 and first.body == repeat.body,
        )
        self._check(
            "the booking ran once", sum(stats["runs"] for stats in service_stats) == 1
        )

    async def _refusals(self) -> None:
        burst = int(self._fleet.customers[1].plan.burst)
        key = self._fleet.customers[1].key
        requests = [
            self._send_chat(f"{i}", burst // 3, key=key, entry=i % 3) for i in range(6)
        ]
        refused = [a for a in await asyncio.gather(*requests) if a.status == 429]
        for resp in refused[:1]:
            error = json.loads(resp.body)["error"]
            self._print_note(
                f"  {error['message']}; retry after {error['retry_after']:.1f} s"
            )
        self._check("a customer that exceeds its burst is refused", bool(refused))
        unknown = await self._send_chat("hello", model="nobody")
        self._check(
            "an unknown model is refused with status 404", unknown.status == 404
        )

    async def _revoked_key(self) -> None:
        name = self._fleet.customers[0].plan.name
        issued = await self._fleet.call_operator("POST", "keys", {"customer": name})
        key = issued["key"]
        before = await self._send("GET", "/v1/models", key=key)
        await self._fleet.call_operator(
            "DELETE", f"keys/{issued['key_id']}", {}, index=2
        )
        after = before
        for _ in range(30):
            after = await self._send("GET", "/v1/models", key=key)
            if after.status == 401:
                break
            await asyncio.sleep(0.1)
        self._check(
            "a revoked key is refused on an open connection within 3 s",
            (before.status, after.status) == (200, 401),
        )

    async def _killed_instance(self) -> None:
        await self._fleet.kill(1)
        resp = await self._send_chat("is anybody there?")
        is_whole = self._is_whole_answer(resp, "is anybody there?")
        self._check("requests are served while one instance is killed", is_whole)
        await self._fleet.start(1)

    async def _planned_stop(self) -> None:
        prompt = "an answer that outlives the stop"
        chat = await self._begin_long_chat(prompt, entry=2)
        status = await self._fleet.stop(2)
        is_whole = self._is_whole_answer(await chat, prompt, 100)
        self._check(
            "a planned stop completes running answers and exits with status 0",
            is_whole and not status,
        )
        await self._fleet.start(2)

    async def _begin_long_chat(
        self, prompt: str, *, entry: int
    ) -> asyncio.Task[_Response]:
        """Return the task of a chat that the instance has admitted.

        After the kill of an instance the customer's units that it held are missing for
        some seconds, so the chat may first be refused. A refused chat is sent again
        after the time that the refusal names.
        """
        async with asyncio.timeout(self.ADMISSION_SECONDS):
            while True:
                chat = asyncio.create_task(self._send_chat(prompt, 100, entry=entry))
                await asyncio.wait({chat}, timeout=0.2)
                if not chat.done() or chat.result().status not in (429, 503):
                    return chat
                error = json.loads(chat.result().body)["error"]
                self._print_note(f"  {error['message']}")
                await asyncio.sleep(error["retry_after"])

    async def _load(self) -> None:
        report = await run_load(self._fleet.roster(), self.LOAD)
        print(report.table())
        violated = {k: v for k, v in report.as_dict()["promises"].items() if v}
        self._check("no guarantee was violated under load", not violated)

    async def _send_chat(
        self,
        prompt: str,
        max_tokens: int = MAX_TOKENS,
        *,
        model: str = MODEL,
        **kwargs: Any,
    ) -> _Response:
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        return await self._send("POST", "/v1/chat/completions", json=body, **kwargs)

    async def _send_booking(self, idempotency_key: str, *, entry: int) -> _Response:
        return await self._send(
            "POST",
            "/services/booking/bookings",
            entry=entry,
            headers={"Idempotency-Key": idempotency_key},
            data=b'{"studio": 7}',
        )

    async def _send(
        self,
        method: str,
        path: str,
        *,
        entry: int = 0,
        key: str = "",
        headers: dict[str, str] | None = None,
        **kwargs: Any,
    ) -> _Response:
        key = key or self._fleet.customers[0].key
        sent_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
        url = self._fleet.urls[entry] + path
        async with self._session.request(
            method, url, headers=sent_headers, **kwargs
        ) as resp:
            received = {name.lower(): value for name, value in resp.headers.items()}
            return _Response(resp.status, received, await resp.read())

    def _is_whole_answer(
        self, resp: _Response, prompt: str, max_tokens: int = MAX_TOKENS
    ) -> bool:
        lines = resp.body.decode().split("\n")
        events = [
            line.removeprefix("data: ") for line in lines if line.startswith("data: ")
        ]
        if resp.status != 200 or events[-1:] != ["[DONE]"]:
            return False
        chunks = [json.loads(event) for event in events[:-1]]
        text = "".join(c["choices"][0]["delta"].get("content", "") for c in chunks)
        return text == expected_answer(f"{MODEL}@1", prompt, max_tokens)

    def _check(self, description: str, passed: bool) -> None:
        self._failed += not passed
        print(f"{'ok    ' if passed else 'FAILED'} {description}", flush=True)

    def _print_note(self, note: str) -> None:
        print(f"       {note}", flush=True)
