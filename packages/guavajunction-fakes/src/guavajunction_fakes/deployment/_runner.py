"""Stand-in for a runner, the platform's backend server.

It serves requests, has resident models and adapters, and executes orders.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import NamedTuple

from aiohttp import web

from guavajunction.connections import reset
from guavajunction_fakes._server import FakeServer, Handler
from guavajunction_fakes.unframed_response import UnframedResponse

from . import _wire as wire
from ._repeats import (
    AnswerRepeat,
    AnswerRepeater,
    encode_response,
    in_one_segment,
    write,
)
from ._store import FakeStore
from ._wire import HEADERS


class RunnerSpec(NamedTuple):
    """Properties of a runner."""

    name: str
    service: str
    models: tuple[str, ...] = ()
    """Models that are resident at the start; empty for a plain service."""
    engine: bool = False
    """Whether the runner serves models and streams its responses."""
    slots: int = 8
    """Maximum number of concurrent requests."""
    queue_slots: int = 0
    """Maximum number of requests that wait for a slot; more are rejected."""
    sizes: dict[str, float] = {}
    """Size of each model's weights in MB."""
    memory_mb: float = 100.0
    """Accelerator memory."""
    adapter_slots: int = 2
    """Maximum number of resident adapters."""
    work_seconds: float = 0.005
    """Time before a response and after each event of a stream."""
    events: int = 3
    """Number of events in a stream."""
    load_seconds: float = 0.1
    """Time to load a model."""
    version: str = "v1"
    """Version of the runner's software."""
    zone: str = "here"
    """Zone in which the runner is."""


class Run(NamedTuple):
    """A request that a runner started to execute."""

    request_id: str
    target: str
    """Path and query."""
    customer: str | None
    headers: tuple[str, ...]
    """Header names in lower case."""
    body: bytes
    deadline_ms: int
    at: float = 0.0
    """Start time in seconds of the monotonic clock."""
    version: str = "v1"
    """Version of the runner's software."""


class CrashingRequest(NamedTuple):
    """A request that crashes each runner that begins to run it."""

    target: str
    """Path and query."""
    customer: str | None
    body: bytes

    def is_repeated_by(self, run: Run) -> bool:
        """Return whether a run has the same path, customer and body."""
        return self == (run.target, run.customer, run.body)


class FakeRunner(FakeServer):
    """One runner, with its entry in the store."""

    CANCEL_ON_DISCONNECT = True
    CRASH_DELAY_SECONDS = 0.05
    """Time from the beginning of an answer until the runner crashes on it."""
    DOWN_SECONDS = 0.4
    """Time from a crash until the runner accepts connections again."""
    BRITTLE_DOWN_SECONDS = 2.0
    """Time from a fall under rejected requests until it accepts connections again."""
    REJECTION_WINDOW_SECONDS = 1.0
    """Time in which a brittle runner bears only so many rejections."""

    def __init__(self, spec: RunnerSpec, store: FakeStore) -> None:
        super().__init__()
        self.spec = spec
        """Properties of the runner."""
        self.runs: list[Run] = []
        """Executed requests in order of their start."""
        self.completed: list[str] = []
        """Ids of the requests that were executed without a lost connection."""
        self.overloads: list[str] = []
        """Artifacts whose load orders exceeded the memory or the adapter slots."""
        self.max_work_seconds = 0.0
        """Upper end of the range from which the work of a request is drawn."""
        self.wrong_request_ids = False
        """Whether responses have another request's id."""
        self.error_status = 0
        """Status of all responses that are not streamed; 0 for normal responses."""
        self.cut_after_events = -1
        """Number of an event after which streams are aborted; -1 for never."""
        self.stream_type = "text/event-stream"
        """Content type of streams; another one makes it a page of text."""
        self.stops_in_head = False
        """Whether responses end in the middle of their head."""
        self.raw_answer = b""
        """Bytes written instead of each answer, with the header line that names the
        request in place of `{id}`; empty for answers."""
        self.unframed_streams = False
        """Whether streams have neither a length nor chunks."""
        self.events_name_request = False
        """Whether the events of a stream name the request that they answer."""
        self.close_inside_event = -1
        """Number of an event in the middle of which streams end and their connection
        is closed in order; -1 for never."""
        self.crash_part = ""
        """Part of a prompt on which the runner crashes as soon as it begins an answer;
        empty for none."""
        self.crash_request: CrashingRequest | None = None
        """Request on which the runner crashes soon after it began to run it."""
        self.crashed_at: list[float] = []
        """Times of crashes on the crashing part, on the monotonic clock."""
        self.crashing_runs: list[float] = []
        """Times at which the runner began to run the crashing request."""
        self.crashed_on_request_at: list[float] = []
        """Times of crashes on the crashing request."""
        self.crashing_arrivals: list[float] = []
        """Times of arrived requests with the crashing part."""
        self.named_limit = ""
        """Limit that all answers name, in requests a second; empty for none."""
        self.leaving = False
        """Whether all answers say that the runner leaves."""
        self.pause = ""
        """Seconds for which it wants no request after it has turned one away, as it
        writes them; empty if it turns none away."""
        self.refused_fraction = 0.0
        """Fraction of the requests that it turns away at random."""
        self.brittle = ""
        """Number of rejections in a second that the runner says it bears; empty if it
        bears any number."""
        self.queue_slots = spec.queue_slots
        """Maximum number of requests that wait for a slot."""
        self.rejected_at: list[float] = []
        """Times of requests rejected by a full queue, on the monotonic clock."""
        self.busy_seconds = 0.0
        """Time for which slots were in use, summed over the slots."""
        self.fell_at: list[float] = []
        """Times at which the runner fell over under the requests that it rejected."""
        self.repeats_refusals = AnswerRepeat.NEVER
        """When the runner writes each refusal a second time."""
        self.repeats_answers = AnswerRepeat.NEVER
        """When the runner writes each answer to a request that it ran a second time.
        The head of such an answer is sent ahead of its body."""
        self.cold_seconds = 0.0
        """Time for which the runner is cold after each restart."""
        self.arrived_at: list[float] = []
        """Times of all arrived requests, orders and reports, on the monotonic clock."""
        self.arrived_parts: list[str] = []
        """Parts of the prompts of all arrived requests, also of those not executed."""
        self._store = store
        self._models: dict[str, set[str]] = {model: set() for model in spec.models}
        self._cached_models: set[str] = set(spec.models)
        self.orders: list[wire.OrderBody] = []
        """Received orders, including refused ones."""
        self._order_count = 0
        self._last_fence = 0
        self._busy = False
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._open: list[web.Request] = []
        self._repeater = AnswerRepeater()
        self._heartbeat = 0
        self._registered = False
        self._draining = False
        self._started_ms = int(time.time() * 1000)
        self._cold_until = 0.0
        self._address = ""

    @property
    def running(self) -> int:
        """Return the number of requests that are being executed."""
        return self._running

    @property
    def copies(self) -> int:
        """Return the number of answers that were written a second time."""
        return self._repeater.copies

    @property
    def address(self) -> str:
        """Return the registered address, `host:port`."""
        return self._address

    @property
    def models(self) -> dict[str, set[str]]:
        """Return the names of resident adapters by resident model."""
        return self._models

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of a runner; all other paths are customers' requests."""
        return [
            web.get("/report", self._handle_report),
            web.post("/order", self._handle_order),
            web.route("*", "/{tail:.*}", self._handle_request),
        ]

    def app(self) -> web.Application:
        """Return the web application; all its answers have its statements."""
        app = super().app()
        app.on_response_prepare.append(self._make_statements)
        app.middlewares.append(self._record_arrival)
        return app

    async def _make_statements(self, _: web.Request, resp: web.StreamResponse) -> None:
        if self.named_limit:
            resp.headers[HEADERS.limit] = self.named_limit
        if self.leaving:
            resp.headers[HEADERS.leaving] = "1"
        if self.brittle:
            resp.headers[HEADERS.brittle] = self.brittle

    @web.middleware
    async def _record_arrival(
        self, req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.arrived_at.append(time.monotonic())
        self._repeater.write_pending(req.transport)
        return await handler(req)

    def register(self, url: str) -> None:
        """Write the runner's entry to the store.

        Args:
            url: URL at which instances reach the runner.
        """
        self._address = url.removeprefix("http://")
        self._write_entry()

    def drain(self) -> None:
        """Mark the runner in the store as draining: it is about to leave."""
        self._draining = True
        self._write_entry()

    def restart(self) -> None:
        """Accept work again, with the start time and counters of a restarted runner."""
        self._draining = False
        self._started_ms = int(time.time() * 1000)
        self._cold_until = time.monotonic() + self.cold_seconds
        self._heartbeat = 0
        self._order_count = self._last_fence = 0
        self._write_entry()

    def report(self) -> None:
        """Write a heartbeat to the store."""
        self._write_entry()

    async def crash(
        self, times: list[float], down_seconds: float = DOWN_SECONDS
    ) -> None:
        """Reset all connections, refuse new ones for a while, then restart empty.

        Streams without framing are reset as well: whether one that is closed in order
        between two events is complete cannot be told.

        Args:
            times: Extended by the time of the crash.
            down_seconds: Time until it accepts connections again.
        """
        if self.faults.active.outage == "refuse":
            return
        times.append(time.monotonic())
        self.faults.set(outage="refuse", outage_seconds=down_seconds)
        for req in list(self._open):
            UnframedResponse().reset(req)
        self._models.clear()
        self._busy = False
        await asyncio.sleep(down_seconds)
        self.restart()

    def restart_as(self, version: str) -> None:
        """Restart with another version of the software, under the same name."""
        self.spec = self.spec._replace(version=version)
        self.restart()

    def deregister(self) -> None:
        """Remove the runner's entry from the store."""
        self._registered = False
        self._store.write("servers", self.spec.name, None)

    def write_again(self) -> None:
        """Write the entry once more, after the store came back from an older copy."""
        if self._registered:
            self._write_entry()
        else:
            self.deregister()

    def _write_entry(self) -> None:
        self._registered = True
        self._heartbeat += 1
        entry = wire.runner_entry(
            service=self.spec.service,
            version=self.spec.version,
            address=self._address,
            zone=self.spec.zone,
            slots=self.spec.slots,
            draining=self._draining,
            started_ms=self._started_ms,
            heartbeat=self._heartbeat,
            models=self._wire_models(),
            cached_models=sorted(self._cached_models),
            cold_ms=max(0, round(1000 * (self._cold_until - time.monotonic()))),
        )
        self._store.write("servers", self.spec.name, entry)

    def _wire_models(self) -> list[dict]:
        return [
            wire.model_entry(m, list(names))
            for m, names in sorted(self._models.items())
        ]

    async def _handle_report(self, _: web.Request) -> web.Response:
        report = wire.runner_report(
            orders=self._order_count,
            busy=self._busy,
            running=self._running,
            models=self._wire_models(),
        )
        return web.json_response(report)

    async def _handle_order(self, req: web.Request) -> web.Response:
        if req.headers.get(HEADERS.target) != self.spec.name:
            return web.Response(status=421)
        order = wire.order_body(await req.json())
        self.orders.append(order)
        if order.fence < self._last_fence:
            return web.Response(status=412)
        if self._busy or order.expected not in (None, self._order_count):
            return web.Response(status=409)
        if order.adapter and order.model not in self._models:
            return web.Response(status=400)
        self._last_fence = order.fence
        self._order_count += 1
        if order.adapter:
            return self._change_adapter(order)
        if order.operation == "load" and not self._fits(order.model):
            self.overloads.append(order.model)
        self._busy = True
        self.spawn(self._change_model(order))
        return web.Response(status=202)

    def _change_adapter(self, order: wire.OrderBody) -> web.Response:
        resident = self._models[order.model]
        if order.operation == "unload":
            resident.discard(order.adapter)
            return web.Response(status=200)
        if order.adapter in resident:
            return web.Response(status=200)
        used_slots = sum(len(adapters) for adapters in self._models.values())
        if used_slots >= self.spec.adapter_slots:
            self.overloads.append(f"{order.model}/{order.adapter}")
        resident.add(order.adapter)
        return web.Response(status=202)

    async def _change_model(self, order: wire.OrderBody) -> None:
        if order.operation == "load":
            await asyncio.sleep(self.spec.load_seconds)
            self._models.setdefault(order.model, set())
            self._cached_models.add(order.model)
        else:
            self._models.pop(order.model, None)
        self._busy = False
        self._write_entry()

    def _fits(self, model: str) -> bool:
        used_mb = sum(self.spec.sizes.get(name, 0.0) for name in self._models)
        return used_mb + self.spec.sizes.get(model, 0.0) <= self.spec.memory_mb

    async def _handle_request(self, req: web.Request) -> web.StreamResponse:
        parts = req.headers.get(HEADERS.parts, "")
        self.arrived_parts.append(parts)
        if self._crashes_on(parts):
            self.crashing_arrivals.append(time.monotonic())
        rejection = self._rejection(req)
        if rejection is not None:
            rejection.headers[HEADERS.request_id] = req.headers[HEADERS.request_id]
            if req.transport is not None:
                self._repeater.write_again(
                    req.transport,
                    encode_response(rejection, b""),
                    self.repeats_refusals,
                )
            return rejection
        async with self._slot(req):
            return await self._execute(req)

    @contextlib.asynccontextmanager
    async def _slot(self, req: web.Request) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        self._open.append(req)
        try:
            if self._running >= self.spec.slots:
                turn = asyncio.get_running_loop().create_future()
                self._waiting.append(turn)
                try:
                    await turn
                except asyncio.CancelledError:
                    if turn in self._waiting:
                        self._waiting.remove(turn)
                    else:
                        self._free_slot()
                    raise
            else:
                self._running += 1
            began = time.monotonic()
            try:
                yield
            finally:
                self.busy_seconds += time.monotonic() - began
                self._free_slot()
        finally:
            self._open.remove(req)

    def _free_slot(self) -> None:
        """Pass a slot on to the next waiting request, if any."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

    async def _execute(self, req: web.Request) -> web.StreamResponse:
        request_id = req.headers[HEADERS.request_id]
        run = Run(
            request_id=request_id,
            target=req.raw_path,
            customer=req.headers.get(HEADERS.customer),
            headers=tuple(name.lower() for name in req.headers),
            body=await req.read(),
            deadline_ms=int(req.headers[HEADERS.deadline]),
            at=time.monotonic(),
            version=self.spec.version,
        )
        self.runs.append(run)
        try:
            if self.crash_request and self.crash_request.is_repeated_by(run):
                self.crashing_runs.append(run.at)
                await asyncio.sleep(self.CRASH_DELAY_SECONDS)
                self.spawn(self.crash(self.crashed_on_request_at))
            await asyncio.sleep(
                max(self.spec.work_seconds, random.uniform(0.0, self.max_work_seconds))
            )
            if self.stops_in_head:
                write(req.transport, b"HTTP/1.1 200 OK\r\nContent-Le")
                req.transport.close()
                raise ConnectionResetError
            if self.raw_answer and req.transport is not None:
                id_line = f"{HEADERS.request_id}: {request_id}\r\n".encode()
                write(req.transport, self.raw_answer.replace(b"{id}", id_line))
                req.transport.close()
                raise ConnectionResetError
            respond = (
                self._respond_as_stream if self.spec.engine else self._respond_at_once
            )
            transport = req.transport
            if transport is None:
                raise ConnectionResetError
            with self._repeater.answering(transport):
                resp = await respond(
                    req, "crossed" if self.wrong_request_ids else request_id
                )
            self.completed.append(request_id)
            return resp
        except ConnectionResetError:
            # The caller has closed the connection, which is no error of the runner.
            return web.Response(status=499)

    def _crashes_on(self, parts: str) -> bool:
        ids = [part.partition(":")[0] for part in parts.split(",")]
        return bool(self.crash_part) and self.crash_part in ids

    def _rejection(self, req: web.Request) -> web.Response | None:
        if req.headers.get(HEADERS.target) != self.spec.name:
            return web.Response(status=421)
        if HEADERS.model in req.headers:
            model, _, adapter = req.headers[HEADERS.model].partition("/")
            resident = self._models.get(model)
            if resident is None or (adapter and adapter not in resident):
                return web.Response(status=421, headers={HEADERS.not_run: "1"})
        if self.pause:
            headers = {HEADERS.not_run: "1", HEADERS.retry_after: self.pause}
            return web.Response(status=503, headers=headers)
        is_full = len(self._waiting) >= self.queue_slots and (
            self._running >= self.spec.slots
        )
        if is_full:
            self._count_rejection()
        if is_full or random.random() < self.refused_fraction:
            return web.Response(status=503, headers={HEADERS.not_run: "1"})
        return None

    def _count_rejection(self) -> None:
        """Fall over if a brittle runner has rejected too many requests."""
        now = time.monotonic()
        self.rejected_at.append(now)
        since = now - self.REJECTION_WINDOW_SECONDS
        recent = sum(at > since for at in self.rejected_at[-1000:])
        if self.brittle and recent > float(self.brittle):
            self.spawn(self.crash(self.fell_at, self.BRITTLE_DOWN_SECONDS))

    async def _respond_at_once(
        self, req: web.Request, request_id: str
    ) -> web.StreamResponse:
        headers = {HEADERS.request_id: request_id, HEADERS.seal: "sealed"}
        status = self.error_status or 200
        body = b"done by " + request_id.encode()
        if self.repeats_answers is AnswerRepeat.NEVER:
            return web.Response(status=status, body=body, headers=headers)
        resp = web.StreamResponse(status=status, headers=headers)
        resp.content_length = len(body)
        await resp.prepare(req)
        await asyncio.sleep(self.spec.work_seconds)
        await self._end_twice(req, resp, body)
        return resp

    async def _end_twice(
        self, req: web.Request, resp: web.StreamResponse, body: bytes
    ) -> None:
        """Write the rest of a response, and the whole response again.

        Args:
            req: The request.
            resp: Response whose head has been sent.
            body: The whole body; what has not been sent is written now.
        """
        transport = req.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError
        copy = encode_response(resp, body)
        with in_one_segment(transport):
            if resp.content_length is not None:
                await resp.write(body)
            await resp.write_eof()
            self._repeater.write_again(transport, copy, self.repeats_answers)

    async def _respond_as_stream(
        self, req: web.Request, request_id: str
    ) -> web.StreamResponse:
        headers = {
            HEADERS.request_id: request_id,
            HEADERS.seal: "sealed",
            "Content-Type": self.stream_type,
        }
        response_type = (
            UnframedResponse if self.unframed_streams else web.StreamResponse
        )
        resp = response_type(headers=headers)
        await resp.prepare(req)
        if self._crashes_on(req.headers.get(HEADERS.parts, "")):
            await asyncio.sleep(self.CRASH_DELAY_SECONDS)
            self.spawn(self.crash(self.crashed_at))
        first = int(req.headers.get(HEADERS.last_event, 0)) + 1
        sent = b""
        for number in range(first, self.spec.events + 1):
            if self.cut_after_events >= 0 and number > self.cut_after_events:
                assert req.transport is not None
                if self.unframed_streams:
                    # The end of the connection would mark the part as complete.
                    reset(req.transport)
                else:
                    req.transport.abort()
                break
            suffix = f" of {request_id}" if self.events_name_request else ""
            event = f"id: {number}\ndata: token {number}{suffix}\n\n".encode()
            if number == self.close_inside_event:
                await resp.write(event[:-4])
                assert req.transport is not None
                req.transport.close()
                break
            await resp.write(event)
            sent += event
            await asyncio.sleep(self.spec.work_seconds)
        if self.repeats_answers is AnswerRepeat.NEVER:
            await resp.write_eof()
        else:
            await self._end_twice(req, resp, sent)
        return resp
