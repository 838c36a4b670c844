"""A catalogue, backend servers and requests for tests of the gateway."""

from __future__ import annotations

import contextlib
import random
from typing import NamedTuple

from guavajunction.brittle import BrittlePlaces
from guavajunction.clock import ManualClock
from guavajunction.errors import AnswerCut
from guavajunction.gateway import (
    AnswerHead,
    BackendRecord,
    BackendRegistry,
    Catalogue,
    Customer,
    EngineSpec,
    Framing,
    Gateway,
    GatewayParts,
    GatewayRequest,
    GenerationSize,
    IngressLimits,
    LoadView,
    ModelDemand,
    ModelSpec,
    PromptPart,
    RateLimitBounds,
    RateLimits,
    RequestKind,
    RequestQueue,
    RetryBounds,
    RetryBudget,
    Route,
    RouteTable,
    Service,
    StreamOrigins,
    WeightedService,
)
from guavajunction.health import PassiveHealth
from guavajunction.intake import ServerIntake
from guavajunction.metrics import MetricsRegistry
from guavajunction.quarantine import PartQuarantine
from guavajunction.tunnels import PathWatch, ServerPaths
from guavajunction_entry.gateway import (
    GatewaySettings,
    ListenAddress,
    OrderBounds,
    StoreSettings,
)

ENGINES = "engines"
BOOKINGS = "bookings"
KEY = "key-of-atelier"
HOST = "here.example"


def model_spec(name, memory_mb=40.0):
    return ModelSpec(name, memory_mb, 8.0, 1.6, 0.6)


ENGINE = EngineSpec(
    slots=4,
    kv_tokens=100_000,
    memory_mb=100.0,
    adapter_slots=2,
    loads_per_second=2.0,
    adapter_mb={"m1": 1.0, "m2": 1.0, "m3": 1.0},
    models={name: model_spec(name) for name in ("m1", "m2", "m3")},
)


def route(name, kind, service, **changes):
    return Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=kind,
        timeout_seconds=10.0,
        target_seconds=0.5,
        patience_seconds=2.0 if kind is RequestKind.STREAM else float("inf"),
        priority=1,
        services=(WeightedService(service, 1.0),),
        max_attempts=1,
        open_to_all=False,
        resumable=False,
    )._replace(**changes)


def customer(name="atelier", keys=(KEY,), **changes):
    return Customer(name, tuple(keys), None, 0.0, 0.0, True, 100.0)._replace(**changes)


def catalogue(version=1, **changes):
    return Catalogue(
        version=version,
        routes=(
            route("draft", RequestKind.STREAM, ENGINES),
            route("book", RequestKind.UNSAFE, BOOKINGS),
            route("look", RequestKind.SAFE, BOOKINGS, max_attempts=2),
        ),
        services={
            ENGINES: Service(ENGINES, 100, ENGINE),
            BOOKINGS: Service(BOOKINGS, 100, None),
        },
        customers=(customer(),),
        limits=IngressLimits(16_384, 100_000, 3.0, 15.0),
    )._replace(**changes)


def backend(name, service=ENGINES, models=(), **changes):
    return BackendRecord(
        name=name,
        service=service,
        address=f"{name}:1",
        data_centre="a",
        slots=4,
        draining=False,
        incarnation=1,
        report_number=1,
        models={model: frozenset() for model in models},
        in_memory=frozenset(models),
        on_disk=frozenset(models),
        software_version="v1",
    )._replace(**changes)


def size(model="m1", adapter="", prompt=1000, output=50, parts=()):
    return GenerationSize(
        model, adapter, prompt, output, tuple(PromptPart(*part) for part in parts)
    )


def request(path="/draft/x", *, at=1000.0, key=KEY, seconds=8.0, **changes):
    generation_size = changes.pop("size", size() if path.startswith("/draft") else None)
    return GatewayRequest(
        request_id=changes.pop("request_id", f"r{random.random()}"),
        method="POST",
        target=path,
        host=HOST,
        headers=(),
        body=b"",
        key=key,
        caller_seconds=seconds,
        arrived_at=at,
        size=generation_size,
    )._replace(**changes)


class Sent(NamedTuple):
    """A request that a backend server received."""

    backend: str
    request_id: str
    customer: str | None
    seconds_left: float


class FakeAnswer:
    """An answer with fixed chunks; `cut` breaks the connection after them."""

    def __init__(
        self,
        status=200,
        chunks=(b"done",),
        *,
        not_run=False,
        cut=False,
        framing=Framing.LENGTH,
        headers=(),
        answered_by=None,
    ):
        self.head = AnswerHead(
            status,
            "",
            headers,
            not_run,
            status == 421,
            framing,
            answered_by=answered_by,
        )
        self._chunks = chunks
        self._cut = cut

    async def chunks(self):
        for chunk in self._chunks:
            yield chunk
        if self._cut:
            raise AnswerCut("cut")


def fake_stream(chunks=(b"data: done\n\n",), **changes):
    """Return an answer with a stream of events."""
    return FakeAnswer(
        chunks=chunks, headers=(("Content-Type", "text/event-stream"),), **changes
    )


class FakeCaller:
    """Answers requests from a script of answers and exceptions."""

    def __init__(self):
        self.sent = []
        self.script = []

    @contextlib.asynccontextmanager
    async def send(self, backend, req, *, customer, priority, seconds_left):
        self.sent.append(Sent(backend.name, req.request_id, customer, seconds_left))
        if self.script:
            step = self.script.pop(0)
        else:
            step = FakeAnswer() if req.size is None else fake_stream()
        if callable(step):
            step = step()
        if isinstance(step, Exception):
            raise step
        yield step


class FakeSink:
    """Collects the answer to a request."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.finished = False
        self.aborted = False

    @property
    def started(self):
        return self.head is not None

    async def start(self, head):
        self.head = head

    async def write(self, chunk):
        self.body += chunk

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True


def gateway_settings():
    """Return settings for an instance that opens no ports."""
    address = ListenAddress("127.0.0.1", 1)
    return GatewaySettings(
        instance="front-1",
        address="127.0.0.1",
        data_centre="here",
        front=address,
        readiness=address,
        directory=None,
        peer_port=1,
        store=StoreSettings("127.0.0.1:1"),
        grace_seconds=8.0,
        directory_ttl_seconds=2.0,
        retries=RetryBounds(0.2, 10.0, 50.0),
        allowances=RateLimitBounds(8.0, 0.1, 1000.0),
        orders=OrderBounds(3.0, 5.0),
    )


class FakeGateway:
    """A gateway with in-memory collaborators and a fake caller."""

    def __init__(self, *backends, document=None, clock=None, caller=None):
        self.clock = clock or ManualClock()
        self.registry = BackendRegistry(self.clock)
        self.loads = LoadView()
        self.health = PassiveHealth(self.clock)
        self.quarantine = PartQuarantine(self.clock, self.clock.monotonic)
        self.limits = ServerIntake(self.clock)
        self.places = BrittlePlaces(self.clock)
        self.queue = RequestQueue(
            self.registry,
            self.loads,
            self.health,
            self.quarantine,
            self.limits,
            self.places,
            self.clock,
            random.Random(1),
        )
        self.caller = caller or FakeCaller()
        self.paths = ServerPaths(self.clock)
        self.reachable_addresses = None
        self.watch = PathWatch(
            self.paths,
            self.registry.records,
            self.clock,
            random.Random(1),
            self._probe,
        )
        self.streams = StreamOrigins(self.clock)
        self.rate_limits = RateLimits(RateLimitBounds(8.0, 0.1, 1000.0), self.clock)
        self.gateway = Gateway(
            GatewayParts(
                registry=self.registry,
                queue=self.queue,
                health=self.health,
                rate_limits=self.rate_limits,
                streams=self.streams,
                quarantine=self.quarantine,
                limits=self.limits,
                places=self.places,
                paths=self.watch,
                retries=RetryBudget(RetryBounds(0.2, 10.0, 50.0)),
                demand=ModelDemand(),
                caller=self.caller,
                metrics=MetricsRegistry(),
                clock=self.clock,
                rng=random.Random(1),
            )
        )
        for record in backends:
            self.registry.put(record)
        self.gateway.configure(RouteTable(document or catalogue()))

    async def _probe(self, record):
        reachable = self.reachable_addresses
        return reachable is None or record.address in reachable

    async def serve(self, path="/book/1", **changes):
        sink = FakeSink()
        req = request(path, at=self.clock.monotonic(), **changes)
        await self.gateway.serve(req, sink)
        return sink
