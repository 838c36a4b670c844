"""Queues requests until a backend server has capacity for them."""

from __future__ import annotations

import asyncio
import math
import random
from bisect import insort
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.brittle import BrittlePlaces
from guavajunction.clock import Clock
from guavajunction.errors import (
    InstanceNotReady,
    NoReplica,
    Overloaded,
    RequestError,
    RequestQuarantined,
    StreamNotResumable,
)
from guavajunction.health import PassiveHealth
from guavajunction.intake import PermitDesk, ServerIntake
from guavajunction.quarantine import BackendId, PartQuarantine, RequestFingerprint

from . import _admission, _backend_selection
from ._admission import TokenTimes, WaitEstimate
from ._backend import BackendRecord
from ._backend_registry import BackendRegistry
from ._capacity_shares import CapacityShares, Contention, requests_ahead
from ._catalogue import EngineSpec, ModelSpec, Route, Service
from ._fleet_backlog import Backlog, FleetBacklog, largest
from ._homes import Homes, Regions
from ._load_view import Load, LoadView
from ._request import GatewayRequest, GenerationSize
from ._run_times import RunTimes
from ._server_speeds import ServerSpeeds


class QueuedRequest(NamedTuple):
    """A request with the constraints on its dispatch."""

    req: GatewayRequest
    route: Route
    service: Service
    priority: int
    ends_at: float
    """Deadline of the complete answer, on the monotonic clock: the caller's or the
    route's timeout."""
    first_event_by: float
    """Deadline of the first event, on the monotonic clock."""
    only: frozenset[str] | None
    """Backend servers that the request may be sent to; None for any."""
    avoid: frozenset[str]
    """Backend servers to use only if no other one has capacity."""
    software_version: str | None
    """Version of the backend servers that it may be sent to; None for any."""
    homes: Homes
    """Regions whose backend servers it may be sent to; None for any."""
    trial: bool
    """Whether it may be sent although it is quarantined."""
    fingerprint: RequestFingerprint
    """Identifies the repeats of the request."""
    fut: asyncio.Future[BackendRecord]
    """Resolved with the backend server to send the request to."""

    @property
    def rank(self) -> tuple[int, float]:
        """Return the sort key of the queue: priority, then the latency target."""
        return self.priority, self.req.arrived_at + self.route.target_seconds


MODEL_REASON = "a model"
"""Reason of a wait for a model load."""

ADAPTER_REASON = "an adapter"
"""Reason of a wait for an adapter load."""

AdapterRequest = Callable[[GenerationSize, str, str], None]
"""Called with the size, service and software version of a request; the version is empty
if any will do."""


class _MissingModel(NamedTuple):
    """A model that requests wait for."""

    software_version: str
    """Version of the backend servers that may serve the requests; empty for any."""
    model: str


class _Target(NamedTuple):
    """What decides to which backend servers a request may be sent."""

    group: str
    service: str
    software_version: str | None
    only: frozenset[str] | None
    homes: Homes


class _Choice(NamedTuple):
    """Where to send a request."""

    backend: BackendRecord | None
    """None to hold it."""
    is_held: bool = False
    """Whether it waits for an answer of the instance that hands out sends."""


class _Pass:
    """What one consideration of the queue has found so far.

    Requests with the same target share it, so that a long queue costs little: if a more
    urgent request finds no capacity, the next one finds none either.
    """

    def __init__(self) -> None:
        self.ahead: Counter[str] = Counter()
        """Requests that wait for slots, by group."""
        self.full: set[_Target] = set()
        """Targets without capacity."""
        self.seconds_each: dict[_Target, float] = {}
        """Time until the next slot, for targets whose requests wait for slots."""

    def next_place(self, queued: QueuedRequest) -> int:
        """Return the place of a request among those that wait for the same slots."""
        group = _group(queued)
        self.ahead[group] += 1
        return self.ahead[group]


class RequestQueue:
    """Assigns queued requests to backend servers as they get free capacity.

    Every change that can free capacity calls `schedule_dispatch`. Requests are then
    considered in order of their rank, so that a less urgent request never takes
    capacity that a more urgent one could use.
    """

    ENGINE_QUEUE_SLOTS = 4
    """Requests that an engine may get beyond its slots, as requests of other instances
    are only known after a heartbeat."""
    PLAIN_SLOT_FACTOR = 2
    """Requests that a plain backend server may get, as a multiple of its slots."""
    DISPATCH_DELAY_SECONDS = 0.004
    """Delay of a dispatch, so that changes within this time share one dispatch."""
    REEVALUATION_SECONDS = 0.1
    """Interval at which queued requests are re-evaluated without a change."""
    IDLE_REEVALUATION_SECONDS = 0.3
    """Interval of re-evaluation while the queue is empty. A new request is evaluated
    at once."""
    NO_BACKEND_SECONDS = 2.0
    """Estimated wait while no backend server of the service accepts work: two
    heartbeats."""
    ADAPTER_SECONDS = 0.1
    """Estimated wait for an adapter that is being loaded."""
    OTHER_INSTANCE_RETRY_SECONDS = 0.05
    """Retry delay if another instance can serve the request immediately."""
    COUNT_SECONDS = 0.02
    """Time for which the count of waiting requests is used; a queue of hundreds is
    considered many times a second."""
    REFUSED_MODEL_SECONDS = 5.0
    """Time for which a model is wanted after a resumed stream was refused for it: a
    load, the retry delay and two heartbeats."""
    MAX_REFUSED_MODELS = 256
    """Number of such models that are kept."""
    SWAP_SECONDS = 0.3
    """Estimated delay of a load, because another model has to be unloaded first."""

    def __init__(
        self,
        registry: BackendRegistry,
        loads: LoadView,
        health: PassiveHealth,
        quarantine: PartQuarantine,
        limits: ServerIntake,
        places: BrittlePlaces,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._places = places
        self._quarantine = quarantine
        self._registry = registry
        self._loads = loads
        self._health = health
        self._clock = clock
        self._waiting: list[QueuedRequest] = []
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._missing_since: dict[_MissingModel, float] = {}
        self._wait_reasons: dict[str, str] = {}
        self._refused_until: dict[_MissingModel, float] = {}
        """Until when the models of refused streams are wanted."""
        self.run_times = RunTimes(clock)
        """How long plain requests run."""
        self.stream_times = RunTimes(clock)
        """How long new streams run."""
        self.speeds = ServerSpeeds(clock)
        """How fast backend servers process generations."""
        self.on_adapter_wanted: AdapterRequest = lambda *_: None
        """Called for a request that lacks only its adapter."""
        self.regions = Regions()
        """Regions of the backend servers' data centres."""
        self.stops_at = float("inf")
        """When this instance stops, on the monotonic clock. Requests that can't end
        before then are refused."""
        self.loads_due: dict[str, float] = {}
        """When models that are being loaded are expected, on the monotonic clock."""
        self._counts: Backlog = {}
        self._counted_at = float("-inf")
        self.backlog = FleetBacklog()
        """Requests that wait on the other instances."""
        self._shares = CapacityShares(rng)

    def pop_wait_reason(self, request_id: str) -> str | None:
        """Return and remove the reason why a cancelled request was waiting.

        Returns:
            The resource that it waited for, None if it had been sent.
        """
        return self._wait_reasons.pop(request_id, None)

    def __len__(self) -> int:
        return len(self._waiting)

    def running_at(self, backend: str) -> int:
        """Return the known number of requests in flight at a backend server."""
        return self._loads.of(backend).running

    def load_without(self, req: GatewayRequest, backend: BackendRecord) -> Load:
        """Return the known load of a backend server but for one request sent there."""
        load = self._loads.of(backend.name)
        tokens = req.size.prompt_tokens if req.size else 0
        return Load(
            max(0, load.running - 1), max(0, load.pending_prompt_tokens - tokens)
        )

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of requests that wait for a model load, by model."""
        return self._waiting_for("")

    def waiting_by_version(self) -> dict[str, dict[str, int]]:
        """Return the resumed streams that wait for a model load, by version and model.

        They can only be served by backend servers of that software version. Those that
        were refused for it count for a while, as their callers try again.
        """
        versions = {queued.software_version or "" for queued in self._waiting} - {""}
        waiting = {version: self._waiting_for(version) for version in versions}
        now = self._clock.monotonic()
        for missing, until in list(self._refused_until.items()):
            if until <= now:
                del self._refused_until[missing]
                continue
            models = waiting.setdefault(missing.software_version, {})
            models.setdefault(missing.model, 1)
        return {version: models for version, models in waiting.items() if models}

    def _waiting_for(self, version: str) -> dict[str, int]:
        models = Counter(
            queued.req.size.model
            for queued in self._waiting
            if (queued.software_version or "") == version
            and queued.req.size is not None
            and not self._model_ready(queued)
        )
        return dict(models)

    def own_backlog(self) -> Backlog:
        """Return the generations that wait on this instance, to send to peers."""
        return largest(self._count_waiting(), FleetBacklog.MAX_KEYS)

    def _count_waiting(self) -> Backlog:
        """Return the generations that compete for slots, by key and priority.

        Counted at most once in `COUNT_SECONDS`, as each of them asks for it. Those that
        wait for an adapter could not use a slot.
        """
        now = self._clock.monotonic()
        if now - self._counted_at >= self.COUNT_SECONDS:
            self._counted_at = now
            self._counts = {}
            for queued in self._waiting:
                key = _contended(queued)
                reason = self._wait_reasons.get(queued.req.request_id)
                if key is None or queued.fut.done() or reason == ADAPTER_REASON:
                    continue
                counts = self._counts.setdefault(key, {})
                counts[queued.priority] = counts.get(queued.priority, 0) + 1
        return self._counts

    async def wait_for_backend(self, queued: QueuedRequest) -> BackendRecord:
        """Wait for a backend server and count the request in its load.

        Raises:
            Overloaded: No slot is expected before the deadline.
            NoReplica: No backend server with the model or adapter is expected before
                the deadline.
            StreamNotResumable: No backend server of the required version is left.
            RequestQuarantined: Backend servers crash on it or on a part of its prompt.
            InstanceNotReady: This instance stops before the request could end.
        """
        self._enqueue(queued)
        try:
            return await queued.fut
        except RequestError:
            self._wait_reasons.pop(queued.req.request_id, None)
            raise
        except asyncio.CancelledError:
            if queued.fut.done() and not queued.fut.cancelled():
                self.release(queued.req, queued.fut.result(), prompt_pending=True)
            raise
        finally:
            if queued in self._waiting:
                self._waiting.remove(queued)

    def _enqueue(self, queued: QueuedRequest) -> None:
        """Add a request and consider it.

        The others were considered at the last change. If one is pending, those that are
        more urgent come first.
        """
        insort(self._waiting, queued, key=lambda waiting: waiting.rank)
        if self._dispatch_timer is not None:
            self._dispatch()
            return
        seen = _Pass()
        for waiting in self._waiting:
            if waiting is queued:
                break
            seen.ahead[_group(waiting)] += 1
        self._try_dispatch(queued, seen)
        self._places.return_unused()

    def release(
        self,
        req: GatewayRequest,
        backend: BackendRecord,
        *,
        prompt_pending: bool,
        rejected: bool = False,
        complete: bool = False,
    ) -> None:
        """Remove a request that ended from the load of its backend server.

        Args:
            req: The request.
            backend: The backend server that it was assigned to.
            prompt_pending: Whether its first event has not arrived.
            rejected: Whether the backend server had no room for it.
            complete: Whether its answer was received completely.
        """
        self._loads.end(backend.name, req.size, prompt_pending=prompt_pending)
        self._places.on_ended(
            backend, req.request_id, rejected=rejected, complete=complete
        )
        if not self._places.is_brittle(backend):
            self.schedule_dispatch()

    def on_first_event(self, req: GatewayRequest, backend: BackendRecord) -> None:
        """Stop counting the prompt of a request as pending."""
        if req.size is not None:
            self._loads.on_first_event(backend.name, req.size)

    def schedule_dispatch(self) -> None:
        """Dispatch queued requests after a short delay."""
        if self._waiting and self._dispatch_timer is None:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(
                self.DISPATCH_DELAY_SECONDS, self._dispatch
            )

    def use_place(self, identity: BackendId) -> None:
        """Send the first request that can use a place, and ask for the next one.

        A place is unused until then, so the other requests are not considered.
        """
        backend = self._registry.get(identity.name)
        if backend is not None and backend.identity == identity:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._use_place, backend)
        else:
            self._places.return_unused()

    def _use_place(self, backend: BackendRecord) -> None:
        usable = self._registry.takes_requests(backend.name)
        # Those that were sent there before come last.
        candidates = sorted(self._waiting, key=lambda q: backend.name in q.avoid)
        for queued in candidates if usable else ():
            if queued.fut.done() or not self._can_use(queued, backend):
                continue
            if not self._places.has_place(backend):
                self._ask_to_send(backend, queued)
                if not self._places.has_place(backend):
                    break
            if not self._may_send(backend):
                break
            self._assign(queued, backend)
        self._places.return_unused()

    def _can_use(self, queued: QueuedRequest, backend: BackendRecord) -> bool:
        """Return whether a request may be sent to a backend server of its service."""
        if queued.service.name != backend.service:
            return False
        if not self._of_version(queued, [backend]):
            return False
        if self._check_quarantine(queued) is not None:
            return False
        if not self._ends_in_time(queued) or self._outlasts_instance(queued):
            # The next pass refuses it.
            return False
        if queued.service.engine is not None:
            size = queued.req.size
            if size and not self._registry.holds(backend, size.model, size.adapter):
                return False
        return self._has_capacity(backend, self._loads.of(backend.name), queued)

    def _assign(self, queued: QueuedRequest, backend: BackendRecord) -> None:
        """Count a request in the load of a backend server and let it be sent there."""
        self._loads.begin(backend.name, queued.req.size)
        self._limits.on_sent(backend.identity)
        self._places.on_sent(backend, queued.req.request_id)
        self._wait_reasons.pop(queued.req.request_id, None)
        key = _contended(queued)
        if key is not None and not self.backlog.is_empty:
            self._shares.on_sent(key, queued.priority, self._clock.monotonic())
        queued.fut.set_result(backend)

    async def run(self) -> None:
        """Re-evaluate queued requests periodically until cancelled."""
        while True:
            idle = not self._waiting
            await self._clock.sleep(
                self.IDLE_REEVALUATION_SECONDS if idle else self.REEVALUATION_SECONDS
            )
            self._health.expire()
            if self._waiting:
                self._dispatch()

    def _dispatch(self) -> None:
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None
        seen = _Pass()
        for queued in list(self._waiting):
            if not queued.fut.done():
                self._try_dispatch(queued, seen)
        self._waiting = [queued for queued in self._waiting if not queued.fut.done()]
        self._places.return_unused()
        missing = {_MissingModel("", model) for model in self.waiting_by_model()}
        for version, models in self.waiting_by_version().items():
            missing |= {_MissingModel(version, model) for model in models}
        for ended in set(self._missing_since) - missing:
            del self._missing_since[ended]

    def _try_dispatch(self, queued: QueuedRequest, seen: _Pass) -> None:
        quarantined = self._check_quarantine(queued)
        if quarantined is not None:
            queued.fut.set_exception(quarantined)
            return
        if self._outlasts_instance(queued):
            self._refuse_while_stopping(queued)
            return
        target = _target(queued)
        # The size of a generation is its maximum, so one that is sent at once may end.
        may_end = queued.req.size is not None or self._ends_in_time(queued)
        if target not in seen.full and may_end:
            choice = self._choose(queued)
            if choice.backend is not None:
                self._assign(queued, choice.backend)
                return
            if not choice.is_held:
                seen.full.add(target)
        now = self._clock.monotonic()
        estimate = self._estimate_wait(queued, seen, now)
        self._wait_reasons[queued.req.request_id] = estimate.reason
        if self._outlasts_instance(queued, estimate.seconds):
            self._refuse_while_stopping(queued)
            return
        refusal = _admission.check_deadline(
            estimate,
            self._expected_size(queued),
            plain_seconds=self._plain_seconds(queued),
            times=self._token_times(queued),
            seconds_left=queued.ends_at - now,
            first_event_left=queued.first_event_by - now,
        )
        if refusal is None:
            return
        if queued.software_version and estimate.reason == MODEL_REASON:
            self._note_refused(queued, now)
        error_type = Overloaded if refusal.reason == "slots" else NoReplica
        if queued.software_version is not None and refusal.retry_after is None:
            error_type = StreamNotResumable
        queued.fut.set_exception(
            error_type(
                f"service {queued.service.name!r} expects {refusal.reason} "
                f"in {estimate.seconds:.1f} s",
                retry_after=refusal.retry_after,
            )
        )

    def _note_refused(self, queued: QueuedRequest, now: float) -> None:
        """Keep the need of a resumed stream that was refused for its model."""
        assert queued.req.size is not None
        missing = _MissingModel(queued.software_version or "", queued.req.size.model)
        self._refused_until.pop(missing, None)
        self._refused_until[missing] = now + self.REFUSED_MODEL_SECONDS
        drop_oldest(self._refused_until, self.MAX_REFUSED_MODELS)

    def _check_quarantine(self, queued: QueuedRequest) -> RequestQuarantined | None:
        """Return the refusal of a request that crashes backend servers.

        It may be blamed while it waits, or before it is retried.
        """
        if queued.trial:
            return None
        blamed = _admission.find_blamed_parts(
            self._quarantine, queued.req.size, queued.fingerprint
        )
        return None if blamed is None else _admission.quarantined(blamed)

    def _outlasts_instance(
        self, queued: QueuedRequest, wait_seconds: float = 0.0
    ) -> bool:
        """Return whether this instance may stop before the answer of a request.

        Args:
            queued: The request.
            wait_seconds: Time until it can be sent.
        """
        if queued.ends_at <= self.stops_at or math.isinf(self.stops_at):
            return False
        if queued.req.size is not None:
            seconds = self._service_seconds(queued) if wait_seconds else 0.0
        else:
            seconds = self.run_times.upper_bound(queued.service.name)
        return self._clock.monotonic() + wait_seconds + seconds > self.stops_at

    def _refuse_while_stopping(self, queued: QueuedRequest) -> None:
        queued.fut.set_exception(
            InstanceNotReady(
                "the instance stops before the request could end",
                retry_after=self.OTHER_INSTANCE_RETRY_SECONDS,
            )
        )

    def _choose(self, queued: QueuedRequest) -> _Choice:
        """Choose the backend server to send a request to, or hold it."""
        options = self._options(queued)
        if not self._is_within_share(queued, options):
            return _Choice(None)
        at_hand = [o for o in options if self._places.has_place(o[0])]
        if at_hand:
            chosen = self._choose_among(at_hand, queued)
            if chosen is not None and self._may_send(chosen):
                return _Choice(chosen)
        while options:
            chosen = self._choose_among(options, queued)
            if chosen is None or self._may_send(chosen):
                return _Choice(chosen)
            if self._ask_to_send(chosen, queued):
                return _Choice(None, is_held=True)
            if self._may_send(chosen):
                # The answer came at once, as this instance hands out the sends.
                return _Choice(chosen)
            options = [option for option in options if option[0] is not chosen]
        return _Choice(None)

    def _is_within_share(
        self, queued: QueuedRequest, options: list[tuple[BackendRecord, Load]]
    ) -> bool:
        """Return whether this instance may use one more of the fleet's free slots."""
        key = _contended(queued)
        if key is None or not self.backlog.of_others(key):
            return True
        free = sum(
            self._capacity(backend, queued) - load.running for backend, load in options
        )
        return self._shares.may_send(
            key,
            queued.priority,
            self._contention(key, queued.priority, free),
            self._clock.monotonic(),
        )

    def _contention(self, key: str, priority: int, free: int = 0) -> Contention:
        own = dict(self._count_waiting().get(key, {}))
        # The request itself may have come after the count.
        own[priority] = max(1, own.get(priority, 0))
        return Contention(free, own, self.backlog.of_others(key))

    def _may_send(self, backend: BackendRecord) -> bool:
        return self._limits.may_send(backend.identity) and self._places.may_send(
            backend
        )

    def _ask_to_send(self, backend: BackendRecord, queued: QueuedRequest) -> bool:
        """Ask for what a backend server requires of a request.

        Returns:
            Whether to hold the request for the answer.
        """
        request_id = queued.req.request_id
        if not self._limits.may_send(backend.identity):
            # A place would be unused while the request waits for its turn.
            return self._limits.ask_to_send(backend.identity, request_id)
        if self._places.may_send(backend):
            return False
        return self._places.ask_to_send(
            backend,
            request_id,
            run_seconds=max(self._run_seconds(queued), self._service_seconds(queued)),
            longest_seconds=queued.ends_at - self._clock.monotonic(),
        )

    def _service_seconds(self, queued: QueuedRequest) -> float:
        """Return the seconds from the start of a request to the end of its answer."""
        plain_seconds = self.run_times.mean(queued.service.name)
        return _admission.service_seconds(
            self._expected_size(queued), plain_seconds, self._token_times(queued)
        )

    def _token_times(self, queued: QueuedRequest) -> TokenTimes:
        return self.speeds.token_times(queued.service.name)

    def _expected_size(self, queued: QueuedRequest) -> GenerationSize | None:
        """Return the size of a generation with the output that is expected of it.

        That is as long as whole streams of its service usually are, once some were
        measured. By their maximum, nearly all requests that wait would be refused.
        """
        size = queued.req.size
        if size is None:
            return size
        seconds = self.stream_times.measured_mean(queued.service.name)
        if seconds is None:
            return size
        usual = math.ceil(seconds / self._token_times(queued).output_token_seconds)
        return size._replace(max_output_tokens=min(size.max_output_tokens, usual))

    def _plain_seconds(self, queued: QueuedRequest) -> float:
        """Return the seconds that must be left to a plain request that is sent.

        A long run must end in time, too. But if runs differ much, half of the request's
        own time is enough, so that not everything is refused that has to wait.
        """
        service = queued.service.name
        half = 0.5 * (queued.ends_at - queued.req.arrived_at)
        return min(
            self.run_times.longest(service), max(self.run_times.mean(service), half)
        )

    def _ends_in_time(self, queued: QueuedRequest) -> bool:
        """Return whether a request would end before its deadline if it were sent."""
        seconds = _admission.service_seconds(
            self._expected_size(queued),
            self._plain_seconds(queued),
            self._token_times(queued),
        )
        return self._clock.monotonic() + seconds <= queued.ends_at

    def _run_seconds(self, queued: QueuedRequest) -> float:
        """Return the mean time that such a request occupies a slot."""
        if queued.req.size is None:
            return _admission.PLAIN_SERVICE_SECONDS
        return self.speeds.run_seconds(queued.service.name)

    def _options(self, queued: QueuedRequest) -> list[tuple[BackendRecord, Load]]:
        options = [
            (backend, self._loads.of(backend.name))
            for backend in self._ready_backends(queued)
        ]
        return [(b, load) for b, load in options if self._has_capacity(b, load, queued)]

    def _choose_among(
        self, options: list[tuple[BackendRecord, Load]], queued: QueuedRequest
    ) -> BackendRecord | None:
        preferred = [
            (backend, load)
            for backend, load in options
            if backend.name not in queued.avoid
            and not self._health.is_suspect(backend.name)
        ]
        options = preferred or options
        if queued.req.size is not None:
            return _backend_selection.choose(
                queued.req.size, options, self.speeds.first_event_seconds
            )
        best = min(options, key=_slot_usage, default=None)
        return best[0] if best else None

    def _reachable(self, queued: QueuedRequest) -> list[BackendRecord]:
        """Return the backend servers that take requests and may serve this one."""
        return self._of_version(queued, self._registry.reachable(queued.service.name))

    def _responsive(self, queued: QueuedRequest) -> list[BackendRecord]:
        """Return these backend servers and those that want a pause."""
        return self._of_version(queued, self._registry.responsive(queued.service.name))

    def _of_version(
        self, queued: QueuedRequest, backends: list[BackendRecord]
    ) -> list[BackendRecord]:
        return [
            backend
            for backend in backends
            if queued.software_version in (None, backend.software_version)
            and (queued.only is None or backend.name in queued.only)
            and self.regions.are_home(backend.data_centre, queued.homes)
        ]

    def _pause_left(self, queued: QueuedRequest) -> float | None:
        """Return the shortest pause of the backend servers that could serve a request.

        Returns:
            Seconds; None if one takes requests now, or if none could serve it.
        """
        statements = self._registry.statements
        if not statements.any_paused:
            return None
        backends = self._responsive(queued)
        size = queued.req.size
        if size is not None and queued.service.engine is not None:
            backends = [
                b for b in backends if self._registry.holds_model(b, size.model)
            ]
        pauses = [statements.pause_left(b.identity) for b in backends]
        return min(pauses) or None if pauses else None

    def _ready_backends(self, queued: QueuedRequest) -> list[BackendRecord]:
        backends = self._reachable(queued)
        size = queued.req.size
        if size is None or queued.service.engine is None:
            return backends
        return [
            b for b in backends if self._registry.holds(b, size.model, size.adapter)
        ]

    def _has_capacity(
        self, backend: BackendRecord, load: Load, queued: QueuedRequest
    ) -> bool:
        return load.running < self._capacity(backend, queued)

    def _capacity(self, backend: BackendRecord, queued: QueuedRequest) -> int:
        """Return the number of requests that a backend server may get."""
        if queued.service.engine is None:
            return backend.slots * self.PLAIN_SLOT_FACTOR
        return backend.slots + self.ENGINE_QUEUE_SLOTS

    def _model_ready(self, queued: QueuedRequest) -> bool:
        size = queued.req.size
        assert size is not None
        return any(
            self._registry.holds_model(backend, size.model)
            for backend in self._responsive(queued)
        )

    def _estimate_wait(
        self, queued: QueuedRequest, seen: _Pass, now: float
    ) -> WaitEstimate:
        size, engine = queued.req.size, queued.service.engine
        seconds_each = seen.seconds_each.get(_target(queued))
        if seconds_each is not None:
            return self._slot_wait(queued, seen, seconds_each)
        if not self._version_serves(queued):
            return WaitEstimate(
                float("inf"),
                f"a backend server of version {queued.software_version!r}",
            )
        if not self._has_home(queued):
            return WaitEstimate(float("inf"), "a backend server in its regions")
        pause = self._pause_left(queued)
        if pause is not None:
            return WaitEstimate(pause, "slots")
        if not self._reachable(queued):
            # A request that may be sent to no further server does not wait for others.
            is_hopeless = queued.only is not None
            seconds = float("inf") if is_hopeless else self.NO_BACKEND_SECONDS
            return WaitEstimate(seconds, "a backend server")
        if size is None or engine is None:
            return self._estimate_slot_wait(queued, seen)
        if not self._model_ready(queued):
            return self._estimate_model_wait(queued, size, engine, now)
        if not self._ready_backends(queued):
            self.on_adapter_wanted(
                size, queued.service.name, queued.software_version or ""
            )
            return WaitEstimate(self.ADAPTER_SECONDS, ADAPTER_REASON)
        return self._estimate_slot_wait(queued, seen)

    def _estimate_slot_wait(self, queued: QueuedRequest, seen: _Pass) -> WaitEstimate:
        backends = self._ready_backends(queued)
        slots = sum(backend.slots for backend in backends)
        seconds_each = self._run_seconds(queued) / max(1, slots)
        if self._places.any_brittle and backends:
            place_rate = self._places.rate({b.identity for b in backends})
            if place_rate is not None:
                seconds_each = max(seconds_each, 1.0 / place_rate)
        rates = [self._limits.rate(backend.identity) for backend in backends]
        if rates and None not in rates:
            rate = max(sum(filter(None, rates)), PermitDesk.MIN_RATE)
            seconds_each = max(seconds_each, 1.0 / rate)
        seen.seconds_each[_target(queued)] = seconds_each
        return self._slot_wait(queued, seen, seconds_each)

    def _slot_wait(
        self, queued: QueuedRequest, seen: _Pass, seconds_each: float
    ) -> WaitEstimate:
        """Return when a request gets a slot, after those of the fleet ahead of it."""
        ahead: float = seen.next_place(queued)
        key = _contended(queued)
        if key is not None and self.backlog.of_others(key):
            contention = self._contention(key, queued.priority)
            ahead = requests_ahead(contention, queued.priority, round(ahead))
        return WaitEstimate(ahead * seconds_each, "slots")

    def _estimate_model_wait(
        self,
        queued: QueuedRequest,
        size: GenerationSize,
        engine: EngineSpec,
        now: float,
    ) -> WaitEstimate:
        spec = engine.models.get(size.model)
        if spec is None:
            return WaitEstimate(float("inf"), "a model that is not configured")
        version = queued.software_version or ""
        since = self._missing_since.setdefault(_MissingModel(version, size.model), now)
        due = self.loads_due.get(size.model)
        if due is not None and not version:
            return WaitEstimate(max(0.1, due - now), MODEL_REASON)
        load_seconds = self._load_seconds(queued, spec)
        return WaitEstimate(
            max(load_seconds, load_seconds + self.SWAP_SECONDS - (now - since)),
            MODEL_REASON,
        )

    def _version_serves(self, queued: QueuedRequest) -> bool:
        """Return whether a backend server of the required version is registered."""
        version = queued.software_version
        return version is None or self._registry.has_version(
            queued.service.name, version
        )

    def _has_home(self, queued: QueuedRequest) -> bool:
        """Return whether a backend server is registered where a request may run."""
        return queued.homes is None or any(
            self.regions.are_home(backend.data_centre, queued.homes)
            for backend in self._registry.records()
            if backend.service == queued.service.name
        )

    def _load_seconds(self, queued: QueuedRequest, spec: ModelSpec) -> float:
        backends = self._reachable(queued)
        if any(spec.name in backend.in_memory for backend in backends):
            return spec.memory_load_seconds
        if any(spec.name in backend.on_disk for backend in backends):
            return spec.disk_load_seconds
        return spec.store_load_seconds


def _group(queued: QueuedRequest) -> str:
    """Return what requests have in common that wait for the same slots."""
    size = queued.req.size
    return queued.service.name if size is None else size.artifact


def _contended(queued: QueuedRequest) -> str | None:
    """Return the key of the slots that a request competes for with other instances.

    None for one that competes by itself: a plain request, which occupies a slot for
    less than a round of the shares, and one that is bound to a backend server.
    """
    size = queued.req.size
    if size is None or queued.only is not None:
        return None
    homes = "" if queued.homes is None else ",".join(sorted(queued.homes))
    version = queued.software_version or ""
    return f"{queued.service.name}/{size.model}/{version}/{homes}"


def _target(queued: QueuedRequest) -> _Target:
    return _Target(
        _group(queued),
        queued.service.name,
        queued.software_version,
        queued.only,
        queued.homes,
    )


def _slot_usage(option: tuple[BackendRecord, Load]) -> float:
    backend, load = option
    return load.running / max(1, backend.slots)
