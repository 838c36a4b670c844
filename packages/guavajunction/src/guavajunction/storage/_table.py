"""Client of a table service with DynamoDB's JSON protocol."""

from __future__ import annotations

import base64
from collections import Counter
from typing import Any, TypeVar

import aiohttp
import msgspec

from guavajunction.connections import read_body
from guavajunction.errors import ConditionFailed, StoreAnswerLost, StoreUnavailable

from ._protocols import Row

_TARGET = "DynamoDB_20120810."
_CONTENT_TYPE = "application/x-amz-json-1.0"
_THROTTLING_ERRORS = ("ThrottlingException", "ProvisionedThroughputExceededException")


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

_Answer = TypeVar("_Answer")


class TableClient:
    """Client of one table; implements `TableService`.

    Each call is sent once. If the service has closed a kept-alive connection, aiohttp
    repeats requests of some methods, but not `POST`. So a lost answer is always
    reported to the caller and never followed by a hidden second write.
    """

    CONNECT_TIMEOUT_FRACTION = 0.5
    """Timeout of connecting, as a fraction of the timeout of the call.

    A write that timed out while connecting has certainly not been sent.
    """

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
            session: HTTP session; the caller closes it.
            url: Base address of the service.
            table_name: Name of the table.
            timeout: Timeout of one call in seconds, connecting included.
        """
        self._session = session
        self._url = url.rstrip("/") + "/"
        self._table_name = table_name
        self._timeout = aiohttp.ClientTimeout(
            total=timeout, sock_connect=timeout * self.CONNECT_TIMEOUT_FRACTION
        )
        self.counts: Counter[str] = Counter()
        """Number of requests sent by operation: get, query (each page), put, delete."""

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read one row consistently; return None if it does not exist.

        Raises:
            StoreUnavailable: The store did not answer, or the answer is malformed.
        """
        self.counts["get"] += 1
        request = {"Key": _key(partition, sort), "ConsistentRead": True}
        answer = await self._read("GetItem", request, _get_decoder)
        if answer.Item is None:
            return None
        row = _decode(answer.Item, partition)
        if row.sort != sort:
            raise StoreUnavailable(f"GetItem: the answer has the row {row.sort!r}")
        return row

    async def query(self, partition: str) -> list[Row]:
        """Read every row of a partition, page by page, in the order of the sort keys.

        Raises:
            StoreUnavailable: The store did not answer, or the answer is malformed.
        """
        request: dict[str, Any] = {
            "KeyConditionExpression": "pk = :pk",
            "ExpressionAttributeValues": {":pk": {"S": partition}},
            "ConsistentRead": True,
        }
        rows: list[Row] = []
        while True:
            self.counts["query"] += 1
            answer = await self._read("Query", request, _query_decoder)
            rows.extend(_decode(item, partition) for item in answer.Items)
            if not answer.LastEvaluatedKey:
                return rows
            request["ExclusiveStartKey"] = answer.LastEvaluatedKey

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row if its version is still the expected one.

        Args:
            partition: Partition key.
            sort: Sort key.
            body: New content.
            expected: Version that the row must have; 0 if it must not exist.

        Returns:
            The row as written, its version one above the expected one.

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

        Args:
            partition: Partition key.
            sort: Sort key.
            expected: Version that the row must have.

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
        decoder: msgspec.json.Decoder[_Answer],
    ) -> _Answer:
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
        if error in _THROTTLING_ERRORS or 400 <= status < 500:
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
            return resp.status, await read_body(resp)


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


def _decode(item: _Item, partition: str) -> Row:
    """Return the row of an item.

    Raises:
        StoreUnavailable: The item is malformed, or of another partition than was read.
    """
    if partition != item.pk.S:
        raise StoreUnavailable(f"the answer has a row of partition {item.pk.S!r}")
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
