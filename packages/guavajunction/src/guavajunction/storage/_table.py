"""The table service over DynamoDB's JSON protocol."""

from __future__ import annotations

import base64
from collections import Counter
from typing import Any, TypeVar

import aiohttp
import msgspec

from guavajunction.errors import ConditionFailed, StoreAnswerLost, StoreUnavailable

from ._protocols import Row

_TARGET = "DynamoDB_20120810."
_CONTENT_TYPE = "application/x-amz-json-1.0"
_THROTTLED = ("ThrottlingException", "ProvisionedThroughputExceededException")


class _Text(msgspec.Struct):
    S: str


class _Number(msgspec.Struct):
    N: str


class _Binary(msgspec.Struct):
    B: bytes


class _Item(msgspec.Struct):
    pk: _Text
    sk: _Text
    ver: _Number
    body: _Binary


class _GetResponse(msgspec.Struct):
    Item: _Item | None = None


class _QueryResponse(msgspec.Struct):
    Items: list[_Item] = []
    LastEvaluatedKey: dict[str, Any] | None = None


class _ErrorResponse(msgspec.Struct):
    kind: str = msgspec.field(name="__type")


_get_decoder = msgspec.json.Decoder(_GetResponse)
_query_decoder = msgspec.json.Decoder(_QueryResponse)
_error_decoder = msgspec.json.Decoder(_ErrorResponse)

A = TypeVar("A")


class TableClient:
    """Speaks to one table; implements `TableService`.

    A call is sent once. `POST` is not among the methods that aiohttp sends again by
    itself when a kept-alive connection turns out closed, so a lost answer is always
    reported and never hidden behind a second write.
    """

    CONNECT_TIMEOUT_FRACTION = 0.5
    """Part of the timeout that connecting may take."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        table_name: str,
        *,
        timeout: float,
    ) -> None:
        """Create a client.

        Args:
            session: Owner of the connections; the caller closes it.
            url: Base address of the service.
            table_name: Name of the table.
            timeout: Seconds for one call, connecting included.
        """
        self._session = session
        self._url = url.rstrip("/") + "/"
        self._table_name = table_name
        self._timeout = aiohttp.ClientTimeout(
            total=timeout, sock_connect=timeout * self.CONNECT_TIMEOUT_FRACTION
        )
        self.counts: Counter[str] = Counter()
        """Calls sent, by operation: get, query (each page), put, delete."""

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read one row consistently, or None if it does not exist."""
        self.counts["get"] += 1
        request = {"Key": _key(partition, sort), "ConsistentRead": True}
        answer = await self._read("GetItem", request, _get_decoder)
        return _decode(answer.Item) if answer.Item else None

    async def query(self, partition: str) -> list[Row]:
        """Read every row of a partition, by sort key, page after page."""
        request: dict[str, Any] = {
            "KeyConditionExpression": "pk = :pk",
            "ExpressionAttributeValues": {":pk": {"S": partition}},
            "ConsistentRead": True,
        }
        rows: list[Row] = []
        while True:
            self.counts["query"] += 1
            answer = await self._read("Query", request, _query_decoder)
            rows.extend(_decode(item) for item in answer.Items)
            if not answer.LastEvaluatedKey:
                return rows
            request["ExclusiveStartKey"] = answer.LastEvaluatedKey

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row if its version is still the expected one.

        Raises:
            ConditionFailed: The row has another version.
            StoreUnavailable: The write has certainly not taken effect.
            StoreAnswerLost: The write may have taken effect.
        """
        self.counts["put"] += 1
        row = Row(partition, sort, expected + 1, body)
        await self._write("PutItem", {"Item": _encode(row), **_condition(expected)})
        return row

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row if its version is still the expected one.

        Raises:
            ConditionFailed: The row has another version or does not exist.
            StoreUnavailable: The delete has certainly not taken effect.
            StoreAnswerLost: The delete may have taken effect.
        """
        if expected <= 0:
            raise ConditionFailed(f"{partition}/{sort}: nothing to delete")
        self.counts["delete"] += 1
        request = {"Key": _key(partition, sort), **_condition(expected)}
        await self._write("DeleteItem", request)

    async def _read(
        self,
        operation: str,
        request: dict[str, Any],
        decoder: msgspec.json.Decoder[A],
    ) -> A:
        try:
            status, body = await self._call(operation, request)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreUnavailable(f"{operation}: {type(exc).__name__}") from exc
        if status != 200:
            raise StoreUnavailable(f"{operation}: {status} {_error_type(body)}")
        try:
            return decoder.decode(body)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable(f"{operation}: the answer is malformed") from exc

    async def _write(self, operation: str, request: dict[str, Any]) -> None:
        try:
            status, body = await self._call(operation, request)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailable(f"{operation}: not connected") from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise StoreUnavailable(f"{operation}: not connected in time") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreAnswerLost(f"{operation}: {type(exc).__name__}") from exc
        if status == 200:
            return
        error = _error_type(body)
        if error == "ConditionalCheckFailedException":
            raise ConditionFailed(f"{operation}: the row has another version")
        if error in _THROTTLED or 400 <= status < 500:
            raise StoreUnavailable(f"{operation}: {status} {error}")
        raise StoreAnswerLost(f"{operation}: {status} {error}")

    async def _call(self, operation: str, request: dict[str, Any]) -> tuple[int, bytes]:
        headers = {
            "X-Amz-Target": _TARGET + operation,
            "Content-Type": _CONTENT_TYPE,
        }
        body = msgspec.json.encode({"TableName": self._table_name, **request})
        async with self._session.post(
            self._url,
            data=body,
            headers=headers,
            timeout=self._timeout,
            allow_redirects=False,
        ) as resp:
            return resp.status, await resp.read()


def _key(partition: str, sort: str) -> dict[str, Any]:
    return {"pk": {"S": partition}, "sk": {"S": sort}}


def _condition(expected: int) -> dict[str, Any]:
    if expected == 0:
        return {"ConditionExpression": "attribute_not_exists(pk)"}
    return {
        "ConditionExpression": "ver = :ver",
        "ExpressionAttributeValues": {":ver": {"N": str(expected)}},
    }


def _encode(row: Row) -> dict[str, Any]:
    body = base64.b64encode(row.body).decode("ascii")
    version = {"N": str(row.version)}
    return {**_key(row.partition, row.sort), "ver": version, "body": {"B": body}}


def _decode(item: _Item) -> Row:
    try:
        version = int(item.ver.N)
    except ValueError as exc:
        raise StoreUnavailable("a row in the answer has no version") from exc
    return Row(item.pk.S, item.sk.S, version, item.body.B)


def _error_type(body: bytes) -> str:
    try:
        name = _error_decoder.decode(body).kind
    except msgspec.DecodeError:
        return "unnamed error"
    return name.rpartition("#")[2]
