"""Gives each request a slot on a backend server, or refuses it in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import NoReplica, Overloaded

from . import _events as events
from ._decision_log import DecisionLog
from ._demand_meter import DemandMeter, DemandRate
from ._fair_queue import FairQueue, Ticket
from ._load_tracker import LoadBook
from ._model import Choice, Replicas, RoutedRequest
from ._selector import Selector


class Grant(NamedTuple):
    """A slot that a request holds until it is released."""

    req: RoutedRequest
    backend: str
    granted: float
    """Monotonic time in seconds."""


class Dispatcher:
    """Owns the queue and the estimates of load of this instance."""

    MIN_RETRY_AFTER_SECONDS = 0.2
    MAX_RETRY_AFTER_SECONDS = 30.0
    NO_REPLICA_RETRY_SECONDS = 2.0

    def __init__(
        self,
        replicas: Replicas,
        selector: Selector,
        book: LoadBook,
        meter: DemandMeter,
        decisions: DecisionLog,
        clock: Clock,
        queue: FairQueue,
        *,
        max_queue: int,
    ) -> None:
        """Create a dispatcher; `connect` completes it.

        Args:
            replicas: The backend servers.
            selector: The routing policy.
            book: Estimates of load.
            meter: Demand and hold times.
            decisions: Where choices are logged.
            clock: Source of time.
            queue: Orders the waiting requests.
            max_queue: Requests that may wait.
        """
        self._replicas = replicas
        self._selector = selector
        self._book = book
        self._meter = meter
        self._decisions = decisions
        self._clock = clock
        self._max_queue = max_queue
        self._share: Callable[[], float] = lambda: 1.0
        self._request_artifact: Callable[[str], None] = lambda artifact: None
        self._queue = queue
        self._active: dict[str, tuple[float, int]] = {}

    def connect(
        self, share: Callable[[], float], request_artifact: Callable[[str], None]
    ) -> None:
        """Set the collaborators that themselves need this dispatcher.

        Args:
            share: Returns this instance's part of a contended backend server.
            request_artifact: Asks for an artifact that no replica has ready.
        """
        self._share = share
        self._request_artifact = request_artifact

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._queue)

    def activity(self) -> dict[str, float]:
        """Return the weight of each customer with work here, by name."""
        in_flight = {name: weight for name, (weight, _) in self._active.items()}
        return in_flight | self._queue.waiting_customers()

    def demand(self) -> dict[str, DemandRate]:
        """Return the demand by artifact, with those waiting."""
        return {
            artifact: rate._replace(waiting=self._queue.waiting_for(artifact))
            for artifact, rate in self._meter.rates().items()
        }

    async def acquire(
        self, req: RoutedRequest, excluded: frozenset[str] = frozenset()
    ) -> Grant:
        """Wait for a slot.

        Args:
            req: The request.
            excluded: Backend servers that already failed it.

        Returns:
            The grant; the caller must release it.

        Raises:
            Overloaded: It can't be served in time.
            NoReplica: No backend server has the artifact ready.
        """
        if not self._queue:
            choice = self._selector.choose(req, excluded, self._share)
            if choice is not None:
                return self._grant(req, choice)
        return await self._wait(req, excluded)

    def hold_again(self, grant: Grant) -> Grant:
        """Take the slot of a released grant again, to resume its stream.

        The backend server still keeps the stream, so no room is asked for.
        """
        self._book.add(grant.backend, grant.req)
        self._queue.charge(grant.req.customer, grant.req.cost)
        self._activate(grant.req)
        return grant._replace(granted=self._clock.monotonic())

    def release(self, grant: Grant, used_tokens: float) -> None:
        """Give a slot back and serve those that wait.

        Args:
            grant: What `acquire` returned.
            used_tokens: Tokens that were really used.
        """
        req = grant.req
        self._book.remove(grant.backend, req)
        self._meter.held(req.artifact, self._clock.monotonic() - grant.granted)
        self._queue.charge(req.customer, used_tokens - req.cost)
        self._deactivate(req.customer.name)
        self.pump()

    def pump(self) -> None:
        """Grant slots to waiting requests while there is room."""
        while self._grant_one():
            pass

    def _grant_one(self) -> bool:
        for ticket in list(self._queue.heads()):
            choice = self._selector.choose(ticket.req, ticket.excluded, self._share)
            if choice is not None:
                self._queue.remove(ticket)
                if not ticket.fut.done():
                    self._note_grant(ticket.req, choice)
                    ticket.fut.set_result(choice)
                return True
        return False

    async def _wait(self, req: RoutedRequest, excluded: frozenset[str]) -> Grant:
        self._refuse_hopeless(req)
        fut: asyncio.Future[Choice] = asyncio.get_running_loop().create_future()
        ticket = Ticket(req, excluded, fut)
        self._queue.push(ticket)
        self.pump()
        if not fut.done():
            self._decisions.note(
                events.QUEUED, req.request_id, waiting=len(self._queue)
            )
            self._urge(req)
        try:
            await asyncio.wait((fut,), timeout=self._remaining(req))
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise
        if not fut.done():
            self._queue.remove(ticket)
            raise self._refusal(req)
        return self._granted(ticket)

    def _remaining(self, req: RoutedRequest) -> float:
        return max(0.0, req.deadline - self._clock.monotonic())

    def _granted(self, ticket: Ticket) -> Grant:
        choice = ticket.fut.result()
        return Grant(ticket.req, choice.backend, self._clock.monotonic())

    def _abandon(self, ticket: Ticket) -> None:
        """Leave the queue, or give back the slot if one was granted meanwhile."""
        if not self._queue.remove(ticket) and ticket.fut.done():
            self.release(self._granted(ticket), 0.0)

    def _refuse_hopeless(self, req: RoutedRequest) -> None:
        if len(self._queue) >= self._max_queue:
            raise self._overloaded(req, "the queue is full")
        wait = self._expected_wait(req)
        if wait is not None and wait > req.objective.max_wait:
            raise self._overloaded(req, "the expected wait is above the objective")

    def _refusal(self, req: RoutedRequest) -> Overloaded | NoReplica:
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
        """Return the seconds until a new request gets a slot, None if unknown.

        While the replicas are full, the requests that this instance has on them
        end at the rate of their number over the mean hold time, and the customer gets
        its weighted part of the slots that become free.
        """
        hold = self._meter.hold_seconds(req.artifact)
        states = self._replicas.ready(req.artifact)
        if hold is None or not states:
            return None
        in_flight = max(1, sum(self._book.own(s.name) for s in states))
        weights = self._queue.active_weight(req.customer) / req.customer.weight
        return (self._queue.ahead_of(req) + 1) * weights * hold / in_flight

    def _urge(self, req: RoutedRequest) -> None:
        if not self._replicas.ready(req.artifact):
            self._request_artifact(req.artifact)

    def _grant(self, req: RoutedRequest, choice: Choice) -> Grant:
        self._note_grant(req, choice)
        return Grant(req, choice.backend, self._clock.monotonic())

    def _note_grant(self, req: RoutedRequest, choice: Choice) -> None:
        self._book.add(choice.backend, req)
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
        _, count = self._active.get(req.customer.name, (0.0, 0))
        self._active[req.customer.name] = (req.customer.weight, count + 1)

    def _deactivate(self, customer: str) -> None:
        weight, count = self._active[customer]
        if count > 1:
            self._active[customer] = (weight, count - 1)
        else:
            del self._active[customer]
