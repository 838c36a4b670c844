"""Handles calls to plain services."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote, urlencode

import xxhash
from aiohttp import web

from guavajunction.configuration import Customer, Route
from guavajunction.customers import strip_credentials
from guavajunction.errors import (
    BadRequest,
    MethodNotAllowed,
    RequestError,
    UnknownRoute,
)
from guavajunction.idempotency import Claim, RecordedAnswer
from guavajunction.routing import ServiceAnswer, ServiceRequest
from guavajunction_entry import _events as events

from ._admission import Admission, bearer_token_of, refuse_embedded_key
from ._body import BodyReader
from ._errors import request_id_of
from ._parts import FrontParts
from ._shielded_tasks import ShieldedTasks

PATH_PREFIX = "/services/"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotent-Replayed"
MAX_KEY_CHARACTERS = 255

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
"""Request headers that are not forwarded to a service, in lower case.

Either they apply to the caller's connection only, or the router sets its own values.
"""


class ServiceHandler:
    """Authenticates, admits and forwards calls to plain services."""

    def __init__(
        self,
        parts: FrontParts,
        admission: Admission,
        reader: BodyReader,
        shielded: ShieldedTasks,
    ) -> None:
        """Create a handler.

        Args:
            parts: Dependencies of the front.
            admission: Checks whether this instance may serve, and API keys.
            reader: Reads request bodies.
            shielded: Runs non-idempotent calls to their end if callers disconnect.
        """
        self._parts = parts
        self._admission = admission
        self._reader = reader
        self._shielded = shielded

    async def on_call(self, req: web.Request) -> web.StreamResponse:
        """Handle all methods on `/services/NAME/...`."""
        route = self._find_route(req)
        customer = None if route.open_to_all else self._admission.customer_of(req)
        check_allowed = self._admission_check(req, route)
        service_req = await self._read_service_request(req, customer)
        if customer is not None:
            check_allowed()
            reservation = await self._parts.limits.admit(customer, route.cost)
            reservation.settle(route.cost)
        events.ACCEPTED.log(
            request_id=service_req.request_id,
            customer=customer.name if customer else None,
            service=route.service,
            cost=route.cost,
        )
        if route.idempotent:
            return _response(
                await self._parts.services.call(route, service_req, check_allowed)
            )
        work = self._call_non_idempotent(
            req, route, service_req, customer, check_allowed
        )
        return await self._shielded.run(work)

    def _admission_check(self, req: web.Request, route: Route) -> Callable[[], None]:
        if route.open_to_all:
            return self._admission.check_may_serve
        return self._admission.create_recheck(req)

    async def _call_non_idempotent(
        self,
        req: web.Request,
        route: Route,
        service_req: ServiceRequest,
        customer: Customer | None,
        check_allowed: Callable[[], None],
    ) -> web.StreamResponse:
        """Run a non-idempotent call, at most once per idempotency key."""
        idempotency_key = self._idempotency_key(req)
        if customer is None or not idempotency_key:
            return _response(
                await self._parts.services.call(route, service_req, check_allowed)
            )
        claim = await self._parts.idempotency.claim(
            customer.name, idempotency_key, _fingerprint(service_req)
        )
        if isinstance(claim, RecordedAnswer):
            answer = ServiceAnswer(claim.status, dict(claim.headers), claim.body)
            return _response(answer, replayed=True)
        return _response(
            await self._call_claimed(route, service_req, claim, check_allowed)
        )

    async def _call_claimed(
        self,
        route: Route,
        service_req: ServiceRequest,
        claim: Claim,
        check_allowed: Callable[[], None],
    ) -> ServiceAnswer:
        """Send a call under its idempotency claim and record the outcome."""

        def check() -> None:
            check_allowed()
            claim.check()

        async with claim:
            try:
                answer = await self._parts.services.call(route, service_req, check)
            except RequestError as exc:
                await self._record_failure(claim, exc)
                raise
            await claim.done(answer.status, answer.headers.items(), answer.body)
        return answer

    async def _record_failure(self, claim: Claim, exc: RequestError) -> None:
        if exc.not_run == "true":
            await claim.not_run()
        else:
            await claim.unknown()

    async def _read_service_request(
        self, req: web.Request, customer: Customer | None
    ) -> ServiceRequest:
        body = await self._reader.read(req, customer and customer.name)
        refuse_embedded_key(body, req)
        refuse_embedded_key(req.path.encode(), req)
        key = bearer_token_of(req)
        headers = strip_credentials(req.headers.items(), key)
        query = strip_credentials(req.query.items(), key)
        path = _path_below_service(req)
        return ServiceRequest(
            request_id=request_id_of(req),
            method=req.method,
            path=f"{path}?{urlencode(query)}" if query else path,
            headers={n: v for n, v in headers if n.lower() not in HOP_BY_HOP_HEADERS},
            body=body,
        )

    def _find_route(self, req: web.Request) -> Route:
        name = req.match_info["service"]
        service = self._parts.configuration().services.get(name)
        if service is None:
            raise UnknownRoute(f"no service is named {name!r}")
        route = match_route(service.routes, _path_below_service(req))
        if route is None:
            raise UnknownRoute(f"service {name!r} has no route for this path")
        if req.method not in route.methods:
            raise MethodNotAllowed(f"the route does not take {req.method}")
        return route

    def _idempotency_key(self, req: web.Request) -> str:
        key = req.headers.get(IDEMPOTENCY_HEADER, "")
        if len(key) > MAX_KEY_CHARACTERS:
            raise BadRequest(
                f"an idempotency key may have {MAX_KEY_CHARACTERS} characters"
            )
        return key


def match_route(routes: tuple[Route, ...], path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None.

    A prefix matches whole path segments: `/bookings` covers `/bookings/7` but not
    `/bookingsold`.
    """
    matching = [
        route
        for route in routes
        if path == route.prefix or path.startswith(route.prefix.rstrip("/") + "/")
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


def _path_below_service(req: web.Request) -> str:
    """Return the path relative to the service, still percent-encoded.

    Raises:
        BadRequest: A decoded segment is `.` or `..` and could leave the route.
    """
    service = req.match_info["service"]
    path = req.rel_url.raw_path.removeprefix(f"{PATH_PREFIX}{service}") or "/"
    segments = unquote(path).replace("\\", "/").split("/")
    if not {".", ".."}.isdisjoint(segments):
        raise BadRequest("a path segment may not be '.' or '..'")
    return path


def _fingerprint(service_req: ServiceRequest) -> str:
    head = f"{service_req.method} {service_req.path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + service_req.body)


def _response(answer: ServiceAnswer, *, replayed: bool = False) -> web.Response:
    headers = dict(answer.headers)
    if replayed:
        headers[REPLAYED_HEADER] = "true"
    return web.Response(status=answer.status, headers=headers, body=answer.body)
