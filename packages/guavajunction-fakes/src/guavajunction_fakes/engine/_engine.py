"""HTTP interface of the emulated model engine."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from typing import Any, NamedTuple

from aiohttp import web

from guavajunction_fakes._faults import abort_connection
from guavajunction_fakes._run_log import RunLog
from guavajunction_fakes._server import FakeServer

from ._answers import answer_tokens, prefix_of, prompt_of, tokens_in
from ._batch import Batch, GenerationJob
from ._config import EngineConfig
from ._event_writer import EventWriter
from ._load_reporter import LoadReporter
from ._memory import Artifact, Memory
from ._orders import Order, OrderExecutor
from ._prefix_cache import PrefixCache
from ._response_bodies import ResponseBodies


class _ResumableStream(NamedTuple):
    """A stream that its caller can resume after a disconnect."""

    job: GenerationJob
    begun_at: float


class FakeEngine(FakeServer):
    """An OpenAI-compatible engine that emulates inference by sleeping."""

    DEFAULT_MAX_TOKENS = 256
    DEFAULT_PRIORITY = 1
    RETRY_AFTER_SECONDS = 1
    IMPORTED_TOKENS = 512
    CANCEL_ON_DISCONNECT = True
    INFERENCE_PATHS = ("/v1/chat/completions", "/v1/completions")

    def __init__(self, cfg: EngineConfig | None = None) -> None:
        super().__init__()
        self.cfg = cfg or EngineConfig()
        """Settings of the engine."""
        self.log = RunLog()
        """Requests that the engine ran."""
        self.memory = Memory(self.cfg.memory_mib, self.cfg.kv_reserve_mib)
        """Accelerator memory with the resident artifacts."""
        self.prefix_cache = PrefixCache(
            mib_per_token=self.cfg.kv_mib_per_token,
            lag_seconds=self.cfg.cache_event_lag,
            omit_every=self.cfg.cache_event_gap,
        )
        """Cache of prompt prefixes."""
        self.batch = Batch(self.cfg, self.prefix_cache)
        """Waiting and running requests."""
        self.orders = OrderExecutor(
            self.cfg, self.memory, self.prefix_cache, self.spawn
        )
        """Executor of the received orders."""
        self.leaving = False
        """Whether the load report announces that the engine is leaving the pool."""
        self._load_reporter = LoadReporter(
            self._measure,
            interval_seconds=self.cfg.load_report_every,
            lag_seconds=self.cfg.load_report_lag,
        )
        self._resumable: dict[str, _ResumableStream] = {}
        self._disconnects = 0
        self._resumed = 0
        self._refused = 0
        for resident in self.cfg.residents:
            self.memory.add(Artifact(*resident, order_id="", state="ready"))

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [
            *(web.post(path, self._handle_infer) for path in self.INFERENCE_PATHS),
            web.post("/admin/cancel", self._handle_cancel),
            web.get("/admin/load", self._handle_load),
            web.post("/admin/orders", self._handle_order),
            web.post("/admin/leaving", self._handle_leaving),
            web.get("/admin/cache-events", self._handle_cache_events),
            web.get("/admin/kv/{prefix}", self._handle_kv_get),
            web.put("/admin/kv/{prefix}", self._handle_kv_put),
            web.get("/healthz", self._handle_health),
            *self.log.routes(),
        ]

    def start_background_tasks(self) -> None:
        """Start the batch and the load measurements."""
        self.spawn(self.batch.run())
        self.spawn(self._load_reporter.run())

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {
            **super().stats(),
            **self.log.stats(),
            "overcommits": self.memory.overcommits,
            "peak_mib": self.memory.peak_mib,
            "memory_mib": self.memory.capacity_mib,
            "loads": self.orders.loads,
            "unloads": self.orders.unloads,
            "unloads_in_use": self.orders.unloads_in_use,
            "stale_orders": self.orders.stale,
            "repeated_orders": self.orders.repeated,
            "preemptions": self.batch.preemptions,
            "tokens": self.batch.tokens_generated,
            "busy_seconds": round(self.batch.busy_seconds, 3),
            "cache_hits": self.prefix_cache.hits,
            "cache_misses": self.prefix_cache.misses,
            "disconnects": self._disconnects,
            "resumed": self._resumed,
            "refused": self._refused,
            "last_fence": self.orders.last_fence,
            "role": self.orders.role,
        }

    async def _handle_infer(self, req: web.Request) -> web.StreamResponse:
        self.log.count_secrets(req)
        try:
            body = await req.json()
            prompt = prompt_of(body)
            artifact = self.memory.ready_artifact(body["model"])
        except (json.JSONDecodeError, KeyError, TypeError) as exc:
            return _error(400, "bad_request", repr(exc))
        if artifact is None:
            self._refused += 1
            return _error(404, "unknown_artifact", str(body["model"]))
        if len(self.batch.waiting) >= self.cfg.max_waiting:
            self._refused += 1
            headers = {"Retry-After": str(self.RETRY_AFTER_SECONDS)}
            return _error(503, "full", "no room to wait", headers)
        if "Last-Event-ID" in req.headers:
            job = self._create_resuming_job(req)
            if job is None:
                return _error(410, "cannot_resume", "the stream is not kept")
        else:
            job = self._create_job(req, body, prompt, artifact)
        self.batch.submit(job)
        return await self._respond(req, body, job)

    def _create_job(
        self, req: web.Request, body: dict[str, Any], prompt: str, artifact: Artifact
    ) -> GenerationJob:
        request_id = req.headers.get("X-Request-Id") or uuid.uuid4().hex
        max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        if self.faults.consume("cross_answers"):
            prompt, request_id = f"crossed {prompt}", uuid.uuid4().hex
        job = GenerationJob(
            request_id,
            artifact,
            prefix_of(body),
            answer_tokens(
                artifact.name, prompt, int(max_tokens or self.DEFAULT_MAX_TOKENS)
            ),
            prompt_tokens=tokens_in(prompt),
            priority=self._priority(req),
        )
        self.log.add(req, artifact.name)
        self._store_resumable(job)
        return job

    def _priority(self, req: web.Request) -> int:
        text = req.headers.get("X-Priority", "")
        return int(text) if text.isdigit() else self.DEFAULT_PRIORITY

    def _store_resumable(self, job: GenerationJob) -> None:
        now = time.monotonic()
        self._resumable[job.request_id] = _ResumableStream(job, now)
        for request_id, resumable in list(self._resumable.items()):
            if now - resumable.begun_at < self.cfg.keep_streams_seconds:
                break
            del self._resumable[request_id]

    def _create_resuming_job(self, req: web.Request) -> GenerationJob | None:
        resumable = self._resumable.get(req.headers.get("X-Request-Id", ""))
        text = req.headers["Last-Event-ID"]
        if resumable is None or not text.isdigit():
            return None
        old = resumable.job
        self.batch.cancel(old)
        self._resumed += 1
        job = GenerationJob(
            old.request_id,
            old.artifact,
            old.prefix,
            old.tokens,
            prompt_tokens=old.prompt_tokens,
            priority=self._priority(req),
            generated=min(int(text) + 1, len(old.tokens)),
        )
        self._resumable[job.request_id] = resumable._replace(job=job)
        return job

    async def _respond(
        self, req: web.Request, body: dict[str, Any], job: GenerationJob
    ) -> web.StreamResponse:
        try:
            if body.get("stream"):
                return await self._respond_as_stream(req, job)
            return await self._respond_at_once(req, job)
        except (ConnectionError, asyncio.CancelledError):
            self._disconnects += 1
            raise
        finally:
            self.batch.cancel(job)

    async def _respond_at_once(
        self, req: web.Request, job: GenerationJob
    ) -> web.Response:
        parts = []
        while (token := await job.token_queue.get()) is not None:
            parts.append(token)
        if job.cancelled:
            return abort_connection(req)
        answer = ResponseBodies(req.path, job).full_response("".join(parts))
        return web.json_response(answer, headers={"X-Request-Id": job.request_id})

    async def _respond_as_stream(
        self, req: web.Request, job: GenerationJob
    ) -> web.StreamResponse:
        first_event = job.generated
        resp = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                "X-Request-Id": job.request_id,
            }
        )
        await resp.prepare(req)
        stream = EventWriter(self.faults, req, resp)
        bodies = ResponseBodies(req.path, job)
        event = first_event
        while (token := await job.token_queue.get()) is not None:
            if event == first_event + 1 and self.faults.consume("cross_events"):
                foreign = bodies.foreign_chunk(token)
                await stream.send(event, foreign)
            await stream.send(event, bodies.token_chunk(token))
            event += 1
        if job.cancelled:
            return abort_connection(req)
        # A caller that resumes may already have received these last two events.
        last_seen = int(req.headers.get("Last-Event-ID", -1))
        for number, data in ((event, bodies.final_chunk()), (event + 1, "[DONE]")):
            if number > last_seen:
                await stream.send(number, data)
        await resp.write_eof()
        return resp

    async def _handle_cancel(self, req: web.Request) -> web.Response:
        resumable = self._resumable.get((await req.json())["request_id"])
        if resumable is not None:
            self.batch.cancel(resumable.job)
        return web.json_response({"known": resumable is not None})

    async def _handle_load(self, req: web.Request) -> web.Response:
        return web.json_response(self._load_reporter.published_report())

    async def _handle_order(self, req: web.Request) -> web.Response:
        try:
            order = Order.from_body(await req.json())
        except (json.JSONDecodeError, TypeError) as exc:
            return _error(400, "bad_order", repr(exc))
        accepted = web.json_response({"order_id": order.order_id}, status=202)
        if self.faults.consume("lose_orders"):
            return accepted
        if self.faults.consume("delay_orders"):
            self.spawn(
                self._apply_later(order, self.faults.active.delay_orders_seconds)
            )
            return (
                accepted
                if self.faults.active.answer_delayed_orders
                else abort_connection(req)
            )
        if self.faults.consume("duplicate_orders"):
            self.spawn(
                self._apply_later(order, self.faults.active.delay_orders_seconds)
            )
        result = self.orders.apply(order)
        return web.json_response(result.body, status=result.status)

    async def _apply_later(self, order: Order, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.orders.apply(order)

    async def _handle_leaving(self, req: web.Request) -> web.Response:
        self.leaving = bool((await req.json())["leaving"])
        return web.Response(status=204)

    async def _handle_cache_events(self, req: web.Request) -> web.Response:
        after = int(req.query.get("after", 0))
        return web.json_response(self.prefix_cache.published_events(after))

    async def _handle_kv_get(self, req: web.Request) -> web.Response:
        found = self.prefix_cache.cached_tokens_by_artifact(req.match_info["prefix"])
        if not found:
            return _error(404, "unknown_prefix", req.match_info["prefix"])
        return web.Response(body=json.dumps(found).encode())

    async def _handle_kv_put(self, req: web.Request) -> web.Response:
        capacity_mib = self.batch.cache_capacity_mib
        for artifact, tokens in json.loads(await req.read()).items():
            self.prefix_cache.store(
                artifact, req.match_info["prefix"], tokens, capacity_mib
            )
        return web.Response(status=204)

    async def _handle_health(self, req: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    def _measure(self) -> dict[str, Any]:
        kv_used_mib = round(self.batch.kv_used_mib)
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.cfg.slots,
            "memory_mib": self.cfg.memory_mib,
            "used_mib": self.memory.weights_mib + kv_used_mib,
            "kv_used_mib": kv_used_mib,
            "resident": [a.report() for a in self.memory.artifacts.values()],
            "role": self.orders.role,
            "last_fence": self.orders.last_fence,
            "applied_orders": list(self.orders.applied),
            "refused_orders": list(self.orders.refused),
            "leaving": self.leaving,
        }


def _error(
    status: int, kind: str, message: str, headers: dict[str, str] | None = None
) -> web.Response:
    body = {"error": {"type": kind, "message": message}}
    return web.json_response(body, status=status, headers=headers)
