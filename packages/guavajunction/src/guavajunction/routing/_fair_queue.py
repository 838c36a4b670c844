"""Requests that wait, in the order in which customers are owed service."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from guavajunction.configuration import Customer

from ._model import Choice, RoutedRequest


class QueuedRequest(NamedTuple):
    """One waiting request."""

    req: RoutedRequest
    excluded: frozenset[str]
    """Backend servers that it must not be given to."""
    fut: asyncio.Future[Choice]


class _QueueKey(NamedTuple):
    """Key of the requests that share a class, a customer and an artifact."""

    rank: int
    customer: str
    artifact: str


class FairQueue:
    """Orders by class, then by tokens served to each customer.

    Each customer has a virtual time: the tokens served to it over its weight. The
    customer with the lowest goes first. One that was idle starts at the lowest time
    of those that wait, so that idleness earns no credit.
    """

    def __init__(self) -> None:
        self._queues: dict[_QueueKey, deque[QueuedRequest]] = {}
        self._virtual_times: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._weights: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def waiting_for(self, artifact: str) -> int:
        """Return how many requests wait for an artifact."""
        return sum(
            len(t) for key, t in self._queues.items() if key.artifact == artifact
        )

    def active_weight(self, with_customer: Customer) -> float:
        """Return the summed weight of the waiting customers and one more."""
        weights = {name: self._weights[name] for name in self._waiting}
        weights[with_customer.name] = with_customer.weight
        return sum(weights.values())

    def waiting_customers(self) -> dict[str, float]:
        """Return the weight of each customer that has requests waiting."""
        return {name: self._weights[name] for name in self._waiting}

    def count_ahead_of(self, req: RoutedRequest) -> int:
        """Return the customer's own waiting requests that go before a new one."""
        customer = req.customer.name
        return sum(
            len(queued_requests)
            for key, queued_requests in self._queues.items()
            if key.customer == customer and key.rank <= req.rank
        )

    def push(self, queued: QueuedRequest) -> None:
        """Add a request at the end of its customer's line."""
        req = queued.req
        customer = req.customer.name
        if customer not in self._waiting:
            self._start_virtual_time(req.customer)
        self._waiting[customer] = self._waiting.get(customer, 0) + 1
        key = _QueueKey(req.rank, customer, req.artifact)
        self._queues.setdefault(key, deque()).append(queued)

    def remove(self, queued: QueuedRequest) -> bool:
        """Take a request out of its line.

        Returns:
            Whether it was still waiting.
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
            customer: Who was served.
            tokens: Tokens; negative to correct an estimate that was too high.
        """
        served = self._virtual_times.get(customer.name, 0.0)
        self._virtual_times[customer.name] = max(0.0, served + tokens / customer.weight)

    def heads(self) -> Iterator[QueuedRequest]:
        """Yield the first request of each line, the one that is owed most first."""
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
    """Baseline: first come, first served, whoever asks and for whatever class."""

    def count_ahead_of(self, req: RoutedRequest) -> int:
        """Return all waiting requests."""
        return len(self)

    def active_weight(self, with_customer: Customer) -> float:
        """Return the customer's own weight, as nothing is divided."""
        return with_customer.weight

    def _sort_key(self, key: _QueueKey) -> tuple[int, float, float]:
        return 0, 0.0, self._queues[key][0].req.arrived
