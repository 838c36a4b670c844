"""Queues of requests that wait for a slot: weighted fair queueing and FIFO."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from guavajunction.configuration import Customer

from ._model import Choice, RoutedRequest


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    req: RoutedRequest
    excluded: frozenset[str]
    """Names of backend servers on which the request has failed."""
    fut: asyncio.Future[Choice]
    """Receives the chosen backend server."""


class _QueueKey(NamedTuple):
    """Key of a FIFO queue: requests of one class, customer and artifact."""

    rank: int
    customer: str
    artifact: str


class FairQueue:
    """Weighted fair queue: ordered by class, then by tokens served per customer.

    Each customer has a virtual time: the tokens served to the customer, divided by its
    weight. The customer with the lowest virtual time is served first. A customer that
    was idle starts at the lowest virtual time of the waiting customers, so that idle
    time gives no credit.
    """

    def __init__(self) -> None:
        self._queues: dict[_QueueKey, deque[QueuedRequest]] = {}
        self._virtual_times: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._weights: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def waiting_for(self, artifact: str) -> int:
        """Return the number of queued requests for an artifact."""
        return sum(
            len(requests)
            for key, requests in self._queues.items()
            if key.artifact == artifact
        )

    def active_weight(self, with_customer: Customer) -> float:
        """Return the total weight of `with_customer` and all waiting customers."""
        weights = {name: self._weights[name] for name in self._waiting}
        weights[with_customer.name] = with_customer.weight
        return sum(weights.values())

    def waiting_customers(self) -> dict[str, float]:
        """Return the weight by name of the customers with queued requests."""
        return {name: self._weights[name] for name in self._waiting}

    def count_ahead_of(self, req: RoutedRequest) -> int:
        """Return how many queued requests of the customer precede a new request."""
        customer = req.customer.name
        return sum(
            len(queued_requests)
            for key, queued_requests in self._queues.items()
            if key.customer == customer and key.rank <= req.rank
        )

    def push(self, queued: QueuedRequest) -> None:
        """Append a request to the queue of its class, customer and artifact."""
        req = queued.req
        customer = req.customer.name
        if customer not in self._waiting:
            self._start_virtual_time(req.customer)
        self._waiting[customer] = self._waiting.get(customer, 0) + 1
        key = _QueueKey(req.rank, customer, req.artifact)
        self._queues.setdefault(key, deque()).append(queued)

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request from its queue.

        Returns:
            Whether the request was still queued.
        """
        req = queued.req
        key = _QueueKey(req.rank, req.customer.name, req.artifact)
        key_queue = self._queues.get(key)
        if key_queue is None or queued not in key_queue:
            return False
        key_queue.remove(queued)
        if not key_queue:
            del self._queues[key]
        self._decrement_waiting(req.customer.name)
        return True

    def charge(self, customer: Customer, tokens: float) -> None:
        """Add served tokens to a customer's virtual time.

        Args:
            customer: Customer that was served.
            tokens: Served tokens; negative to correct an estimate that was too high.
        """
        virtual_time = self._virtual_times.get(customer.name, 0.0)
        self._virtual_times[customer.name] = max(
            0.0, virtual_time + tokens / customer.weight
        )

    def heads(self) -> Iterator[QueuedRequest]:
        """Yield the first request of each queue, in the order of service."""
        for key in sorted(self._queues, key=self._sort_key):
            key_queue = self._queues.get(key)
            if key_queue:
                yield key_queue[0]

    def _sort_key(self, key: _QueueKey) -> tuple[int, float, float]:
        arrived = self._queues[key][0].req.arrived
        return key.rank, self._virtual_times.get(key.customer, 0.0), arrived

    def _start_virtual_time(self, customer: Customer) -> None:
        floor = min(
            (self._virtual_times.get(name, 0.0) for name in self._waiting), default=0.0
        )
        own = self._virtual_times.get(customer.name, 0.0)
        self._virtual_times[customer.name] = max(own, floor)
        self._weights[customer.name] = customer.weight

    def _decrement_waiting(self, customer: str) -> None:
        self._waiting[customer] -= 1
        if not self._waiting[customer]:
            del self._waiting[customer]


class FifoQueue(FairQueue):
    """Baseline policy: first in, first out, for all customers and classes."""

    def count_ahead_of(self, req: RoutedRequest) -> int:
        """Return the number of all queued requests."""
        return len(self)

    def active_weight(self, with_customer: Customer) -> float:
        """Return the customer's own weight, as slots are not divided by weight."""
        return with_customer.weight

    def _sort_key(self, key: _QueueKey) -> tuple[int, float, float]:
        return 0, 0.0, self._queues[key][0].req.arrived
