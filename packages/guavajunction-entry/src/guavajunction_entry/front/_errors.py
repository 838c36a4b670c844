"""Converts exceptions of request handlers to HTTP error responses."""

from __future__ import annotations

import math
import secrets
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from guavajunction.errors import (
    BadRequest,
    InternalFault,
    MemoryShort,
    MethodNotAllowed,
    RequestError,
    RequestTimeout,
    RequestTooLarge,
    UnknownRoute,
)
from guavajunction.metrics import MetricsRegistry
from guavajunction_entry import _events as events

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID = web.RequestKey("request_id", str)
"""Key of the request id in the aiohttp request."""

UNREAD_BODY_ERRORS = (MemoryShort, RequestTimeout, RequestTooLarge)
"""Errors that leave body bytes unread, so that the connection must be closed."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def request_id_of(req: web.Request) -> str:
    """Return the id that `ErrorMiddleware` assigned to a request."""
    return req[REQUEST_ID]


def error_body(exc: RequestError, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    return msgspec.json.encode(
        {
            "error": {
                "type": exc.TYPE,
                "message": exc.message,
                "request_id": request_id,
                "not_run": exc.not_run,
                "retry_after": exc.retry_after,
            }
        }
    )


def error_response(exc: RequestError, request_id: str) -> web.Response:
    """Return the HTTP error response for an exception."""
    headers = {REQUEST_ID_HEADER: request_id}
    if exc.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after)))
    return web.Response(
        status=exc.STATUS,
        body=error_body(exc, request_id),
        content_type="application/json",
        headers=headers,
    )


class ErrorMiddleware:
    """Assigns request ids and converts exceptions to error responses."""

    def __init__(self, metrics: MetricsRegistry, draining: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._draining = draining

    def middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        """Return the aiohttp middleware function."""

        @web.middleware
        async def handle_errors(
            req: web.Request, handler: Handler
        ) -> web.StreamResponse:
            response = await self._handle(req, handler)
            if self._draining():
                response.force_close()
            return response

        return handle_errors

    async def _handle(self, req: web.Request, handler: Handler) -> web.StreamResponse:
        request_id = secrets.token_hex(12)
        req[REQUEST_ID] = request_id
        try:
            response = await handler(req)
        except RequestError as exc:
            return self._refuse(exc, request_id)
        except web.HTTPException as exc:
            return self._refuse(_request_error_for(exc), request_id)
        except ConnectionError:
            raise
        except Exception as exc:
            events.INTERNAL_FAULT.log(
                request_id=request_id, path=req.path, fault=type(exc).__name__
            )
            events.log_traceback()
            return self._refuse(InternalFault("a fault of the instance"), request_id)
        if not response.prepared:
            response.headers.setdefault(REQUEST_ID_HEADER, request_id)
        return response

    def _refuse(self, exc: RequestError, request_id: str) -> web.Response:
        self._metrics.count("refusals_total", type=exc.TYPE)
        response = error_response(exc, request_id)
        if isinstance(exc, UNREAD_BODY_ERRORS):
            response.force_close()
        return response


def _request_error_for(exc: web.HTTPException) -> RequestError:
    """Return the request error for an HTTP exception of aiohttp."""
    if isinstance(exc, web.HTTPNotFound):
        return UnknownRoute("no such path")
    if isinstance(exc, web.HTTPMethodNotAllowed):
        return MethodNotAllowed(f"the path does not take {exc.method}")
    if isinstance(exc, web.HTTPRequestEntityTooLarge):
        return RequestTooLarge("the body is too large")
    return BadRequest(exc.reason)
