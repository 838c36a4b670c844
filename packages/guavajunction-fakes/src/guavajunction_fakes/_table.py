"""Stand-in for the platform's table service."""

from __future__ import annotations

import json
import time
from typing import Any

from aiohttp import web

from ._errors import TableError
from ._server import FakeServer

Item = dict[str, dict[str, str]]


class FakeTable(FakeServer):
    """One table in memory with consistent reads and conditional writes."""

    TARGET_PREFIX = "DynamoDB_20120810."
    CONTENT_TYPE = "application/x-amz-json-1.0"
    PAGE_ROWS = 100
    READS = frozenset({"GetItem", "Query"})
    WRITES = frozenset({"PutItem", "DeleteItem"})
    BURST_SECONDS = 1.0
    """Size of the rate limit's token bucket, in seconds of the rate."""

    def __init__(
        self,
        *,
        table: str = "guavajunction",
        writes_per_second: float = float("inf"),
        reads_per_second: float = float("inf"),
    ) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], Item] = {}
        """Rows by partition and sort key."""
        self._table = table
        self._write_bucket = _TokenBucket(writes_per_second, self.BURST_SECONDS)
        self._read_bucket = _TokenBucket(reads_per_second, self.BURST_SECONDS)
        self._condition_failures = 0
        self._throttled = 0
        self._history: dict[tuple[str, str], list[tuple[float, Item | None]]] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [web.post("/", self._handle)]

    def kind_of(self, req: web.Request) -> str:
        """Return the operation's name, such as `PutItem`."""
        return req.headers.get("X-Amz-Target", "").removeprefix(self.TARGET_PREFIX)

    def is_write(self, req: web.Request) -> bool:
        """Return whether the operation is a write."""
        return self.kind_of(req) in self.WRITES

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {
            **super().stats(),
            "reads": sum(self.counts[kind] for kind in self.READS),
            "writes": sum(self.counts[kind] for kind in self.WRITES),
            "condition_failures": self._condition_failures,
            "throttled": self._throttled,
            "rows": len(self.rows),
        }

    async def _handle(self, req: web.Request) -> web.Response:
        operations = {
            "GetItem": self._get_item,
            "Query": self._query,
            "PutItem": self._put_item,
            "DeleteItem": self._delete_item,
        }
        kind = self.kind_of(req)
        try:
            body = json.loads(await req.read())
            if kind not in operations:
                raise TableError("UnknownOperationException", kind)
            if body.get("TableName") != self._table:
                raise TableError("ResourceNotFoundException", "no such table")
            self._throttle(kind)
            result = operations[kind](body)
        except TableError as exc:
            return self._error_response(exc)
        except (KeyError, TypeError, ValueError) as exc:
            return self._error_response(TableError("ValidationException", repr(exc)))
        return web.json_response(result, content_type=self.CONTENT_TYPE)

    def _error_response(self, exc: TableError) -> web.Response:
        body = {
            "__type": f"com.amazonaws.dynamodb.v20120810#{exc.name}",
            "message": str(exc),
        }
        return web.json_response(body, status=400, content_type=self.CONTENT_TYPE)

    def _throttle(self, kind: str) -> None:
        bucket = self._write_bucket if kind in self.WRITES else self._read_bucket
        if not bucket.try_take():
            self._throttled += 1
            raise TableError("ProvisionedThroughputExceededException", "slow down")

    def _get_item(self, body: dict[str, Any]) -> dict[str, Any]:
        item = self._read(_key_of(body["Key"]), body.get("ConsistentRead", False))
        return {} if item is None else {"Item": item}

    def _query(self, body: dict[str, Any]) -> dict[str, Any]:
        expression = _resolve_names(body["KeyConditionExpression"], body)
        if expression.replace(" ", "") != "pk=:pk":
            raise TableError("ValidationException", f"unsupported: {expression}")
        partition = body["ExpressionAttributeValues"][":pk"]["S"]
        start = body.get("ExclusiveStartKey")
        after = _key_of(start)[1] if start else None
        keys = sorted(key for key in self.rows if key[0] == partition)
        keys = [key for key in keys if after is None or key[1] > after]
        limit = min(body.get("Limit", self.PAGE_ROWS), self.PAGE_ROWS)
        page = keys[:limit]
        result: dict[str, Any] = {
            "Items": [self.rows[key] for key in page],
            "Count": len(page),
            "ScannedCount": len(page),
        }
        if len(keys) > len(page):
            result["LastEvaluatedKey"] = _key_attributes(page[-1])
        return result

    def _put_item(self, body: dict[str, Any]) -> dict[str, Any]:
        item = body["Item"]
        key = _key_of(item)
        int(item["ver"]["N"])
        self._check_condition(key, body)
        self._write(key, item)
        return {}

    def _delete_item(self, body: dict[str, Any]) -> dict[str, Any]:
        key = _key_of(body["Key"])
        self._check_condition(key, body)
        self._write(key, None)
        return {}

    def _check_condition(self, key: tuple[str, str], body: dict[str, Any]) -> None:
        raw = body.get("ConditionExpression")
        if raw is None:
            return
        expression = _resolve_names(raw, body).replace(" ", "")
        row = self.rows.get(key)
        if expression == "attribute_not_exists(pk)":
            is_met = row is None
        elif expression == "ver=:ver":
            expected = body["ExpressionAttributeValues"][":ver"]["N"]
            is_met = row is not None and row["ver"]["N"] == expected
        else:
            raise TableError("ValidationException", f"unsupported: {raw}")
        if not is_met:
            self._condition_failures += 1
            raise TableError(
                "ConditionalCheckFailedException", "The conditional request failed"
            )

    def _write(self, key: tuple[str, str], item: Item | None) -> None:
        history = self._history.setdefault(key, [(0.0, None)])
        history.append((time.monotonic(), item))
        del history[:-8]
        if item is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = item

    def _read(self, key: tuple[str, str], consistent: bool) -> Item | None:
        if consistent or not self.faults.active.stale_seconds:
            return self.rows.get(key)
        limit = time.monotonic() - self.faults.active.stale_seconds
        history = self._history.get(key, [(0.0, None)])
        visible = [item for at, item in history if at <= limit]
        return visible[-1] if visible else history[0][1]


class _TokenBucket:
    """Token bucket that limits the rate of operations; it is full at the start."""

    def __init__(self, rate: float, burst_seconds: float) -> None:
        self._rate = rate
        self._burst = rate * burst_seconds
        self._tokens = self._burst
        self._refilled_at = time.monotonic()

    def try_take(self) -> bool:
        if self._rate == float("inf"):
            return True
        now = time.monotonic()
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _key_of(attributes: Item) -> tuple[str, str]:
    return attributes["pk"]["S"], attributes["sk"]["S"]


def _key_attributes(key: tuple[str, str]) -> Item:
    return {"pk": {"S": key[0]}, "sk": {"S": key[1]}}


def _resolve_names(expression: str, body: dict[str, Any]) -> str:
    for alias, name in body.get("ExpressionAttributeNames", {}).items():
        expression = expression.replace(alias, name)
    return expression
