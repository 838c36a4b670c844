"""HTTP client of the administrative interface of backend servers."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec

from guavajunction.connections import StrictConnector, read_body
from guavajunction.decoding import decode
from guavajunction.errors import OrderRefused

from ._errors import (
    BackendUnreachable,
    OrderLacksMemory,
    OrderNotSent,
    OrderStale,
    OrderUnanswered,
)
from ._model import CacheEvent, CacheEvents, LoadReport, Order, Resident

ACCEPTED = 202
CONFLICT = 409
INSUFFICIENT_STORAGE = 507


class _ResidentBody(TypedDict):
    artifact: str
    mib: int
    state: str
    order_id: NotRequired[str | None]


class _LoadBody(TypedDict, total=False):
    seq: int
    age_seconds: float
    running: int
    waiting: int
    slots: int
    memory_mib: int
    used_mib: int
    kv_used_mib: int
    resident: list[_ResidentBody]
    role: str | None
    last_fence: int
    applied_orders: list[str]
    refused_orders: list[str]
    leaving: bool


class _CacheEventBody(TypedDict):
    seq: int
    kind: str
    artifact: str
    prefix: str


class _CacheEventsBody(TypedDict):
    events: list[_CacheEventBody]
    first: int
    last: int


class _RefusalBody(TypedDict, total=False):
    error: str
    last_fence: int


def backend_session(*, limit: int = 0) -> aiohttp.ClientSession:
    """Open a session for `HttpBackendClient`. The caller closes it.

    It opens a connection for each call. The answers do not name their calls, so that
    the copy of an earlier one could pass for the answer to an order.

    Args:
        limit: Maximum number of connections; 0 for no limit.
    """
    return aiohttp.ClientSession(
        connector=StrictConnector(limit=limit, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class HttpBackendClient:
    """Calls backend servers over HTTP.

    The caller owns the client session and closes it.
    """

    QUERY_TIMEOUT_SECONDS = 1.0
    ORDER_TIMEOUT_SECONDS = 3.0

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def load(self, address: str) -> LoadReport:
        """Read the load report of an engine."""
        body = await self._get(f"http://{address}/admin/load")
        return _report(_decode(body, _LoadBody))

    async def service_load(self, address: str) -> LoadReport:
        """Check the health of a plain service and read its load report.

        The report is empty if the service has no load endpoint.
        """
        await self._get(f"http://{address}/healthz")
        try:
            return await self.load(address)
        except BackendUnreachable:
            return _report({})

    async def cache_events(self, address: str, after: int) -> CacheEvents:
        """Read the cache events with sequence numbers above `after`."""
        body = await self._get(f"http://{address}/admin/cache-events?after={after}")
        answer = _decode(body, _CacheEventsBody)
        events = tuple(CacheEvent(**event) for event in answer["events"])
        return CacheEvents(events, answer["first"], answer["last"])

    async def order(self, address: str, order: Order) -> None:
        """Send an order and return once the engine has accepted it."""
        url = f"http://{address}/admin/orders"
        timeout = aiohttp.ClientTimeout(total=self.ORDER_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                url, json=order._asdict(), timeout=timeout
            ) as resp:
                body = await read_body(resp)
                status = resp.status
        except aiohttp.ClientConnectorError as exc:
            raise OrderNotSent(f"{address}: {exc!r}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise OrderUnanswered(f"{address}: {exc!r}") from exc
        _check_order_answer(address, status, body)

    async def _get(self, url: str) -> bytes:
        timeout = aiohttp.ClientTimeout(total=self.QUERY_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                resp.raise_for_status()
                return await read_body(resp)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise BackendUnreachable(f"{url}: {exc!r}") from exc


def _check_order_answer(address: str, status: int, body: bytes) -> None:
    if status == ACCEPTED:
        return
    refusal = _refusal(body)
    if status == CONFLICT and refusal.get("error") == "stale_fence":
        raise OrderStale(f"{address}: stale fence", refusal.get("last_fence", 0))
    if status == INSUFFICIENT_STORAGE:
        raise OrderLacksMemory(f"{address}: not enough memory")
    if status >= 500:
        raise OrderUnanswered(f"{address}: status {status}")
    raise OrderRefused(f"{address}: status {status}")


_refusal_decoder = msgspec.json.Decoder(_RefusalBody)


def _refusal(body: bytes) -> _RefusalBody:
    try:
        return decode(_refusal_decoder, body)
    except msgspec.DecodeError:
        return {}


def _decode(body: bytes, body_type: Any) -> Any:
    try:
        return decode(msgspec.json.Decoder(body_type), body)
    except msgspec.DecodeError as exc:
        raise BackendUnreachable(f"malformed response: {exc}") from exc


def _report(body: _LoadBody) -> LoadReport:
    resident = tuple(
        Resident(r["artifact"], r["mib"], r["state"], r.get("order_id") or "")
        for r in body.get("resident", [])
    )
    return LoadReport(
        seq=body.get("seq", 0),
        age_seconds=body.get("age_seconds", 0.0),
        running=body.get("running", 0),
        waiting=body.get("waiting", 0),
        slots=body.get("slots", 0),
        memory_mib=body.get("memory_mib", 0),
        used_mib=body.get("used_mib", 0),
        kv_used_mib=body.get("kv_used_mib", 0),
        resident=resident,
        role=body.get("role") or "",
        last_fence=body.get("last_fence", 0),
        applied_orders=frozenset(body.get("applied_orders", [])),
        refused_orders=frozenset(body.get("refused_orders", [])),
        leaving=body.get("leaving", False),
    )
