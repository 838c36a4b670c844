"""Requests that wait for a backend server."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import InstanceNotReady, NoReplica, Overloaded, RequestError
from guavajunction.health import PassiveHealth

from . import _mixed_prompts, _overload
from ._backend import BackendRecord
from ._backend_book import BackendBook
from ._catalogue import EngineSpec, ModelSpec, Route, Service
from ._load_view import Load, LoadView
from ._overload import Outlook
from ._request import GatewayRequest, GenerationSize


class Ticket(NamedTuple):
    """A request's place in the room."""

    req: GatewayRequest
    route: Route
    service: Service
    priority: int
    ends_at: float
    """When the caller gives up or the route's timeout runs out, monotonic."""
    first_event_by: float
    """When the caller gives up unless the answer has begun, monotonic."""
    only: frozenset[str] | None
    """Backend servers that it may go to; None if any."""
    avoid: frozenset[str]
    """Backend servers to leave out while there are others."""
    fut: asyncio.Future[BackendRecord]

    @property
    def rank(self) -> tuple[int, float]:
        """Return the order of service: urgent first, then by the time it is due."""
        return self.priority, self.req.arrived_at + self.route.target_seconds


class WaitingRoom:
    """Gives waiting requests to backend servers as these get room.

    Every change that can make room calls `wake`; the tickets are then looked through
    in their order, so that nothing less urgent takes a place that a waiting request
    could have.
    """

    ENGINE_QUEUE = 4
    """Requests that a backend server may hold beyond its batch: what other instances
    have just sent is not seen here for a heartbeat."""
    PLAIN_QUEUE_FACTOR = 2
    """The same for plain services, as a multiple of their slots."""
    PUMP_SECONDS = 0.004
    """Changes within this time are handled together."""
    REVIEW_SECONDS = 0.1
    """How often waiting requests are judged again without a change."""
    IDLE_SECONDS = 0.3
    """The same while nothing waits; the first that comes is judged at once."""
    MEAN_RUN_SECONDS = 1.5
    """How long a generation holds its slot, for the outlook."""
    NO_BACKEND_SECONDS = 2.0
    """Outlook while no backend server of the service takes work: two heartbeats."""
    ADAPTER_SECONDS = 0.1
    """Outlook for an adapter that is being loaded."""
    ELSEWHERE_SECONDS = 0.05
    """Told when another instance can serve the request at once."""
    SWAP_SECONDS = 0.3
    """Time until a load begins: its place has to be emptied first."""

    def __init__(
        self, book: BackendBook, loads: LoadView, health: PassiveHealth, clock: Clock
    ) -> None:
        self._book = book
        self._loads = loads
        self._health = health
        self._clock = clock
        self._tickets: list[Ticket] = []
        self._pump_timer: asyncio.TimerHandle | None = None
        self._wanted_since: dict[str, float] = {}
        self._waited_for: dict[str, str] = {}
        self.on_adapter_wanted: Callable[[GenerationSize, str], None] = lambda *_: None
        """Called with size and service when only the adapter is missing."""
        self.closes_at = float("inf")
        """When this instance stops; what can't end before is refused at once."""
        self.loads_due: dict[str, float] = {}
        """When models that are being loaded are expected, monotonic."""

    def waited_for(self, request_id: str) -> str | None:
        """Return what a request that left waited for; None if it was sent."""
        return self._waited_for.pop(request_id, None)

    def __len__(self) -> int:
        return len(self._tickets)

    def models_waited_for(self) -> dict[str, int]:
        """Return the requests that wait for a load, by model."""
        models = Counter(
            ticket.req.size.model
            for ticket in self._tickets
            if ticket.req.size is not None and not self._model_ready(ticket)
        )
        return dict(models)

    async def place(self, ticket: Ticket) -> BackendRecord:
        """Wait for a backend server; its load already counts the request.

        Raises:
            Overloaded: There is no prospect of room in time.
            NoReplica: There is no prospect of the model in time.
        """
        self._tickets.append(ticket)
        self._tickets.sort(key=lambda waiting: waiting.rank)
        self._pump()
        try:
            return await ticket.fut
        except RequestError:
            self._waited_for.pop(ticket.req.request_id, None)
            raise
        except asyncio.CancelledError:
            if ticket.fut.done() and not ticket.fut.cancelled():
                self.release(ticket.req, ticket.fut.result(), unread=True)
            raise
        finally:
            if ticket in self._tickets:
                self._tickets.remove(ticket)

    def release(
        self, req: GatewayRequest, backend: BackendRecord, *, unread: bool
    ) -> None:
        """Take a request that ended off the load of its backend server."""
        self._loads.end(backend.name, req.size, unread=unread)
        self.wake()

    def read(self, req: GatewayRequest, backend: BackendRecord) -> None:
        """Take a prompt whose first event came off the unread work."""
        if req.size is not None:
            self._loads.read(backend.name, req.size)

    def wake(self) -> None:
        """Look through the waiting requests soon."""
        if self._tickets and self._pump_timer is None:
            loop = asyncio.get_running_loop()
            self._pump_timer = loop.call_later(self.PUMP_SECONDS, self._pump)

    async def review(self) -> None:
        """Judge the waiting requests again and again until cancelled."""
        while True:
            idle = not self._tickets
            await self._clock.sleep(self.IDLE_SECONDS if idle else self.REVIEW_SECONDS)
            self._health.expire()
            if self._tickets:
                self._pump()

    def _pump(self) -> None:
        if self._pump_timer is not None:
            self._pump_timer.cancel()
            self._pump_timer = None
        ahead: Counter[str] = Counter()
        for ticket in list(self._tickets):
            if not ticket.fut.done():
                self._consider(ticket, ahead)
        self._tickets = [t for t in self._tickets if not t.fut.done()]
        waited_for = self.models_waited_for()
        for model in set(self._wanted_since) - set(waited_for):
            del self._wanted_since[model]

    def _consider(self, ticket: Ticket, ahead: Counter[str]) -> None:
        backend = self._choose(ticket)
        if backend is not None:
            self._loads.begin(backend.name, ticket.req.size)
            self._waited_for.pop(ticket.req.request_id, None)
            ticket.fut.set_result(backend)
            return
        now = self._clock.monotonic()
        outlook = self._outlook(ticket, ahead, now)
        self._waited_for[ticket.req.request_id] = outlook.reason
        if self._must_leave(ticket, outlook, now):
            ticket.fut.set_exception(
                InstanceNotReady(
                    "the instance is about to stop",
                    retry_after=self.ELSEWHERE_SECONDS,
                )
            )
            return
        refusal = _overload.judge(
            outlook,
            ticket.req.size,
            seconds_left=ticket.ends_at - now,
            first_event_left=ticket.first_event_by - now,
        )
        if refusal is None:
            return
        kind = Overloaded if refusal.reason == "slots" else NoReplica
        ticket.fut.set_exception(
            kind(
                f"service {ticket.service.name!r} expects {refusal.reason} "
                f"in {outlook.seconds:.1f} s",
                retry_after=refusal.retry_after,
            )
        )

    def _must_leave(self, ticket: Ticket, outlook: Outlook, now: float) -> bool:
        """Return whether a waiting request would outlast this instance."""
        ends = now + outlook.seconds + _overload.service_seconds(ticket.req.size)
        return ends > self.closes_at

    def _choose(self, ticket: Ticket) -> BackendRecord | None:
        options = [
            (backend, self._loads.of(backend.name))
            for backend in self._holders(ticket)
            if ticket.only is None or backend.name in ticket.only
        ]
        options = [(b, load) for b, load in options if self._has_room(b, load, ticket)]
        sound = [
            (backend, load)
            for backend, load in options
            if backend.name not in ticket.avoid
            and not self._health.is_suspect(backend.name)
        ]
        options = sound or options
        if ticket.req.size is not None:
            return _mixed_prompts.choose(ticket.req.size, options)
        best = min(options, key=_fullness, default=None)
        return best[0] if best else None

    def _holders(self, ticket: Ticket) -> list[BackendRecord]:
        backends = self._book.reachable(ticket.service.name)
        size = ticket.req.size
        if size is None or ticket.service.engine is None:
            return backends
        return [b for b in backends if self._book.holds(b, size.model, size.adapter)]

    def _has_room(self, backend: BackendRecord, load: Load, ticket: Ticket) -> bool:
        if ticket.service.engine is None:
            return load.running < backend.slots * self.PLAIN_QUEUE_FACTOR
        return load.running < backend.slots + self.ENGINE_QUEUE

    def _model_ready(self, ticket: Ticket) -> bool:
        size = ticket.req.size
        assert size is not None
        backends = self._book.reachable(ticket.service.name)
        return any(self._book.holds_model(b, size.model) for b in backends)

    def _outlook(self, ticket: Ticket, ahead: Counter[str], now: float) -> Outlook:
        size, engine = ticket.req.size, ticket.service.engine
        if not self._book.reachable(ticket.service.name):
            return Outlook(self.NO_BACKEND_SECONDS, "a backend server")
        if size is None or engine is None:
            return self._slot_outlook(ticket, ticket.service.name, ahead)
        if not self._model_ready(ticket):
            return self._model_outlook(ticket, size, engine, now)
        if not self._holders(ticket):
            self.on_adapter_wanted(size, ticket.service.name)
            return Outlook(self.ADAPTER_SECONDS, "an adapter")
        return self._slot_outlook(ticket, size.artifact, ahead)

    def _slot_outlook(self, ticket: Ticket, group: str, ahead: Counter[str]) -> Outlook:
        ahead[group] += 1
        slots = sum(backend.slots for backend in self._holders(ticket))
        plain = ticket.req.size is None
        run = _overload.PLAIN_SERVICE_SECONDS if plain else self.MEAN_RUN_SECONDS
        return Outlook(ahead[group] * run / max(1, slots), "slots")

    def _model_outlook(
        self, ticket: Ticket, size: GenerationSize, engine: EngineSpec, now: float
    ) -> Outlook:
        spec = engine.models.get(size.model)
        if spec is None:
            return Outlook(float("inf"), "a model that is not configured")
        since = self._wanted_since.setdefault(size.model, now)
        due = self.loads_due.get(size.model)
        if due is not None:
            return Outlook(max(0.1, due - now), "a model")
        load = self._load_seconds(ticket.service.name, spec)
        return Outlook(max(load, load + self.SWAP_SECONDS - (now - since)), "a model")

    def _load_seconds(self, service: str, spec: ModelSpec) -> float:
        backends = self._book.reachable(service)
        if any(spec.name in backend.in_memory for backend in backends):
            return spec.memory_load_seconds
        if any(spec.name in backend.on_disk for backend in backends):
            return spec.disk_load_seconds
        return spec.store_load_seconds


def _fullness(option: tuple[BackendRecord, Load]) -> float:
    backend, load = option
    return load.running / max(1, backend.slots)
