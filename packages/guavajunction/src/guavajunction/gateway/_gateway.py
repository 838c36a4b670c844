"""Admits requests, sends them to backend servers and relays the answers."""

from __future__ import annotations

import asyncio
import math
import random
from typing import NamedTuple

from guavajunction.brittle import BrittlePlaces
from guavajunction.clock import Clock
from guavajunction.errors import (
    AnswerCut,
    ArtifactMissing,
    BackendFailed,
    BackendRefused,
    BackendReplaced,
    InstanceNotReady,
    NoPathToServer,
    NotSent,
    OutcomeUnknown,
    Overloaded,
    RateLimited,
    RequestError,
    StreamNotResumable,
)
from guavajunction.health import PassiveHealth
from guavajunction.intake import ServerIntake
from guavajunction.metrics import MetricsRegistry
from guavajunction.quarantine import PartQuarantine, RequestFingerprint

from . import _admission
from . import _events as events
from ._answer_progress import AnswerProgress
from ._answer_speed import AnswerSpeed
from ._backend import BackendRecord
from ._backend_registry import BackendRegistry
from ._catalogue import Customer, RequestKind, Route, Service
from ._event_boundary import EventBoundary, is_event_stream
from ._framing import Framing
from ._homes import homes_of
from ._load_view import Load
from ._model_demand import ModelDemand
from ._protocols import (
    AnswerHead,
    AnswerSink,
    BackendAnswer,
    BackendCaller,
    ServerWatch,
)
from ._rate_limits import RateLimits
from ._request import GatewayRequest
from ._request_queue import QueuedRequest, RequestQueue
from ._retry_budget import RetryBudget
from ._route_table import RouteTable
from ._stream_origins import StreamOrigin, StreamOrigins


class GatewayParts(NamedTuple):
    """Collaborators of the gateway."""

    registry: BackendRegistry
    queue: RequestQueue
    health: PassiveHealth
    rate_limits: RateLimits
    streams: StreamOrigins
    quarantine: PartQuarantine
    limits: ServerIntake
    places: BrittlePlaces
    paths: ServerWatch
    retries: RetryBudget
    demand: ModelDemand
    caller: BackendCaller
    metrics: MetricsRegistry
    clock: Clock
    rng: random.Random


class _AdmittedRequest(NamedTuple):
    """A request with its route, service, customer, priority and deadline."""

    req: GatewayRequest
    route: Route
    service: Service
    customer: Customer | None
    priority: int
    ends_at: float
    """Deadline of the complete answer, on the monotonic clock."""
    software_version: str | None
    """Version of the backend servers that may serve it, None for any."""
    trial: bool
    """Whether it is the one attempt while it is quarantined."""
    fingerprint: RequestFingerprint
    """Identifies its repeats."""


class _RequestInFlight:
    """A request in progress, which ends if the process does."""

    def __init__(self, sink: AnswerSink) -> None:
        self.sink = sink
        self.was_sent = False
        """Whether a backend server may have received it."""
        self.may_have_run = False
        """Whether an attempt failed after a backend server may have begun to run it."""
        self.is_ended = False
        """Whether it is ended because the process is about to end."""


class Gateway:
    """Serves requests, each in the task of its caller."""

    RETRY_AFTER_SECONDS = 0.3
    """Retry delay after a backend server refused a request; capacity is expected
    with the next heartbeat."""
    UNKNOWN_STREAM_SECONDS = 0.3
    """Retry delay of a request that resumes a stream which no instance knows; another
    instance may reach one that does."""
    NOT_READY_SECONDS = 1.0
    """Retry delay while no configuration is known."""
    MIN_FAILURE_SECONDS = 0.7
    """A missing answer counts as a failure of the backend server only if the request
    had at least this much time."""
    LATE_FACTOR = 4.0
    """An answer is late if its first event takes longer than this multiple of the
    expected time. A server that is three times slower than others answers in time."""
    MIN_LATE_SECONDS = 0.5
    """An answer within this time is never late."""
    MAX_EVENT_BYTES = 1_048_576
    """Limit on the size of one event of a stream."""
    MAX_UNREACHABLE_BACKENDS = 3
    """A request fails once it has met more unreachable backend servers than this."""
    MAX_REFUSED_SENDS = 1
    """Times that a request is sent again after a backend server without capacity
    refused it, beyond the attempts of its route. More would make brittle backend
    servers fall over."""
    MAX_MISSING_SENDS = 3
    """The same for one that lacks its model or adapter, which may be about to load."""
    MISSING_PAUSE_SECONDS = 0.05
    """Pause before such a request is sent for the third time; doubled each time."""
    MAX_ENGINE_PRIORITY = 9
    """Highest priority number, the least urgent one, that an engine accepts."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._routes: RouteTable | None = None
        self.instances = 1
        """Number of instances that may be serving, including this one."""
        self.streams_until = float("inf")
        """When this instance starts to refuse generation requests, on the monotonic
        clock. Later ones might not end before it stops."""
        self._in_flight: dict[asyncio.Task[None], _RequestInFlight] = {}
        self._is_ending = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return len(self._in_flight)

    @property
    def routes(self) -> RouteTable | None:
        """Return the active configuration, or None before the first one."""
        return self._routes

    def configure(self, routes: RouteTable) -> None:
        """Activate a configuration if its version is newer than the active one's."""
        current = self._routes
        if current and current.catalogue.version >= routes.catalogue.version:
            return
        self._routes = routes
        self._parts.rate_limits.configure(routes.catalogue.customers)
        services = routes.catalogue.services.values()
        self._parts.limits.cold.configure({s.name: s.cold for s in services})
        self._parts.queue.schedule_dispatch()
        events.CONFIGURED.log(
            version=routes.catalogue.version,
            before=current.catalogue.version if current else None,
            routes=len(routes.catalogue.routes),
        )

    def check_head(self, req: GatewayRequest) -> Customer | None:
        """Check the route and the key of a request before its body is read.

        Returns:
            The customer, or None if the route is open to all and the key unknown.

        Raises:
            RequestError: The request is refused.
        """
        try:
            return self._find_route(req)[1]
        except RequestError as exc:
            self._log_failure(req, exc)
            raise

    async def serve(self, req: GatewayRequest, sink: AnswerSink) -> None:
        """Answer one request through a sink.

        Raises:
            RequestError: The request was refused or failed.
        """
        task = asyncio.current_task()
        assert task is not None
        in_flight = self._in_flight[task] = _RequestInFlight(sink)
        try:
            if self._is_ending:
                raise self._stopping_error()
            await self._serve(req, sink, in_flight)
        except RequestError as exc:
            self._log_failure(req, exc)
            raise
        except asyncio.CancelledError:
            if in_flight.is_ended:
                task.uncancel()
                failure = self._ended_error(in_flight)
                self._log_failure(req, failure)
                raise failure from None
            events.CALLER_DISCONNECTED.log(
                request_id=req.request_id,
                after_ms=self._age_ms(req),
                caller=req.caller,
                artifact=req.size.artifact if req.size else None,
                waiting_for=self._parts.queue.pop_wait_reason(req.request_id),
            )
            raise
        finally:
            del self._in_flight[task]

    def end_requests(self) -> None:
        """End all requests in progress with an error, as the process is about to end.

        A response that has begun is left as it is.
        """
        self._is_ending = True
        for task, in_flight in self._in_flight.items():
            if not in_flight.sink.started and not in_flight.is_ended:
                in_flight.is_ended = True
                task.cancel()

    def _ended_error(self, in_flight: _RequestInFlight) -> RequestError:
        if in_flight.was_sent:
            return OutcomeUnknown("the instance stopped before the backend server did")
        return self._stopping_error()

    def _stopping_error(self) -> RequestError:
        return InstanceNotReady(
            "the instance stops",
            retry_after=RequestQueue.OTHER_INSTANCE_RETRY_SECONDS,
        )

    async def _serve(
        self, req: GatewayRequest, sink: AnswerSink, in_flight: _RequestInFlight
    ) -> None:
        admitted = await self._admit(req)
        self._parts.retries.note_request(admitted.service.name, req.arrived_at)
        if req.size is not None:
            self._parts.demand.note(req.size.model, req.arrived_at)
            if req.size.adapter:
                self._parts.demand.note(req.size.artifact, req.arrived_at)
        try:
            await self._send_until_answered(admitted, sink, in_flight)
        except RequestError as exc:
            if in_flight.may_have_run and exc.not_run == "true":
                # A later refusal says nothing about the earlier attempt.
                raise OutcomeUnknown(
                    f"an attempt without an answer may have run; then: {exc.message}"
                ) from exc
            raise

    async def _send_until_answered(
        self,
        admitted: _AdmittedRequest,
        sink: AnswerSink,
        in_flight: _RequestInFlight,
    ) -> None:
        req = admitted.req
        sent: list[str] = []
        unreachable: list[str] = []
        while True:
            backend = await self._wait_for_backend(admitted, sent, unreachable)
            in_flight.was_sent = True
            try:
                await self._attempt(admitted, backend, sink, len(sent) + 1)
            except NotSent as exc:
                in_flight.was_sent = bool(sent)
                unreachable.append(backend.name)
                await self._parts.paths.settle()
                if len(unreachable) > self.MAX_UNREACHABLE_BACKENDS:
                    raise self._unreachable_error(admitted, exc) from exc
                reason = exc.message
            except (BackendRefused, BackendFailed, OutcomeUnknown) as exc:
                if not isinstance(exc, BackendRefused):
                    in_flight.may_have_run = True
                if isinstance(exc, BackendReplaced):
                    unreachable.append(backend.name)
                else:
                    sent.append(backend.name)
                if len(unreachable) > self.MAX_UNREACHABLE_BACKENDS:
                    raise
                if not self._may_retry(admitted, sent, exc):
                    raise
                reason = exc.message
                if isinstance(exc, ArtifactMissing) and len(sent) > 1:
                    pause = self.MISSING_PAUSE_SECONDS * 2 ** (len(sent) - 2)
                    await self._parts.clock.sleep(pause)
            else:
                return
            events.RETRIED.log(
                request_id=req.request_id,
                backend=backend.name,
                reason=reason,
                sent=len(sent),
                unreachable=len(unreachable),
            )

    async def _admit(self, req: GatewayRequest) -> _AdmittedRequest:
        route, customer = self._find_route(req)
        resumes = req.resume_after is not None and route.kind is RequestKind.STREAM
        origin = None
        if resumes and req.resumed_stream is not None:
            origin = await self._find_origin(req.resumed_stream, route)
            # The configuration may have changed meanwhile.
            route, customer = self._find_route(req)
        service = self._find_service(route, origin)
        if resumes and origin is None:
            origin = self._only_origin(service)
        fingerprint = RequestFingerprint(
            caller=customer.name if customer else None,
            method=req.method,
            host=req.host,
            target=req.target,
            body=req.body,
            prompt=req.size.prompt_identity() if req.size else None,
        )
        trial = await self._check_quarantine(req, fingerprint)
        if customer is not None:
            self._charge(customer, req)
        if self._parts.clock.monotonic() > self.streams_until and req.size is not None:
            raise self._stopping_error()
        has_priority = customer is not None and customer.priority is not None
        return _AdmittedRequest(
            req=req,
            route=route,
            service=service,
            customer=customer,
            priority=customer.priority if has_priority else route.priority,
            ends_at=req.arrived_at + min(req.caller_seconds, route.timeout_seconds),
            software_version=origin.software_version if origin else None,
            trial=trial,
            fingerprint=fingerprint,
        )

    async def _check_quarantine(
        self, req: GatewayRequest, fingerprint: RequestFingerprint
    ) -> bool:
        """Return whether a request is the one attempt while it is quarantined.

        Raises:
            RequestQuarantined: It is quarantined, and is not the attempt.
        """
        quarantine = self._parts.quarantine
        blamed = _admission.find_blamed_parts(quarantine, req.size, fingerprint)
        if blamed is None:
            return False
        if await quarantine.may_try(blamed):
            return True
        raise _admission.quarantined(blamed)

    def _find_route(self, req: GatewayRequest) -> tuple[Route, Customer | None]:
        if self._routes is None:
            raise InstanceNotReady(
                "no configuration is known yet", retry_after=self.NOT_READY_SECONDS
            )
        route = self._routes.find(req.host, req.path)
        return route, self._routes.customer_of(route, req.key)

    async def _find_origin(self, stream: str, route: Route) -> StreamOrigin:
        """Return what began the stream that a request resumes.

        Raises:
            StreamNotResumable: It is not known what began the stream.
        """
        only = route.services[0].service if len(route.services) == 1 else None
        origin = await self._parts.streams.find(stream, only)
        if origin is None:
            raise StreamNotResumable(
                f"it is not known which software version began stream {stream!r}",
                retry_after=self.UNKNOWN_STREAM_SECONDS,
            )
        return origin

    def _only_origin(self, service: Service) -> StreamOrigin:
        """Return the origin of a stream that the caller does not name.

        Raises:
            StreamNotResumable: The service has had several software versions.
        """
        versions = self._parts.registry.versions_seen(service.name)
        if len(versions) != 1:
            raise StreamNotResumable(
                "the request does not name the attempt that began its stream, and "
                f"service {service.name!r} has had {len(versions)} software versions"
            )
        return StreamOrigin(service.name, next(iter(versions)))

    def _find_service(self, route: Route, origin: StreamOrigin | None) -> Service:
        """Return the service that began a resumed stream, or one of the route's.

        Raises:
            StreamNotResumable: The route no longer leads to the service.
        """
        assert self._routes is not None
        if origin is None:
            return self._routes.catalogue.services[self._choose_service(route)]
        if origin.service not in (part.service for part in route.services):
            raise StreamNotResumable(
                f"route {route.name!r} no longer leads to service {origin.service!r}, "
                "which began the stream"
            )
        return self._routes.catalogue.services[origin.service]

    def _choose_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [part.weight for part in route.services]
        return self._parts.rng.choices(route.services, weights)[0].service

    def _charge(self, customer: Customer, req: GatewayRequest) -> None:
        wait = self._parts.rate_limits.charge(customer, req)
        if wait is not None:
            raise RateLimited(
                f"customer {customer.name!r} is over its rate of {customer.rate:g} "
                f"and burst of {customer.burst:g}",
                retry_after=wait,
            )

    async def _wait_for_backend(
        self, admitted: _AdmittedRequest, sent: list[str], unreachable: list[str]
    ) -> BackendRecord:
        exhausted = len(set(sent)) >= admitted.route.max_attempts
        queued = QueuedRequest(
            req=admitted.req,
            route=admitted.route,
            service=admitted.service,
            priority=admitted.priority,
            software_version=admitted.software_version,
            homes=homes_of(admitted.route, admitted.customer),
            trial=admitted.trial,
            fingerprint=admitted.fingerprint,
            ends_at=admitted.ends_at,
            first_event_by=admitted.req.arrived_at + admitted.route.patience_seconds,
            only=frozenset(sent) if exhausted else None,
            avoid=frozenset(sent + unreachable),
            fut=asyncio.get_running_loop().create_future(),
        )
        return await self._parts.queue.wait_for_backend(queued)

    async def _attempt(
        self,
        admitted: _AdmittedRequest,
        backend: BackendRecord,
        sink: AnswerSink,
        attempt: int,
    ) -> None:
        req = admitted.req
        left = admitted.ends_at - self._parts.clock.monotonic()
        prompt_pending = True
        progress = AnswerProgress()
        paths = self._parts.paths
        sent_while_cut = paths.is_cut
        statement = self._parts.limits.book.of(backend.identity)
        brittleness = self._parts.places.book.of(backend.identity)
        rejected = complete = False
        events.SENT.log(
            request_id=req.request_id,
            backend=backend.name,
            service=admitted.service.name,
            customer=admitted.customer.name if admitted.customer else None,
            artifact=req.size.artifact if req.size else None,
            prompt_parts=req.size.logged_part_ids() if req.size else None,
            prompt_tokens=req.size.prompt_tokens if req.size else None,
            max_output_tokens=req.size.max_output_tokens if req.size else None,
            attempt=attempt,
            waited_ms=self._age_ms(req),
            left_ms=round(left * 1000),
            record=backend.report_number,
            software_version=backend.software_version,
            resume_after=req.resume_after,
            resumed_stream=req.resumed_stream,
            server_limit=statement.rate,
            cut=sent_while_cut,
        )
        queue = self._parts.queue
        load = queue.load_without(req, backend)
        late_seconds = self._late_seconds(admitted, backend, load)
        sent_at = self._parts.clock.monotonic()
        speed = AnswerSpeed(queue.speeds, req, backend, load, sent_at)
        paths.begin()
        try:
            async with self._parts.caller.send(
                backend,
                req,
                customer=admitted.customer.name if admitted.customer else None,
                priority=min(self.MAX_ENGINE_PRIORITY, admitted.priority),
                seconds_left=left,
            ) as answer:
                now = self._parts.clock.monotonic()
                progress.note_head(now)
                paths.note_bytes(now)
                self._parts.quarantine.note_alive(backend.identity)
                self._parts.limits.book.note_answer(
                    backend.identity, answer.head.named_limit, statement
                )
                self._parts.places.note_answer(
                    backend, answer.head.bears_rejections, brittleness
                )
                self._note_statements(answer.head, backend)
                rejected = answer.head.not_run and not answer.head.misdirected
                self._note_pace(answer.head, backend, now - sent_at, late_seconds)
                self._check_head(answer.head, admitted, backend, attempt)
                prompt_pending = False
                if admitted.route.resumable:
                    self._record_origin(admitted, backend)
                self._parts.queue.on_first_event(req, backend)
                # The time of a tunnel is not the backend server's.
                is_sample = (
                    queue.speeds.learns and answer.head.succeeded and not sent_while_cut
                )
                await self._relay(
                    admitted,
                    backend,
                    answer,
                    sink,
                    progress,
                    speed if is_sample else None,
                )
                complete = True
                ended_at = self._parts.clock.monotonic()
                seconds = ended_at - sent_at
                if is_sample:
                    speed.on_complete(progress, ended_at)
                if req.size is None:
                    self._parts.queue.run_times.note(admitted.service.name, seconds)
                elif answer.head.succeeded and req.resume_after is None:
                    self._parts.queue.stream_times.note(admitted.service.name, seconds)
                self._record_answered(admitted, backend, answer.head, progress)
        except (BackendFailed, OutcomeUnknown, AnswerCut, NotSent) as exc:
            # A direct connection that fails while this instance is cut says nothing
            # about the backend server.
            is_own_cut = paths.is_cut and not sent_while_cut
            if not is_own_cut:
                seconds = self._parts.clock.monotonic() - sent_at
                self._record_failure(backend, exc, left, seconds)
            if isinstance(exc, OutcomeUnknown | AnswerCut) and exc.connection_lost:
                if not is_own_cut:
                    self._record_loss(admitted, backend, progress)
                paths.note_lost(backend.identity)
            raise
        finally:
            paths.end()
            self._parts.queue.release(
                req,
                backend,
                prompt_pending=prompt_pending,
                rejected=rejected,
                complete=complete,
            )

    def _late_seconds(
        self, admitted: _AdmittedRequest, backend: BackendRecord, load: Load
    ) -> float:
        """Return the time after which the first event of an answer is late.

        It is infinite without paces, which alone ask for it.

        Args:
            admitted: The request.
            backend: Where it is sent.
            load: Load of the backend server without the request.
        """
        if not self._parts.limits.paces.is_enabled:
            return math.inf
        queue, size = self._parts.queue, admitted.req.size
        if size is None:
            expected = queue.run_times.mean(admitted.service.name)
        else:
            expected = queue.speeds.usual_first_event_seconds(
                backend, size.prompt_tokens, load
            )
        return max(self.MIN_LATE_SECONDS, self.LATE_FACTOR * expected)

    def _note_pace(
        self,
        head: AnswerHead,
        backend: BackendRecord,
        seconds: float,
        late_seconds: float,
    ) -> None:
        if head.misdirected:
            return
        is_failure = head.status >= 500 or head.not_run
        if is_failure or (head.succeeded and seconds > late_seconds):
            self._parts.limits.paces.note_bad(backend.identity, seconds)
        elif head.succeeded:
            self._parts.limits.paces.note_good(backend.identity)

    def _record_origin(
        self, admitted: _AdmittedRequest, backend: BackendRecord
    ) -> None:
        origin = StreamOrigin(admitted.service.name, backend.software_version)
        self._parts.streams.begin(admitted.req.request_id, origin)

    def _note_statements(self, head: AnswerHead, backend: BackendRecord) -> None:
        statements = self._parts.registry.statements
        if head.leaving and statements.note_leaving([backend.identity]):
            self._parts.queue.schedule_dispatch()
        if head.pause is not None:
            statements.note_pause(backend.identity, head.pause)

    def _check_head(
        self,
        head: AnswerHead,
        admitted: _AdmittedRequest,
        backend: BackendRecord,
        attempt: int,
    ) -> None:
        """Raise an error if the status allows or requires a retry.

        Raises:
            BackendRefused: The backend server did not run the request.
            BackendFailed: The backend server failed and a retry is allowed, or its
                answer is not of the kind of the route.
        """
        if head.named_limit is not None:
            events.LIMIT_RECEIVED.log(
                request_id=admitted.req.request_id,
                backend=backend.name,
                limit=head.named_limit[:16],
            )
        message = f"backend server {backend.name!r} answered {head.status}"
        is_replaced = head.misdirected and head.answered_by not in (None, backend.name)
        if is_replaced:
            self._parts.registry.note_replaced(backend)
        elif head.misdirected and admitted.req.size is not None:
            self._parts.registry.note_missing(backend.name, admitted.req.size.artifact)
        if head.not_run or head.misdirected:
            events.REJECTED.log(
                request_id=admitted.req.request_id,
                backend=backend.name,
                incarnation=backend.incarnation,
                status=head.status,
                slots=backend.slots,
                running_known=self._parts.queue.running_at(backend.name),
                bears_rejections=head.bears_rejections,
            )
            service = admitted.service.name
            self._parts.metrics.count("rejections_total", service=service)
            error_type = BackendRefused
            if is_replaced:
                error_type = BackendReplaced
            elif head.misdirected and admitted.req.size is not None:
                error_type = ArtifactMissing
            raise error_type(
                f"{message}: not run", retry_after=self.RETRY_AFTER_SECONDS
            )
        is_stream = admitted.route.kind is RequestKind.STREAM
        if head.succeeded and is_stream and not is_event_stream(head.headers):
            # The caller would take it for events of its stream.
            raise BackendFailed(f"{message} without a stream of events")
        failed = head.status >= 500 and admitted.route.kind is RequestKind.SAFE
        if failed and attempt < admitted.route.max_attempts:
            raise BackendFailed(message)

    async def _relay(
        self,
        admitted: _AdmittedRequest,
        backend: BackendRecord,
        answer: BackendAnswer,
        sink: AnswerSink,
        progress: AnswerProgress,
        speed: AnswerSpeed | None,
    ) -> None:
        await sink.start(answer.head)
        size = 0
        boundary = EventBoundary() if is_event_stream(answer.head.headers) else None
        try:
            async for chunk in answer.chunks():
                size += len(chunk)
                now = self._parts.clock.monotonic()
                progress.note_chunk(now)
                self._parts.paths.note_bytes(now)
                if boundary is not None:
                    boundary.feed(chunk)
                    progress.note_events(boundary.events, now)
                    if speed is not None:
                        speed.on_progress(progress)
                    self._check_event_size(boundary, backend)
                await sink.write(chunk)
                progress.note_blocked(self._parts.clock.monotonic() - now)
            if boundary is not None and boundary.is_inside_event:
                raise AnswerCut(
                    f"the stream of backend server {backend.name!r} ended inside an "
                    f"event, after {size} bytes (framing {answer.head.framing})",
                    connection_lost=True,
                )
        except AnswerCut:
            sink.abort()
            raise
        await sink.finish()
        age = self._age_ms(admitted.req)
        self._parts.metrics.observe(
            "request_seconds", age / 1000, service=admitted.service.name
        )
        self._parts.metrics.count("answers_total", status=str(answer.head.status))
        events.ANSWERED.log(
            request_id=admitted.req.request_id,
            backend=backend.name,
            status=answer.head.status,
            body_bytes=size,
            framing=answer.head.framing,
            after_ms=age,
            caller=admitted.req.caller,
        )

    def _check_event_size(
        self, boundary: EventBoundary, backend: BackendRecord
    ) -> None:
        if boundary.open_bytes > self.MAX_EVENT_BYTES:
            raise AnswerCut(
                f"the stream of backend server {backend.name!r} has an event of over "
                f"{self.MAX_EVENT_BYTES} bytes"
            )

    def _may_retry(
        self, admitted: _AdmittedRequest, sent: list[str], exc: RequestError
    ) -> bool:
        now = self._parts.clock.monotonic()
        may_have_run = not isinstance(exc, BackendRefused)
        if may_have_run and admitted.trial:
            return False
        if may_have_run and not admitted.route.retryable:
            return False
        if may_have_run and len(set(sent)) >= admitted.route.max_attempts:
            return False
        is_missing = isinstance(exc, ArtifactMissing)
        extra = self.MAX_MISSING_SENDS if is_missing else self.MAX_REFUSED_SENDS
        max_sends = admitted.route.max_attempts + extra
        if len(sent) >= max_sends or now >= admitted.ends_at:
            return False
        takes_requests = self._parts.registry.takes_requests
        if len(set(sent)) >= admitted.route.max_attempts and not any(
            map(takes_requests, sent)
        ):
            return False
        return self._parts.retries.take(
            admitted.service.name, now, instances=self.instances
        )

    def _unreachable_error(
        self, admitted: _AdmittedRequest, exc: NotSent
    ) -> RequestError:
        return Overloaded(
            f"service {admitted.service.name!r} could not be reached: {exc.message}",
            retry_after=self.RETRY_AFTER_SECONDS,
        )

    def _record_failure(
        self,
        backend: BackendRecord,
        exc: RequestError | NotSent,
        time_limit: float,
        seconds: float,
    ) -> None:
        if isinstance(exc, NoPathToServer):
            return
        # The status of an answer that allows a retry was counted with its head.
        if time_limit >= self.MIN_FAILURE_SECONDS and not isinstance(
            exc, BackendFailed
        ):
            self._parts.limits.paces.note_bad(backend.identity, seconds)
        if isinstance(exc, NotSent):
            self._parts.registry.note_unreachable(backend)
            self._parts.quarantine.note_refused(backend.identity)
            if time_limit > 0:
                self._parts.paths.note_refused(backend.identity)
            return
        if isinstance(exc, OutcomeUnknown) and time_limit < self.MIN_FAILURE_SECONDS:
            # A missed short deadline is no evidence that the backend server failed.
            return
        if self._parts.health.note_failure(backend.name):
            events.BACKEND_SUSPECT.log(
                backend=backend.name, reason=type(exc).__name__, detail=str(exc)
            )

    def _record_loss(
        self,
        admitted: _AdmittedRequest,
        backend: BackendRecord,
        progress: AnswerProgress,
    ) -> None:
        req = admitted.req
        seconds = progress.seconds
        events.REQUEST_LOST.log(
            request_id=req.request_id,
            backend=backend.name,
            incarnation=backend.incarnation,
            fingerprint=admitted.fingerprint.key,
            prompt_parts=req.size.logged_part_ids() if req.size else None,
            answer_ms=None if seconds is None else round(seconds * 1000),
            chunks=progress.chunks,
        )
        self._parts.quarantine.note_lost(
            backend.identity,
            req.size.shared_part_ids if req.size else (),
            admitted.fingerprint,
            answer_seconds=seconds,
            chunks=progress.chunks,
        )

    def _record_answered(
        self,
        admitted: _AdmittedRequest,
        backend: BackendRecord,
        head: AnswerHead,
        progress: AnswerProgress,
    ) -> None:
        if not head.succeeded:
            return
        size = admitted.req.size
        parts = size.shared_part_ids if size else ()
        if head.framing is Framing.CONNECTION:
            self._parts.quarantine.note_unmarked_end(
                backend.identity,
                parts,
                admitted.fingerprint,
                answer_seconds=progress.seconds,
                chunks=progress.chunks,
            )
        else:
            self._parts.quarantine.note_answered(parts, admitted.fingerprint)
            self._parts.quarantine.note_alive(backend.identity)

    def _log_failure(self, req: GatewayRequest, exc: RequestError) -> None:
        event = events.REFUSED if exc.not_run == "true" else events.FAILED
        self._parts.metrics.count("failures_total", type=exc.TYPE)
        event.log(
            request_id=req.request_id,
            type=exc.TYPE,
            reason=exc.message,
            retry_after=exc.retry_after,
            after_ms=self._age_ms(req),
            caller=req.caller,
            artifact=req.size.artifact if req.size else None,
        )

    def _age_ms(self, req: GatewayRequest) -> int:
        return round((self._parts.clock.monotonic() - req.arrived_at) * 1000)
