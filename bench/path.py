"""Compares direct requests, a bare proxy and an entry instance in one run.

Run `python bench/path.py`, or `make bench` for all benchmarks. Prints a table, or JSON
with `--json`. Each process uses its own core if the machine has enough.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

import aiohttp
import uvloop
from aiohttp import web

from guavajunction_fakes.fleet import PROFILES, Fleet

HOST = "127.0.0.1"
MODEL = "model-1"
ANSWER_BYTES = 1_024
STREAM_EVENTS = 50
CHAT_PATH = "/v1/chat/completions"

SCRIPT = str(Path(__file__).resolve())

MEASURE_SECONDS = 2.0
WARM_UP_SECONDS = 0.5
ROUNDS = 3


class BenchEngine:
    """Engine that replies immediately: one kilobyte, or a stream of 50 events."""

    def __init__(self) -> None:
        self._resident: dict[str, dict[str, object]] = {}
        self._orders: list[str] = []
        self._seq = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.add_routes(
            [
                web.post(CHAT_PATH, self.on_chat),
                web.get("/admin/load", self.on_load),
                web.get("/admin/cache-events", self.on_cache_events),
                web.post("/admin/orders", self.on_order),
            ]
        )
        return app

    async def on_chat(self, req: web.Request) -> web.StreamResponse:
        """Reply with the id of the request."""
        body = await req.json()
        request_id = req.headers.get("X-Request-Id", "none")
        if body.get("stream"):
            return await self._stream(req, request_id)
        answer = {"id": f"chatcmpl-{request_id}", "choices": [], "pad": ""}
        answer["pad"] = "x" * (ANSWER_BYTES - len(json.dumps(answer)))
        return web.json_response(answer, headers={"X-Request-Id": request_id})

    async def _stream(self, req: web.Request, request_id: str) -> web.StreamResponse:
        response = web.StreamResponse(headers={"X-Request-Id": request_id})
        response.content_type = "text/event-stream"
        await response.prepare(req)
        data = json.dumps(
            {"id": f"chatcmpl-{request_id}", "choices": [{"delta": {"content": "x"}}]}
        )
        for number in range(STREAM_EVENTS):
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        await response.write(f"id: {STREAM_EVENTS}\ndata: [DONE]\n\n".encode())
        await response.write_eof()
        return response

    async def on_load(self, req: web.Request) -> web.Response:
        """Report an engine that always has free slots and memory."""
        self._seq += 1
        return web.json_response(
            {
                "seq": self._seq,
                "age_seconds": 0.0,
                "running": 0,
                "waiting": 0,
                "slots": 512,
                "memory_mib": 100_000,
                "used_mib": 0,
                "kv_used_mib": 0,
                "resident": list(self._resident.values()),
                "role": "",
                "last_fence": 0,
                "applied_orders": self._orders[-256:],
                "refused_orders": [],
                "leaving": False,
            }
        )

    async def on_cache_events(self, req: web.Request) -> web.Response:
        """Report an empty cache."""
        return web.json_response({"events": [], "first": 1, "last": 0})

    async def on_order(self, req: web.Request) -> web.Response:
        """Execute an order immediately; every order counts as a load."""
        order = await req.json()
        self._orders.append(order["order_id"])
        self._resident[order["artifact"]] = {
            "artifact": order["artifact"],
            "mib": order["mib"],
            "state": "ready",
            "order_id": order["order_id"],
        }
        return web.json_response({}, status=202)


class PassThroughProxy:
    """Proxy that forwards every request to one target."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._session: aiohttp.ClientSession

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.add_routes([web.post(CHAT_PATH, self.on_chat)])
        app.cleanup_ctx.append(self._open_session)
        return app

    async def _open_session(self, app: web.Application):  # noqa: ANN202
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            yield

    async def on_chat(self, req: web.Request) -> web.StreamResponse:
        """Forward one request."""
        body = await req.read()
        headers = {"Content-Type": "application/json"}
        async with self._session.post(
            f"{self._target}{CHAT_PATH}", data=body, headers=headers
        ) as resp:
            response = web.StreamResponse(status=resp.status)
            response.content_type = resp.content_type
            await response.prepare(req)
            async for chunk in resp.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


class Measurement(NamedTuple):
    """Figures of one target, one kind of reply and one number of connections."""

    rate: float
    """Replies a second."""
    p50_ms: float
    """Median latency in milliseconds."""


async def serve(app: web.Application, port: int) -> None:
    """Serve until cancelled."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    await asyncio.Event().wait()


async def measure(
    send_request: Callable[[], Awaitable[None]], connections: int, seconds: float
) -> Measurement:
    """Send requests on several connections; each sends the next one after a reply."""
    times: list[float] = []
    end = time.perf_counter() + seconds

    async def worker() -> None:
        while (start := time.perf_counter()) < end:
            await send_request()
            times.append(time.perf_counter() - start)

    await asyncio.gather(*(worker() for _ in range(connections)))
    return Measurement(len(times) / seconds, statistics.median(times) * 1000)


def request_sender(
    session: aiohttp.ClientSession, url: str, key: str, *, stream: bool
) -> Callable[[], Awaitable[None]]:
    """Return a function that sends a request and checks that its reply is complete."""
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": "x" * 200}],
            "max_tokens": 64,
            "stream": stream,
        }
    ).encode()
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}

    async def send_request() -> None:
        async with session.post(url + CHAT_PATH, data=body, headers=headers) as resp:
            answer = await resp.read()
        if resp.status != 200 or (stream and b"[DONE]" not in answer):
            raise RuntimeError(f"{url} returned status {resp.status}: {answer[:200]!r}")

    return send_request


async def run(*, as_json: bool) -> None:
    """Start the processes, measure the targets in turn, and print the figures."""
    async with AsyncExitStack() as stack:
        var = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        profile = PROFILES["demo"]
        unlimited = [c._replace(rate=1e9, burst=1e9) for c in profile.customers]
        profile = profile._replace(
            customers=tuple(unlimited), engines=1, models=profile.models[:1]
        )
        fleet = await stack.enter_async_context(Fleet(profile, var, entries=1))
        engine_port, proxy_port = 18_971, 18_972
        engine = f"http://{HOST}:{engine_port}"
        await _start(stack, "engine", str(engine_port))
        await _start(stack, "hop", str(proxy_port), engine)
        await _replace_engine(fleet, f"{HOST}:{engine_port}")
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        key = fleet.customers[0].key
        targets = {
            "direct": engine,
            "bare pass-through": f"http://{HOST}:{proxy_port}",
            "full path": fleet.urls[0],
        }
        await _wait_until_served(
            request_sender(session, fleet.urls[0], key, stream=False)
        )
        figures = await _measure_all(session, targets, key)
    print(json.dumps(figures) if as_json else _table(figures))


async def _start(stack: AsyncExitStack, *argv: str) -> None:
    process = await asyncio.create_subprocess_exec(sys.executable, SCRIPT, *argv)

    async def stop() -> None:
        process.terminate()
        await process.wait()

    stack.push_async_callback(stop)


async def _replace_engine(fleet: Fleet, address: str) -> None:
    document = fleet.document().replace(fleet.engines[0].address, address)
    current = await fleet.call_operator("POST", "diff", {"document": document})
    await fleet.call_operator(
        "POST", "apply", {"document": document, "based_on": current["based_on"]}
    )


async def _wait_until_served(send_request: Callable[[], Awaitable[None]]) -> None:
    for _ in range(100):
        try:
            await send_request()
        except (RuntimeError, aiohttp.ClientError):
            await asyncio.sleep(0.2)
        else:
            return
    raise RuntimeError("the entry instance served no request in 100 attempts")


async def _measure_all(
    session: aiohttp.ClientSession, targets: dict[str, str], key: str
) -> dict[str, dict[str, dict[str, float]]]:
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for stream in (False, True):
        for connections in (1, 32):
            kind = "stream" if stream else "1 KB"
            row: dict[str, list[Measurement]] = {name: [] for name in targets}
            for _ in range(ROUNDS):
                for name, url in targets.items():
                    send_request = request_sender(session, url, key, stream=stream)
                    await measure(send_request, connections, WARM_UP_SECONDS)
                    row[name].append(
                        await measure(send_request, connections, MEASURE_SECONDS)
                    )
            figures[f"{kind}, {connections} connections"] = {
                name: {
                    "rate": round(statistics.median(m.rate for m in runs), 1),
                    "p50_ms": round(statistics.median(m.p50_ms for m in runs), 3),
                }
                for name, runs in row.items()
            }
    return figures


def _table(figures: dict[str, dict[str, dict[str, float]]]) -> str:
    lines = [
        f"{'':28}{'way':20}{'answers/s':>10}{'of bare':>9}{'p50 ms':>9}{'added':>9}"
    ]
    for kind, row in figures.items():
        bare, direct = row["bare pass-through"], row["direct"]
        for name, figure in row.items():
            lines.append(
                f"{kind:28}{name:20}{figure['rate']:>10.1f}"
                f"{figure['rate'] / bare['rate']:>9.2f}{figure['p50_ms']:>9.2f}"
                f"{figure['p50_ms'] - direct['p50_ms']:>9.2f}"
            )
    return "\n".join(lines)


def main(argv: list[str]) -> None:
    """Run the benchmark, or one of its server processes."""
    if argv[1:2] == ["engine"]:
        uvloop.run(serve(BenchEngine().app(), int(argv[2])))
    elif argv[1:2] == ["hop"]:
        uvloop.run(serve(PassThroughProxy(argv[3]).app(), int(argv[2])))
    else:
        uvloop.run(run(as_json="--json" in argv))


if __name__ == "__main__":
    main(sys.argv)
