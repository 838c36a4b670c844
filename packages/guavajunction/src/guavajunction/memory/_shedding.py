"""Decides which requests are shed when memory is short.

Designed for up to 10,000 held requests of 1,000 customers. One decision reads all of
them once, and is made only while the budget is used up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

SILENT_SECONDS = 1.0
"""A sender is slow if nothing has arrived from it for this long."""
SLOW_AFTER_SECONDS = 2.0
"""Age from which the mean rate of a sender is judged."""
MIN_BYTES_PER_SECOND = 50_000
"""Mean rate below which a sender is slow. At this rate a body of 1 MB takes 20 s."""


class Standing(IntEnum):
    """How far a request has been checked; lower ones are shed first."""

    UNKNOWN = 0
    """Without a known key: its route is open to all."""
    KNOWN = 1
    """With the key of a customer."""
    SENT = 2
    """May have been sent to a backend server; it is never shed."""


class Held(NamedTuple):
    """What one request holds."""

    number: int
    """Identifies the request; later ones have higher numbers."""
    standing: Standing
    customer: str
    """Name of the customer; empty without one."""
    reserved: int
    received: int
    """Bytes of the body that have arrived."""
    began_at: float
    last_received_at: float

    def is_slow(self, now: float) -> bool:
        """Return whether the sender of the request is slow."""
        age = now - self.began_at
        if now - self.last_received_at >= SILENT_SECONDS:
            return True
        return age >= SLOW_AFTER_SECONDS and self.received < age * MIN_BYTES_PER_SECOND


def choose_shed(
    held: Iterable[Held], asking: Held, needed: int, now: float
) -> list[int]:
    """Return the numbers of the requests to shed so that another one gets memory.

    Requests of lower standing are shed first, then those of slow senders, then those
    of customers that hold more than the asking one would. In each step the customer
    that holds most loses its largest request. Fast senders of one customer do not shed
    each other, because then none of them would end.

    Args:
        held: All requests that hold memory, with or without the asking one.
        asking: The request that asks for memory.
        needed: Number of bytes that are missing.
        now: Time on the clock of `held`.

    Returns:
        An empty list if the asking request must be refused instead.
    """
    others = [
        request
        for request in held
        if request.number != asking.number
        and request.standing is not Standing.SENT
        and request.reserved > 0
    ]
    sums = Counter[str]()
    for request in others:
        sums[request.customer] += request.reserved
    sums[asking.customer] += asking.reserved + needed
    others.sort(key=lambda request: (request.reserved, request.number))
    chosen: list[int] = []
    for may_shed in (
        lambda r: r.standing < asking.standing,
        lambda r: r.standing <= asking.standing and r.is_slow(now),
        lambda r: (
            r.standing <= asking.standing
            and sums[r.customer] - r.reserved >= sums[asking.customer]
        ),
    ):
        by_customer: dict[str, list[Held]] = {}
        for request in others:
            if request.number not in chosen:
                by_customer.setdefault(request.customer, []).append(request)
        while needed > 0:
            open_customers = [
                name for name, requests in by_customer.items() if requests
            ]
            if not open_customers:
                break
            richest = max(open_customers, key=lambda name: sums[name])
            request = by_customer[richest].pop()
            if may_shed(request):
                chosen.append(request.number)
                sums[richest] -= request.reserved
                needed -= request.reserved
    return chosen if needed <= 0 else []
