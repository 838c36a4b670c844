"""Compares whole HTTP sessions with golden files.

After an intended change, run `pytest tests/system/test_golden_sessions.py
--update-golden` and review the diff.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from wire_session import WireSession, check_golden

pytestmark = pytest.mark.asyncio(loop_scope="module")

GOLDEN = Path(__file__).parent / "golden"
JSON = "Content-Type: application/json"


def chat(prompt: str, *, max_tokens: int = 4, stream: bool = True, model="model-1"):
    return json.dumps(
        {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
    )


@pytest.fixture
def golden(request):
    update = request.config.getoption("--update-golden")

    def check(name: str, session: WireSession) -> None:
        check_golden(GOLDEN / f"{name}.txt", session.transcript(), update=update)

    return check


async def open_session(fleet, index: int = 0) -> WireSession:
    session = WireSession()
    entry = fleet.entries[index]
    await session.connect(entry.http_port, entry.name)
    return session


class TestSessions:
    """Responses are the same in each run, except for the normalised values."""

    async def test_streamed_chat(self, fleet, golden):
        session = await open_session(fleet)
        key = fleet.customers[0].key
        await session.send_request(
            f"POST /v1/chat/completions\n{JSON}", key, chat("a coat")
        )
        body = chat("a coat", stream=False)
        await session.send_request(f"POST /v1/chat/completions\n{JSON}", key, body)
        await session.send_request("GET /v1/models", key)
        session.close()
        golden("streamed_chat", session)

    async def test_booking_with_its_repeat(self, fleet, golden):
        session = await open_session(fleet)
        key = fleet.customers[0].key
        head = "POST /services/booking/bookings\nIdempotency-Key: golden-1"
        await session.send_request(head, key, '{"studio": 7}')
        await session.send_request(head, key, '{"studio": 7}')
        await session.connect(fleet.entries[1].http_port, fleet.entries[1].name)
        await session.send_request(head, key, '{"studio": 7}')
        await session.send_request(head, key, '{"studio": 8}')
        session.close()
        golden("booking_with_its_repeat", session)

    async def test_refusals(self, fleet, golden):
        session = await open_session(fleet)
        key = fleet.customers[0].key
        post = f"POST /v1/chat/completions\n{JSON}"
        await session.send_request("GET /nowhere")
        await session.send_request("GET /v1/models")
        await session.send_request("GET /v1/models", "gj_unknown")
        await session.send_request("GET /v1/chat/completions", key)
        await session.send_request("GET /services/nobody/x", key)
        await session.send_request("DELETE /services/booking/bookings", key)
        await session.send_request(post, key, "{")
        await session.send_request("POST /v1/chat/completions", key, "{}")
        await session.send_request(post, key, chat("hello", model="nobody"))
        await session.send_request(post, key, chat("hello", max_tokens=100_000))
        session.close()
        golden("refusals", session)

    async def test_key_withdrawn_on_an_open_connection(self, fleet, golden):
        session = await open_session(fleet)
        name = fleet.customers[0].plan.name
        issued = await fleet.call_operator("POST", "keys", {"customer": name})
        session.note(f"a key is issued to {name}")
        await session.send_request(
            f"POST /v1/completions\n{JSON}", issued["key"], COMPLETION_BODY
        )
        await fleet.call_operator("DELETE", f"keys/{issued['key_id']}", {})
        session.note("the key is withdrawn")
        await session.send_request(
            f"POST /v1/completions\n{JSON}", issued["key"], COMPLETION_BODY
        )
        session.close()
        golden("key_withdrawn_on_an_open_connection", session)

    async def test_configuration_change(self, fleet, golden):
        session = await open_session(fleet)
        key = fleet.customers[0].key
        before = fleet.document()
        after = before.replace('"/availability"', '"/availability/now"')
        assert after != before
        await session.send_request("GET /services/booking/availability")
        await apply(fleet, after)
        session.note("the open route moves to /availability/now")
        await session.send_request("GET /services/booking/availability", key)
        await apply(fleet, before)
        session.note("the change is taken back by a new version")
        await session.send_request("GET /services/booking/availability")
        session.close()
        golden("configuration_change", session)

    async def test_rolling_stop(self, fleet, golden):
        session = await open_session(fleet, 2)
        key = fleet.customers[0].key
        await session.send_request("GET /healthz")
        stop = asyncio.create_task(fleet.stop(2))
        await asyncio.sleep(0.5)
        session.note("the instance is asked to stop")
        await session.send_request(
            f"POST /v1/chat/completions\n{JSON}", key, chat("a coat")
        )
        session.note(f"closed by the instance: {await session.is_closed()}")
        session.note(f"exit status: {await stop}")
        await fleet.start(2)
        session.close()
        golden("rolling_stop", session)


COMPLETION_BODY = json.dumps({"model": "model-2", "prompt": "a hat", "max_tokens": 3})


async def apply(fleet, document: str) -> None:
    """Apply a document and wait until it is in force on every instance."""
    current = await fleet.call_operator("POST", "diff", {"document": document})
    body = {"document": document, "based_on": current["based_on"]}
    accepted = await fleet.call_operator("POST", "apply", body)
    for _ in range(30):
        if await in_force(fleet, accepted["version"]):
            return
        await asyncio.sleep(0.1)
    pytest.fail("the change is not in force everywhere within 3 s")


async def in_force(fleet, version: int) -> bool:
    status = await fleet.call_operator("GET", "status")
    return all(entry["version"] == version for entry in status["instances"])
