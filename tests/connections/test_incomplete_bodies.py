"""Tests that no client takes a body for complete whose connection was reset."""

from __future__ import annotations

import asyncio
import inspect
import re
from pathlib import Path

import aiohttp
import msgspec
import pytest

import guavajunction_ctl
import guavajunction_entry
import guavajunction_platform
from fakes_gateway import backend, request
from guavajunction.backends import BackendUnreachable, HttpBackendClient
from guavajunction.errors import AnswerCut, NotSent, StoreUnavailable
from guavajunction.routing import single_send_session
from guavajunction.storage import InstanceListClient, ObjectClient, TableClient
from guavajunction_platform import _names as names
from guavajunction_platform._backend_client import BackendClient
from guavajunction_platform._deployment import _open_session
from guavajunction_platform._order_client import OrderClient
from guavajunction_platform._store import StoreClient
from raw_server import raw_server, reset

HEAD = f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: mine\r\n\r\n".encode()
"""Head of a response with neither a length nor chunks."""


async def relay(session, server):
    req = request("/look/1")._replace(request_id="mine")
    sent = BackendClient(session).send(
        backend("b1", address=server.address),
        req,
        customer=None,
        priority=None,
        seconds_left=2.0,
    )
    async with sent as answer:
        return [chunk async for chunk in answer.chunks()]


def report(session, server):
    return OrderClient(session).report(backend("b1", address=server.address))


CLIENTS = {
    "backend": (relay, b"{}", AnswerCut),
    "report": (
        report,
        msgspec.json.encode({"sequence": 0, "busy": False, "models": []}),
        NotSent,
    ),
    "store": (
        lambda session, server: StoreClient(session, server.address).get("t", "k"),
        b'{"ver":1,"rows":[]}',
        StoreUnavailable,
    ),
    "table": (
        lambda session, server: TableClient(session, server.url, "t", timeout=2.0).get(
            "p", "s"
        ),
        b"{}",
        StoreUnavailable,
    ),
    "objects": (
        lambda session, server: ObjectClient(session, server.url, "b", timeout=2.0).get(
            "name"
        ),
        b"half of an object",
        StoreUnavailable,
    ),
    "instances": (
        lambda session, server: InstanceListClient(
            session, server.url, timeout=2.0
        ).instances(),
        b'{"instances":[]}',
        StoreUnavailable,
    ),
    "engine": (
        lambda session, server: HttpBackendClient(session).load(server.address),
        b"{}",
        BackendUnreachable,
    ),
}


class TestResets:
    """The end of a connection ends an unframed body only if it was closed in order."""

    @pytest.mark.parametrize("delay", [0.0, 0.05])
    @pytest.mark.parametrize("client", CLIENTS)
    async def test_reset_unframed_body_is_no_answer(self, client, delay):
        call, body, error = CLIENTS[client]

        async def respond(writer, _):
            writer.write(HEAD + body)
            await writer.drain()
            await asyncio.sleep(delay)
            reset(writer)

        async with raw_server(respond) as server, _open_session() as session:
            with pytest.raises(error):
                await call(session, server)

    @pytest.mark.parametrize("client", CLIENTS)
    async def test_unframed_body_that_is_closed_in_order_is_an_answer(self, client):
        call, body, _ = CLIENTS[client]

        async def respond(writer, _):
            writer.write(HEAD + body)
            writer.close()

        async with raw_server(respond) as server, _open_session() as session:
            await call(session, server)

    @pytest.mark.parametrize("delay", [0.0, 0.05])
    async def test_reset_body_of_a_plain_service_is_no_answer(self, delay):
        async def respond(writer, _):
            writer.write(HEAD + b"half")
            await writer.drain()
            await asyncio.sleep(delay)
            reset(writer)

        async with raw_server(respond) as server, single_send_session() as session:
            with pytest.raises(aiohttp.ClientError):
                async with session.get(server.url) as resp:
                    await resp.read()


class TestSessions:
    """Every session of the product uses connections that notice a reset."""

    @pytest.mark.parametrize(
        "package", [guavajunction_ctl, guavajunction_entry, guavajunction_platform]
    )
    def test_no_session_opens_other_connections(self, package):
        for path in Path(inspect.getfile(package)).parent.rglob("*.py"):
            source = path.read_text()
            assert not re.search(r"aiohttp\.TCPConnector\(|ClientSession\(\)", source)
