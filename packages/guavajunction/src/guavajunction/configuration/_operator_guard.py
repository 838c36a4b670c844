"""Authenticates operator requests and maps errors to HTTP responses."""

from __future__ import annotations

import functools
import hmac
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from guavajunction.decoding import decode
from guavajunction.errors import (
    AcceptanceUnknown,
    DocumentInvalid,
    GuavaError,
    OperatorError,
    OperatorRefused,
    OperatorRequestInvalid,
    PlatformError,
    SectionConflict,
)

from ._events import OPERATOR_REFUSED

Handler = Callable[[web.Request], Awaitable[web.Response]]
T = TypeVar("T")

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of the body of an operator request."""

_AUTH_SCHEME = "Bearer "
_STATUS_AND_TYPE: dict[type[GuavaError], tuple[int, str]] = {
    DocumentInvalid: (422, "document_invalid"),
    SectionConflict: (409, "section_conflict"),
    AcceptanceUnknown: (503, "acceptance_unknown"),
    PlatformError: (503, "store_unavailable"),
    GuavaError: (503, "not_accepted"),
}
"""Status and error type by exception class; the first matching class applies."""


class OperatorGuard:
    """Checks the bearer token of each request before its handler runs."""

    def __init__(self, token: str) -> None:
        self._token = token.encode()

    def wrap(self, handler: Handler) -> Handler:
        """Return a handler that checks the token and maps errors to responses."""

        @functools.wraps(handler)
        async def guarded(req: web.Request) -> web.Response:
            try:
                self._check_token(req)
                return await handler(req)
            except GuavaError as exc:
                return _error_response(exc)

        return guarded

    def _check_token(self, req: web.Request) -> None:
        header = req.headers.get("Authorization", "")
        presented = header.removeprefix(_AUTH_SCHEME).encode(errors="surrogateescape")
        matches = hmac.compare_digest(presented, self._token)
        if not (matches and header.startswith(_AUTH_SCHEME)):
            OPERATOR_REFUSED.log(path=req.path, address=req.remote)
            raise OperatorRefused("The operator token is missing or wrong.")


async def read_body(req: web.Request, kind: type[T]) -> T:
    """Read the JSON body of a request and decode it strictly.

    Raises:
        OperatorRequestInvalid: The body is too large or does not match the type.
    """
    body = await _read_limited(req)
    try:
        return decode(msgspec.json.Decoder(kind), body)
    except msgspec.DecodeError as exc:
        raise OperatorRequestInvalid(f"The body is malformed: {exc}") from exc


async def _read_limited(req: web.Request) -> bytes:
    """Read a body of at most `MAX_BODY_BYTES`.

    Operators may send larger bodies than callers, so the limit of the HTTP
    application does not apply.
    """
    body = bytearray()
    async for chunk in req.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise OperatorRequestInvalid(f"The body exceeds {MAX_BODY_BYTES} bytes.")
    return bytes(body)


def _error_response(exc: GuavaError) -> web.Response:
    status, kind = _classify(exc)
    error: dict[str, Any] = {"type": kind, "message": exc.message}
    if isinstance(exc, DocumentInvalid):
        error["faults"] = [fault._asdict() for fault in exc.faults]
    return web.json_response({"error": error}, status=status)


def _classify(exc: GuavaError) -> tuple[int, str]:
    if isinstance(exc, OperatorError):
        return exc.STATUS, exc.TYPE
    for kind, status_and_type in _STATUS_AND_TYPE.items():
        if isinstance(exc, kind):
            return status_and_type
    raise exc
