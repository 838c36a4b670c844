"""Grants requests slots on backend servers, or refuses them early."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import NoReplica, Overloaded

from . import _events as events
from ._decision_log import DecisionLog
from ._demand_meter import DemandMeter, DemandRate
from ._fair_queue import FairQueue, QueuedRequest
from ._load_tracker import LoadTracker
from ._model import Choice, Replicas, RoutedRequest
from ._selector import Selector


class Grant(NamedTuple):
    """A slot on a backend server, held by a request until `Dispatcher.release`."""

    req: RoutedRequest
    backend: str
    granted: float
    """Monotonic time of the grant in seconds."""


class Dispatcher:
    """Grants slots in the order of the queue and refuses requests under overload."""

    MIN_RETRY_AFTER_SECONDS = 0.2
    MAX_RETRY_AFTER_SECONDS = 30.0
    NO_REPLICA_RETRY_SECONDS = 2.0
    """`retry_after` in seconds if no replica has the artifact ready."""

    def __init__(
        self,
        replicas: Replicas,
        selector: Selector,
        load_tracker: LoadTracker,
        meter: DemandMeter,
        decisions: DecisionLog,
        clock: Clock,
        queue: FairQueue,
        *,
        max_queue: int,
    ) -> None:
        """Create a dispatcher. `connect` sets its remaining dependencies.

        Args:
            replicas: State of the backend servers.
            selector: Routing policy.
            load_tracker: Load estimates of the backend servers.
            meter: Measures demand and slot hold times.
            decisions: Log of routing decisions.
            clock: Time source.
            queue: Orders the waiting requests.
            max_queue: Maximum number of queued requests.
        """
        self._replicas = replicas
        self._selector = selector
        self._load_tracker = load_tracker
        self._meter = meter
        self._decisions = decisions
        self._clock = clock
        self._max_queue = max_queue
        self._share: Callable[[], float] = lambda: 1.0
        self._request_artifact: Callable[[str], None] = lambda artifact: None
        self._queue = queue
        self._active_customers: dict[str, tuple[float, int]] = {}

    def connect(
        self, share: Callable[[], float], request_artifact: Callable[[str], None]
    ) -> None:
        """Set the dependencies that themselves depend on this dispatcher.

        Args:
            share: Returns this instance's share of a full backend server, 0 to 1.
            request_artifact: Requests the load of an artifact without a ready replica.
        """
        self._share = share
        self._request_artifact = request_artifact

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def activity(self) -> dict[str, float]:
        """Return the weight by name of customers with requests queued or in flight."""
        in_flight = {
            name: weight for name, (weight, _) in self._active_customers.items()
        }
        return in_flight | self._queue.waiting_customers()

    def demand(self) -> dict[str, DemandRate]:
        """Return the demand by artifact, including queued requests."""
        return {
            artifact: rate._replace(waiting=self._queue.waiting_for(artifact))
            for artifact, rate in self._meter.rates().items()
        }

    async def acquire(
        self, req: RoutedRequest, excluded: frozenset[str] = frozenset()
    ) -> Grant:
        """Wait for a slot on a backend server.

        Args:
            req: The request.
            excluded: Names of backend servers on which the request has failed.

        Returns:
            The grant. The caller must pass it to `release`.

        Raises:
            Overloaded: The request can't get a slot before its deadline.
            NoReplica: No backend server has the artifact ready.
        """
        if not self._queue:
            choice = self._selector.choose(req, excluded, self._share)
            if choice is not None:
                return self._grant(req, choice)
        return await self._wait(req, excluded)

    def reacquire(self, grant: Grant) -> Grant:
        """Acquire the slot of a released grant again, to resume its stream.

        The backend server still keeps the stream, so its capacity is not checked.
        """
        self._load_tracker.add(grant.backend, grant.req)
        self._queue.charge(grant.req.customer, grant.req.cost)
        self._activate(grant.req)
        return grant._replace(granted=self._clock.monotonic())

    def release(self, grant: Grant, used_tokens: float) -> None:
        """Release a slot and grant free slots to queued requests.

        Args:
            grant: Grant from `acquire` or `reacquire`.
            used_tokens: Tokens that the request actually used. The difference to the
                reserved tokens is charged to or credited to the customer.
        """
        req = grant.req
        self._load_tracker.remove(grant.backend, req)
        self._meter.add_hold_time(req.artifact, self._clock.monotonic() - grant.granted)
        self._queue.charge(req.customer, used_tokens - req.cost)
        self._deactivate(req.customer.name)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Grant slots to queued requests while backend servers have free capacity."""
        while self._dispatch_one():
            pass

    def _dispatch_one(self) -> bool:
        for queued in list(self._queue.heads()):
            choice = self._selector.choose(queued.req, queued.excluded, self._share)
            if choice is not None:
                self._queue.remove(queued)
                if not queued.fut.done():
                    self._record_grant(queued.req, choice)
                    queued.fut.set_result(choice)
                return True
        return False

    async def _wait(self, req: RoutedRequest, excluded: frozenset[str]) -> Grant:
        self._check_expected_wait(req)
        fut: asyncio.Future[Choice] = asyncio.get_running_loop().create_future()
        queued = QueuedRequest(req, excluded, fut)
        self._queue.push(queued)
        self.dispatch_waiting()
        if not fut.done():
            self._decisions.note(
                events.QUEUED, req.request_id, waiting=len(self._queue)
            )
            self._request_missing_artifact(req)
        try:
            await asyncio.wait((fut,), timeout=self._remaining(req))
        except asyncio.CancelledError:
            self._cancel_queued(queued)
            raise
        if not fut.done():
            self._queue.remove(queued)
            raise self._timeout_error(req)
        return self._grant_of(queued)

    def _remaining(self, req: RoutedRequest) -> float:
        return max(0.0, req.deadline - self._clock.monotonic())

    def _grant_of(self, queued: QueuedRequest) -> Grant:
        choice = queued.fut.result()
        return Grant(queued.req, choice.backend, self._clock.monotonic())

    def _cancel_queued(self, queued: QueuedRequest) -> None:
        """Remove a cancelled request, or release its slot if it was already granted."""
        if not self._queue.remove(queued) and queued.fut.done():
            self.release(self._grant_of(queued), 0.0)

    def _check_expected_wait(self, req: RoutedRequest) -> None:
        if len(self._queue) >= self._max_queue:
            raise self._overloaded(req, "the queue is full")
        wait = self._expected_wait(req)
        if wait is not None and wait > req.objective.max_wait:
            raise self._overloaded(req, "the expected wait is above the objective")

    def _timeout_error(self, req: RoutedRequest) -> Overloaded | NoReplica:
        if self._replicas.ready(req.artifact):
            return self._overloaded(req, "no slot became free in time")
        self._decisions.note(events.REFUSED, req.request_id, reason="no_replica")
        return NoReplica(
            f"no backend server has {req.artifact!r} ready",
            retry_after=self.NO_REPLICA_RETRY_SECONDS,
        )

    def _overloaded(self, req: RoutedRequest, reason: str) -> Overloaded:
        wait = self._expected_wait(req) or self.MIN_RETRY_AFTER_SECONDS
        retry_after = min(
            self.MAX_RETRY_AFTER_SECONDS, max(self.MIN_RETRY_AFTER_SECONDS, wait)
        )
        self._decisions.note(
            events.REFUSED, req.request_id, reason=reason, retry_after=retry_after
        )
        return Overloaded(f"overloaded: {reason}", retry_after=retry_after)

    def _expected_wait(self, req: RoutedRequest) -> float | None:
        """Return the expected seconds until a new request gets a slot, None if unknown.

        While the replicas are full, this instance's requests on them end at a rate of
        `in_flight / hold` per second. The customer gets a share of the freed slots in
        proportion to its weight.
        """
        hold_seconds = self._meter.mean_hold_seconds(req.artifact)
        states = self._replicas.ready(req.artifact)
        if hold_seconds is None or not states:
            return None
        in_flight = max(
            1, sum(self._load_tracker.own_in_flight(s.name) for s in states)
        )
        relative_weight = self._queue.active_weight(req.customer) / req.customer.weight
        return (
            (self._queue.count_ahead_of(req) + 1)
            * relative_weight
            * hold_seconds
            / in_flight
        )

    def _request_missing_artifact(self, req: RoutedRequest) -> None:
        if not self._replicas.ready(req.artifact):
            self._request_artifact(req.artifact)

    def _grant(self, req: RoutedRequest, choice: Choice) -> Grant:
        self._record_grant(req, choice)
        return Grant(req, choice.backend, self._clock.monotonic())

    def _record_grant(self, req: RoutedRequest, choice: Choice) -> None:
        self._load_tracker.add(choice.backend, req)
        self._queue.charge(req.customer, req.cost)
        self._activate(req)
        self._decisions.note(
            events.ROUTED,
            req.request_id,
            artifact=req.artifact,
            customer=req.customer.name,
            objective=req.objective.name,
            cost=req.cost,
            backend=choice.backend,
            reason=choice.reason,
            candidates=choice.candidates,
        )

    def _activate(self, req: RoutedRequest) -> None:
        _, count = self._active_customers.get(req.customer.name, (0.0, 0))
        self._active_customers[req.customer.name] = (req.customer.weight, count + 1)

    def _deactivate(self, customer: str) -> None:
        weight, count = self._active_customers[customer]
        if count > 1:
            self._active_customers[customer] = (weight, count - 1)
        else:
            del self._active_customers[customer]
