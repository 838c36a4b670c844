"""Tests of the HTTP client: responses, refusals and closed connections."""

from __future__ import annotations

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from guavajunction.backends import (
    BackendUnreachable,
    HttpBackendClient,
    Order,
    OrderLacksMemory,
    OrderNotSent,
    OrderStale,
    OrderUnanswered,
    backend_session,
)
from guavajunction.errors import OrderRefused
from raw_server import raw_server

LOAD = {
    "seq": 4,
    "age_seconds": 0.2,
    "running": 1,
    "resident": [{"artifact": "a@1", "mib": 5, "state": "ready", "order_id": None}],
    "applied_orders": ["x"],
    "role": None,
}


@pytest.fixture
async def answers():
    return {"/admin/load": (200, LOAD), "/healthz": (200, {})}


@pytest.fixture
async def address(answers):
    seen = []

    async def handle(req: web.Request) -> web.Response:
        seen.append(req.path)
        status, body = answers.get(req.path, (404, {}))
        if status == 0:
            req.transport.abort()
        return web.json_response(body, status=status or 200)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    answers["seen"] = seen
    async with TestServer(app) as server:
        yield f"127.0.0.1:{server.port}"


@pytest.fixture
async def client():
    async with backend_session() as session:
        yield HttpBackendClient(session)


class TestQueries:
    """Queries for load and health."""

    async def test_load_report_with_missing_fields(self, client, address):
        report = await client.load(address)
        assert (report.seq, report.running, report.slots) == (4, 1, 0)
        assert report.resident[0][:3] == ("a@1", 5, "ready")

    @pytest.mark.parametrize("answer", [(500, {}), (0, {}), (200, {"seq": "x"})])
    async def test_invalid_response(self, client, address, answers, answer):
        answers["/admin/load"] = answer
        with pytest.raises(BackendUnreachable):
            await client.load(address)

    async def test_service_needs_health_but_no_load_endpoint(
        self, client, address, answers
    ):
        answers["/admin/load"] = (404, {})
        assert not (await client.service_load(address)).leaving
        answers["/healthz"] = (503, {})
        with pytest.raises(BackendUnreachable):
            await client.service_load(address)


class TestOrders:
    """Each outcome of an order raises its own error."""

    @pytest.mark.parametrize(
        ("answer", "failure"),
        [
            ((409, {"error": "stale_fence", "last_fence": 7}), OrderStale),
            ((409, {"error": "unloading"}), OrderRefused),
            ((507, {}), OrderLacksMemory),
            ((503, {}), OrderUnanswered),
            ((0, {}), OrderUnanswered),
        ],
    )
    async def test_error_of_each_response(
        self, client, address, answers, answer, failure
    ):
        answers["/admin/orders"] = answer
        with pytest.raises(failure) as caught:
            await client.order(address, Order("x", 1, "load", "a@1", 5))
        assert type(caught.value) is failure
        assert getattr(caught.value, "last_fence", 7) == 7
        assert answers["seen"] == ["/admin/orders"]

    async def test_failed_connection_differs_from_lost_response(self, client):
        with pytest.raises(OrderNotSent):
            await client.order("127.0.0.1:1", Order("x", 1, "load", "a@1", 5))

    async def test_copy_of_an_earlier_answer_is_not_the_answer_to_an_order(
        self, client
    ):
        refused_on = []

        async def respond(writer, _):
            status = "202 Accepted"
            if not refused_on or writer in refused_on:
                refused_on.append(writer)
                status = "409 Conflict"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())

        async with raw_server(respond) as server:
            with pytest.raises(OrderRefused):
                await client.order(server.address, Order("x", 1, "load", "a@1", 5))
            await client.order(server.address, Order("y", 1, "load", "b@1", 5))
