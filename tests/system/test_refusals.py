"""Refusals of each kind, as callers receive them from real instances."""

from __future__ import annotations

import asyncio

import pytest

from fleet_caller import is_expected_answer
from guavajunction.connections import open_stream

pytestmark = pytest.mark.asyncio(loop_scope="module")

CHAT = "/v1/chat/completions"
JSON = {"Content-Type": "application/json"}


async def send_raw(fleet, text: bytes, *, half_close: bool = False) -> bytes:
    """Send bytes on a new connection and return the response bytes."""
    entry = fleet.entries[0]
    async with open_stream("127.0.0.1", entry.http_port) as (reader, writer):
        writer.write(text)
        if half_close:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), 10)


class TestKeys:
    """Requests without a valid key of a customer are refused."""

    @pytest.mark.parametrize(
        ("key", "kind"),
        [(None, "key_missing"), ("gj_0_0", "key_refused"), ("x y", "key_refused")],
    )
    async def test_missing_or_unknown_key(self, caller, key, kind):
        answer = await caller.chat("hello", key=key)
        assert (answer.status, answer.error["type"]) == (401, kind)
        assert answer.error["not_run"] == "true"
        assert answer.error["request_id"] == answer.headers["x-request-id"]

    async def test_request_with_the_key_in_forwarded_content_is_refused(self, caller):
        chat = await caller.chat(f"my key is {caller.key}")
        booking = await caller.book("key-1", caller.key)
        path = await caller.send("GET", f"/services/booking/availability/{caller.key}")
        for answer in (chat, booking, path):
            assert (answer.status, answer.error["type"]) == (400, "bad_request")
            assert caller.key not in answer.error["message"]

    @pytest.mark.parametrize(
        "suffix",
        [
            "/availability/../bookings",
            "/availability/%2e%2e/bookings",
            "/availability/..%2fbookings",
            "/availability/%2e%2e%2Fbookings",
            "/availability/..%5cbookings",
        ],
    )
    async def test_path_traversal_from_an_open_route_is_refused(self, fleet, suffix):
        head = f"GET /services/booking{suffix} HTTP/1.1\r\nHost: x\r\nConnection: close"
        answer = await send_raw(fleet, f"{head}\r\n\r\n".encode())
        assert b"400" in answer.split(b"\r\n")[0]
        assert b'"bad_request"' in answer

    async def test_open_route_needs_no_key(self, caller):
        answer = await caller.send("GET", "/services/booking/availability", key=None)
        assert answer.status == 200


class TestBodies:
    """Invalid request bodies are refused with a typed error."""

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            b'{"messages": []}',
            b'{"model": 7, "messages": []}',
            b'{"model": "model-1", "messages": "hello"}',
            b'{"model": "model-1", "max_tokens": 0}',
            b'{"model": "model-1", "max_tokens": "many"}',
            b'{"model": "model-1", "stream": "yes"}',
        ],
    )
    async def test_malformed_body(self, caller, body):
        answer = await caller.send("POST", CHAT, data=body, headers=JSON)
        assert (answer.status, answer.error["type"]) == (400, "bad_request")

    async def test_wrong_content_type(self, caller):
        headers = {"Content-Type": "text/plain"}
        answer = await caller.send("POST", CHAT, data=b"{}", headers=headers)
        assert (answer.status, answer.error["type"]) == (415, "unsupported_media_type")

    async def test_oversize_body(self, caller):
        answer = await caller.send("POST", CHAT, data=b"x" * 1_100_000, headers=JSON)
        assert (answer.status, answer.error["type"]) == (413, "request_too_large")

    async def test_oversize_body_of_unknown_length(self, caller):
        async def chunks():
            for _ in range(20):
                yield b"x" * 65_536

        answer = await caller.send("POST", CHAT, data=chunks(), headers=JSON)
        assert (answer.status, answer.error["type"]) == (413, "request_too_large")

    async def test_slow_body(self, fleet, caller):
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {caller.key}\r\n"
            "Content-Type: application/json\r\nContent-Length: 100\r\n\r\n{"
        )
        answer = await send_raw(fleet, head.encode())
        assert b"408" in answer.split(b"\r\n")[0]
        assert b'"request_timeout"' in answer

    async def test_half_closed_connection_affects_no_other_caller(self, fleet, caller):
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {caller.key}\r\n"
            "Content-Type: application/json\r\nContent-Length: 100\r\n\r\n{"
        )
        await send_raw(fleet, head.encode(), half_close=True)
        assert is_expected_answer(await caller.chat("still there?"), "still there?")

    async def test_bytes_that_are_not_http_are_a_bad_request(self, fleet, caller):
        answer = await send_raw(fleet, b"\x00\x01\x02 nonsense\r\n\r\n")
        assert b"400" in answer.split(b"\r\n")[0]


class TestRoutes:
    """Unknown models, routes and methods get their own error types."""

    async def test_unknown_model(self, caller):
        answer = await caller.chat("hello", model="nobody")
        assert (answer.status, answer.error["type"]) == (404, "unknown_model")

    @pytest.mark.parametrize(
        "path", ["/nowhere", "/services/nobody/x", "/services/booking/nowhere"]
    )
    async def test_unknown_route(self, caller, path):
        answer = await caller.send("GET", path)
        assert (answer.status, answer.error["type"]) == (404, "unknown_route")

    @pytest.mark.parametrize("path", [CHAT, "/services/booking/bookings"])
    async def test_wrong_method(self, caller, path):
        answer = await caller.send("DELETE", path)
        assert (answer.status, answer.error["type"]) == (405, "method_not_allowed")

    async def test_operator_route_refuses_a_customer_key(self, caller):
        answer = await caller.send("GET", "/operator/status")
        assert answer.status in (401, 403)


class TestLimits:
    """Requests above rate or burst are refused, the former with a retry time."""

    async def test_request_above_the_burst(self, caller):
        answer = await caller.chat("hello", max_tokens=20_000)
        assert (answer.status, answer.error["type"]) == (422, "exceeds_burst")
        assert answer.error["retry_after"] is None

    async def test_customer_over_its_rate(self, fleet, caller):
        key = fleet.customers[1].key
        burst = int(fleet.customers[1].plan.burst)
        answers = await asyncio.gather(
            *(
                caller.chat(f"{i}", max_tokens=burst // 4, key=key, entry=i % 3)
                for i in range(8)
            )
        )
        refused = [a for a in answers if a.status == 429]
        assert refused
        for answer in refused:
            assert answer.error["type"] == "rate_limited"
            assert answer.error["not_run"] == "true"
            assert answer.error["retry_after"] > 0
            assert int(answer.headers["retry-after"]) >= 1


class TestIdempotency:
    """Calls with an idempotency key run once; an unknown outcome is reported."""

    async def test_repeat_gets_the_recorded_answer(self, caller):
        first = await caller.book("once-1", entry=0)
        repeat = await caller.book("once-1", entry=1)
        assert first.status == repeat.status == 201
        assert first.body == repeat.body
        assert repeat.headers["idempotent-replayed"] == "true"
        assert await caller.runs("once-1") == 1

    async def test_key_used_with_another_body(self, caller):
        await caller.book("once-2", "one")
        answer = await caller.book("once-2", "two")
        assert (answer.status, answer.error["type"]) == (422, "idempotency_key_reused")

    async def test_same_key_on_several_instances_runs_once(self, caller):
        answers = await asyncio.gather(
            *(caller.book("once-3", entry=e) for e in (0, 1, 2))
        )
        assert await caller.runs("once-3") == 1
        assert {a.status for a in answers} <= {201, 409}

    async def test_lost_reply_leaves_the_outcome_unknown(self, fleet, caller):
        for url in fleet.service_urls:
            await fleet.set_faults(url, lose_answers=1, only=["POST /bookings"])
        try:
            answer = await caller.book("once-4")
            repeat = await caller.book("once-4", entry=1)
        finally:
            for url in fleet.service_urls:
                await fleet.set_faults(url, clear=True)
        assert (answer.status, answer.error["type"]) == (504, "outcome_unknown")
        assert answer.error["not_run"] == "unknown"
        assert repeat.error["type"] == "outcome_unknown"
        assert await caller.runs("once-4") == 1

    async def test_call_is_refused_unsent_during_a_store_outage(self, fleet, caller):
        await fleet.set_faults(fleet.platform.table, outage="error")
        try:
            answer = await caller.book("once-5")
        finally:
            await fleet.set_faults(fleet.platform.table, clear=True)
        assert (answer.status, answer.error["type"]) == (503, "store_unavailable")
        assert answer.error["not_run"] == "true"
        assert answer.error["retry_after"] > 0
        assert await caller.runs("once-5") == 0


class TestEngines:
    """Replies of engines arrive complete, or end with a typed error."""

    async def test_interrupted_stream_is_completed(self, fleet, caller):
        for url in fleet.engine_urls:
            await fleet.set_faults(url, cut_streams=1)
        try:
            answer = await caller.chat("cut me", max_tokens=12)
        finally:
            for url in fleet.engine_urls:
                await fleet.set_faults(url, clear=True)
        assert is_expected_answer(answer, "cut me", 12)

    async def test_crossed_events_never_reach_the_caller(self, fleet, caller):
        for url in fleet.engine_urls:
            await fleet.set_faults(url, cross_events=2, cross_answers=1)
        try:
            answer = await caller.chat("mine", max_tokens=12)
        finally:
            for url in fleet.engine_urls:
                await fleet.set_faults(url, clear=True)
        assert is_expected_answer(answer, "mine", 12)

    async def test_stream_that_cannot_be_completed_has_no_end_mark(self, fleet, caller):
        for url in fleet.engine_urls:
            await fleet.set_faults(url, cut_streams=-1, cut_after_events=1)
        try:
            answer = await caller.chat("doomed", max_tokens=64)
        finally:
            for url in fleet.engine_urls:
                await fleet.set_faults(url, clear=True)
        assert b"[DONE]" not in answer.body
        assert b'"answer_cut"' in answer.events[-1]

    async def test_unreachable_engine_is_refused_with_a_retry_time(self, fleet, caller):
        for url in fleet.engine_urls:
            await fleet.set_faults(
                url, outage="error", only=["POST /v1/chat/completions"]
            )
        try:
            answer = await caller.chat("anyone?")
        finally:
            for url in fleet.engine_urls:
                await fleet.set_faults(url, clear=True)
        assert answer.status in (502, 503)
        assert answer.error["not_run"] == "true"
        assert answer.error["retry_after"] > 0


class TestAfterRefusals:
    """The tests above caused no internal fault, leaked no key and logged no prompt."""

    async def test_no_refusal_was_an_internal_fault(self, caller):
        for entry in range(3):
            metrics = (await caller.send("GET", "/metrics", entry=entry)).body
            assert b"internal_fault" not in metrics

    async def test_no_backend_server_saw_a_key(self, fleet):
        for url in [*fleet.engine_urls, *fleet.service_urls]:
            assert (await fleet.stats(url))["secrets_seen"] == {}

    async def test_no_log_contains_a_key_or_a_prompt(self, fleet, caller):
        await caller.chat("a prompt that nobody must log")
        for entry in fleet.entries:
            log = (fleet.var / f"{entry.name}.log").read_text()
            assert caller.key not in log
            assert "nobody must log" not in log
            assert fleet.operator_token not in log
