"""Handles requests for chat completions, completions and the model list."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import xxhash
from aiohttp import web

from guavajunction.configuration import Customer, Objective
from guavajunction.customers import TokenReservation
from guavajunction.errors import RequestError, UnknownModel
from guavajunction.metrics import RequestTimings
from guavajunction.routing import (
    BATCH,
    LIVE,
    AnswerSummary,
    EngineRequest,
    RoutedRequest,
)
from guavajunction_entry import _events as events

from ._admission import Admission, refuse_embedded_key
from ._body import BodyReader, InferenceBody
from ._errors import request_id_of
from ._parts import FrontParts
from ._sink import ResponseSink

BATCH_TIER = "flex"
"""Value of `service_tier` that marks a batch request."""

BYTES_PER_TOKEN = 4
"""Bytes of prompt per token, for the estimate of prompt tokens at admission."""

PREFIX_BYTES = 256
"""Number of bytes at the start of the prompt whose hash identifies its KV cache."""

DEFAULT_OBJECTIVES = {
    LIVE: Objective(LIVE, first_token=1.0, between_tokens=0.1, max_wait=2.0),
    BATCH: Objective(BATCH, first_token=60.0, between_tokens=1.0, max_wait=60.0),
}
"""Objectives of request classes for which the configuration has none."""


class _Admitted(NamedTuple):
    """A request that passed the checks of API key and rate limit."""

    customer: Customer
    engine_req: EngineRequest
    reservation: TokenReservation


class InferenceHandler:
    """Authenticates, admits and routes requests for models."""

    def __init__(
        self, parts: FrontParts, admission: Admission, reader: BodyReader
    ) -> None:
        self._parts = parts
        self._admission = admission
        self._reader = reader

    async def on_inference(self, req: web.Request) -> web.StreamResponse:
        """Handle `POST /v1/chat/completions` and `POST /v1/completions`."""
        customer = self._admission.customer_of(req)
        check_allowed = self._admission.create_recheck(req)
        admitted = await self._admit(req, customer, check_allowed)
        sink = ResponseSink(
            req, request_id_of(req), close_connection=self._parts.draining()
        )
        used = 0.0
        try:
            summary = await self._parts.inference.route(
                admitted.engine_req,
                sink,
                self._request_timings(admitted),
                check_allowed,
            )
            used = self._used_tokens(admitted, summary)
            return await sink.finish()
        except RequestError as exc:
            used = 0.0 if exc.not_run == "true" else admitted.engine_req.req.cost
            return await self._on_failure(exc, sink, admitted)
        except ConnectionError:
            used = admitted.engine_req.req.cost
            raise
        finally:
            admitted.reservation.settle(used)

    async def on_models(self, req: web.Request) -> web.Response:
        """Handle `GET /v1/models`: list the models that the customer may use."""
        customer = self._admission.customer_of(req)
        cfg = self._parts.configuration()
        names = sorted({*cfg.models, *cfg.adapters})
        allowed = [n for n in names if not customer.models or n in customer.models]
        models = [
            {"id": name, "object": "model", "owned_by": "guavajunction"}
            for name in allowed
        ]
        return web.json_response({"object": "list", "data": models})

    async def _admit(
        self, req: web.Request, customer: Customer, check_allowed: Callable[[], None]
    ) -> _Admitted:
        arrived = self._parts.clock.monotonic()
        raw, body = await self._reader.read_inference(req, customer.name)
        refuse_embedded_key(raw, req)
        self._admission.check_model(customer, body.model)
        artifact = self._find_artifact(body.model)
        routed = self._create_routed_request(req, customer, artifact, body, arrived)
        self._parts.demand.add_arrival(artifact, routed.cost)
        check_allowed()
        reservation = await self._parts.limits.admit(customer, routed.cost)
        outgoing = _outgoing_body(raw, artifact, self._max_tokens(body))
        engine_req = EngineRequest(routed, req.path, outgoing, body.stream)
        return _Admitted(customer, engine_req, reservation)

    def _find_artifact(self, name: str) -> str:
        artifact = self._parts.inventory.serving(name)
        if artifact is None:
            raise UnknownModel(f"no model or adapter is named {name!r}")
        return artifact

    def _create_routed_request(
        self,
        req: web.Request,
        customer: Customer,
        artifact: str,
        body: InferenceBody,
        arrived: float,
    ) -> RoutedRequest:
        prompt_bytes = len(body.prompt_text.encode())
        prefix = body.prefix_text.encode()[:PREFIX_BYTES]
        return RoutedRequest(
            request_id=request_id_of(req),
            customer=customer,
            artifact=artifact,
            objective=self._objective_for(body),
            prefix=xxhash.xxh3_64_hexdigest(prefix),
            cost=float(-(-prompt_bytes // BYTES_PER_TOKEN) + self._max_tokens(body)),
            arrived=arrived,
        )

    def _objective_for(self, body: InferenceBody) -> Objective:
        name = BATCH if body.service_tier == BATCH_TIER else LIVE
        configured = self._parts.configuration().objectives
        return configured.get(name) or DEFAULT_OBJECTIVES[name]

    def _max_tokens(self, body: InferenceBody) -> int:
        requested = body.max_completion_tokens or body.max_tokens
        return requested or self._parts.serving.default_max_tokens

    def _request_timings(self, admitted: _Admitted) -> RequestTimings:
        req = admitted.engine_req.req
        return RequestTimings(
            self._parts.metrics,
            self._parts.clock,
            req.arrived,
            objective=req.objective.name,
            customer=req.customer.name,
            artifact=req.artifact,
        )

    def _used_tokens(self, admitted: _Admitted, summary: AnswerSummary) -> float:
        """Return the used tokens, or the reserved ones if the engine sent no count."""
        req = admitted.engine_req.req
        self._parts.metrics.count("answers_total", objective=req.objective.name)
        if summary.prompt_tokens is None:
            return req.cost
        return summary.output_tokens + summary.prompt_tokens

    async def _on_failure(
        self, exc: RequestError, sink: ResponseSink, admitted: _Admitted
    ) -> web.StreamResponse:
        if not sink.started:
            raise exc
        self._parts.metrics.count("refusals_total", type=exc.TYPE)
        events.REFUSED_IN_STREAM.log(
            request_id=admitted.engine_req.req.request_id, type=exc.TYPE
        )
        return await sink.fail(exc)


def _outgoing_body(raw: bytes, artifact: str, max_tokens: int) -> bytes:
    """Return the body for an engine, with the artifact and the output limit set."""
    fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    fields["model"] = msgspec.Raw(msgspec.json.encode(artifact))
    fields["max_tokens"] = msgspec.Raw(msgspec.json.encode(max_tokens))
    fields.pop("max_completion_tokens", None)
    fields.pop("service_tier", None)
    return msgspec.json.encode(fields)
