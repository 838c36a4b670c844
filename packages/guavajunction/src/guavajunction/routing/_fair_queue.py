"""Requests that wait, in the order in which customers are owed service."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from guavajunction.configuration import Customer

from ._model import Choice, RoutedRequest


class Ticket(NamedTuple):
    """One waiting request."""

    req: RoutedRequest
    excluded: frozenset[str]
    """Backend servers that it must not be given to."""
    fut: asyncio.Future[Choice]


class _Line(NamedTuple):
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
        self._lines: dict[_Line, deque[Ticket]] = {}
        self._times: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._weights: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def waiting_for(self, artifact: str) -> int:
        """Return how many requests wait for an artifact."""
        return sum(len(t) for key, t in self._lines.items() if key.artifact == artifact)

    def active_weight(self, with_customer: Customer) -> float:
        """Return the summed weight of the waiting customers and one more."""
        weights = {name: self._weights[name] for name in self._waiting}
        weights[with_customer.name] = with_customer.weight
        return sum(weights.values())

    def waiting_customers(self) -> dict[str, float]:
        """Return the weight of each customer that has requests waiting."""
        return {name: self._weights[name] for name in self._waiting}

    def ahead_of(self, req: RoutedRequest) -> int:
        """Return the customer's own waiting requests that go before a new one."""
        customer = req.customer.name
        return sum(
            len(tickets)
            for key, tickets in self._lines.items()
            if key.customer == customer and key.rank <= req.rank
        )

    def push(self, ticket: Ticket) -> None:
        """Add a request at the end of its customer's line."""
        req = ticket.req
        customer = req.customer.name
        if customer not in self._waiting:
            self._start(req.customer)
        self._waiting[customer] = self._waiting.get(customer, 0) + 1
        key = _Line(req.rank, customer, req.artifact)
        self._lines.setdefault(key, deque()).append(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Take a request out of its line.

        Returns:
            Whether it was still waiting.
        """
        req = ticket.req
        key = _Line(req.rank, req.customer.name, req.artifact)
        line = self._lines.get(key)
        if line is None or ticket not in line:
            return False
        line.remove(ticket)
        if not line:
            del self._lines[key]
        self._count_down(req.customer.name)
        return True

    def charge(self, customer: Customer, tokens: float) -> None:
        """Add served tokens to a customer's virtual time.

        Args:
            customer: Who was served.
            tokens: Tokens; negative to correct an estimate that was too high.
        """
        served = self._times.get(customer.name, 0.0)
        self._times[customer.name] = max(0.0, served + tokens / customer.weight)

    def heads(self) -> Iterator[Ticket]:
        """Yield the first request of each line, the one that is owed most first."""
        for key in sorted(self._lines, key=self._order):
            line = self._lines.get(key)
            if line:
                yield line[0]

    def _order(self, key: _Line) -> tuple[int, float, float]:
        arrived = self._lines[key][0].req.arrived
        return key.rank, self._times.get(key.customer, 0.0), arrived

    def _start(self, customer: Customer) -> None:
        floor = min((self._times.get(name, 0.0) for name in self._waiting), default=0.0)
        own = self._times.get(customer.name, 0.0)
        self._times[customer.name] = max(own, floor)
        self._weights[customer.name] = customer.weight

    def _count_down(self, customer: str) -> None:
        self._waiting[customer] -= 1
        if not self._waiting[customer]:
            del self._waiting[customer]


class FifoQueue(FairQueue):
    """Baseline: first come, first served, whoever asks and for whatever class."""

    def ahead_of(self, req: RoutedRequest) -> int:
        """Return all waiting requests."""
        return len(self)

    def active_weight(self, with_customer: Customer) -> float:
        """Return the customer's own weight, as nothing is divided."""
        return with_customer.weight

    def _order(self, key: _Line) -> tuple[int, float, float]:
        return 0, 0.0, self._lines[key][0].req.arrived
