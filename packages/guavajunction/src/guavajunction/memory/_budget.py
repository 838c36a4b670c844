"""Sums what one process holds for its callers and sheds what exceeds it.

Designed for up to 10,000 requests that hold memory at once, and 1,000 new ones a
second. A reservation costs a few additions while the budget is not used up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from guavajunction.clock import Clock
from guavajunction.errors import MemoryShort
from guavajunction.metrics import MetricsRegistry

from . import _events as events
from ._shedding import Held, Standing, choose_shed

REQUEST_BYTES = 32_768
"""Reserved for each request: its task, and what is buffered of its answer."""
FIELD_BYTES = 400
"""Reserved for each field of a head, which is kept as text and as bytes."""
BODY_STEP_BYTES = 65_536
"""Bytes that are reserved at once for a body whose length is not declared."""


class Holding:
    """The memory that one request holds, until its context ends."""

    __slots__ = (
        "_body_reserved",
        "_budget",
        "began_at",
        "customer",
        "is_shed",
        "last_received_at",
        "number",
        "on_shed",
        "received",
        "reserved",
        "standing",
    )

    def __init__(
        self, budget: MemoryBudget, number: int, now: float, on_shed: Callable[[], None]
    ) -> None:
        self._budget = budget
        self.number = number
        self.on_shed = on_shed
        """Called once, if the request is shed."""
        self.is_shed = False
        """Whether the request was shed and must be refused as not run."""
        self.standing = Standing.UNKNOWN
        self.customer = ""
        self.reserved = 0
        self._body_reserved = 0
        self.received = 0
        self.began_at = self.last_received_at = now

    def __enter__(self) -> Holding:
        return self

    def __exit__(self, *_: object) -> None:
        self._budget.end(self)

    def state(self) -> Held:
        """Return what the request holds now."""
        return Held(
            self.number,
            self.standing,
            self.customer,
            self.reserved,
            self.received,
            self.began_at,
            self.last_received_at,
        )

    def reserve(self, size: int) -> None:
        """Reserve further bytes, before they are read.

        Raises:
            MemoryShort: Memory is short, and the request is refused.
        """
        self._budget.reserve(self, size)

    def reserve_head(self, fields: int) -> None:
        """Reserve what a request with so many fields holds besides its body.

        Raises:
            MemoryShort: Memory is short, and the request is refused.
        """
        self.reserve(REQUEST_BYTES + FIELD_BYTES * fields)

    def reserve_body(self, declared: int) -> None:
        """Reserve the declared length of a body; 0 if there is none.

        Raises:
            MemoryShort: Memory is short, and the request is refused.
        """
        self.reserve(declared)
        self._body_reserved = declared

    def receive(self, size: int, now: float) -> None:
        """Note bytes of the body that have arrived, and reserve what they exceed.

        Args:
            size: Number of bytes.
            now: Time on the clock of the budget.

        Raises:
            MemoryShort: Memory is short, and the request is refused.
        """
        if self.received + size > self._body_reserved:
            self.reserve(BODY_STEP_BYTES)
            self._body_reserved += BODY_STEP_BYTES
        self.received += size
        self.last_received_at = now

    @contextmanager
    def refused_if_shed(self) -> Iterator[None]:
        """Convert the cancellation of a task whose request was shed.

        Raises:
            MemoryShort: The request was shed.
        """
        try:
            yield
        except asyncio.CancelledError:
            if not self.is_shed:
                raise
            task = asyncio.current_task()
            assert task is not None
            task.uncancel()
            raise MemoryShort(
                "memory was needed for other requests",
                retry_after=MemoryBudget.RETRY_AFTER_SECONDS,
            ) from None

    def count(self, size: int) -> None:
        """Count bytes that are held already; no request is refused for them."""
        self._budget.count(self, size)

    def note_known(self, customer: str) -> None:
        """Note that the request has the key of a customer."""
        self.customer = customer
        self.standing = Standing.KNOWN

    def note_sent(self) -> None:
        """Note that the request may be sent from now on; it is no longer shed."""
        self.standing = Standing.SENT


class MemoryBudget:
    """What one process may hold for its callers' requests."""

    SHARE = 0.25
    """Share of the machine's memory. A started process takes 52 MB of the 160 MB of the
    smallest machine; the allocator, the buffers of the kernel and of connections, and
    one copy of the largest body need the rest."""
    SMALL_BYTES = 65_536
    """Requests up to this size may use the whole budget."""
    LARGE_SHARE = 0.875
    """Share of the budget that larger requests may use."""
    NEARLY_USED_SHARE = 0.8
    RETRY_AFTER_SECONDS = 1.0
    """Slow senders are recognised after this time."""
    LOG_SECONDS = 1.0
    """Shortest time between two log lines of one kind."""

    def __init__(
        self, limit: int | None, clock: Clock, metrics: MetricsRegistry
    ) -> None:
        """Create a budget.

        Args:
            limit: Bytes that may be reserved; None for no limit.
            clock: Source of time.
            metrics: Registry for `shed_total`.
        """
        self._limit = limit
        self._clock = clock
        self._metrics = metrics
        self._holdings: dict[int, Holding] = {}
        self._numbers = 0
        self.reserved = 0
        """Bytes reserved by all requests."""
        self._is_nearly_used = False
        self._unlogged = [0, 0]
        self._logged_at = float("-inf")

    def hold(self, on_shed: Callable[[], None]) -> Holding:
        """Return what a new request holds, which is released with its context."""
        self._numbers += 1
        number, now = self._numbers, self._clock.monotonic()
        holding = self._holdings[number] = Holding(self, number, now, on_shed)
        return holding

    def end(self, holding: Holding) -> None:
        """Release what a request holds."""
        del self._holdings[holding.number]
        self._release(holding)

    def reserve(self, holding: Holding, size: int) -> None:
        """Reserve bytes for a request; shed others if they are missing.

        Raises:
            MemoryShort: The request is refused instead.
        """
        missing = self._missing(holding, size)
        if missing > 0:
            self._make_room(holding, missing)
        self.count(holding, size)

    def count(self, holding: Holding, size: int) -> None:
        """Add bytes to what a request holds."""
        self.reserved += size
        holding.reserved += size
        self._note_level()

    def _missing(self, holding: Holding, size: int) -> int:
        if self._limit is None:
            return 0
        # The only request is served whatever its size.
        if self.reserved == holding.reserved:
            return 0
        is_small = holding.reserved + size <= self.SMALL_BYTES
        limit = self._limit if is_small else int(self._limit * self.LARGE_SHARE)
        return self.reserved + size - limit

    def _make_room(self, holding: Holding, missing: int) -> None:
        now = self._clock.monotonic()
        held = (other.state() for other in self._holdings.values())
        chosen = choose_shed(held, holding.state(), missing, now)
        if not chosen:
            self._note_shed("refused", holding, now)
            raise MemoryShort(
                "too much memory is in use for other requests",
                retry_after=self.RETRY_AFTER_SECONDS,
            )
        for number in chosen:
            shed = self._holdings[number]
            self._note_shed("shed", shed, now)
            self._release(shed)
            shed.is_shed = True
            shed.on_shed()

    def _release(self, holding: Holding) -> None:
        self.reserved -= holding.reserved
        holding.reserved = 0
        self._note_level()

    def _note_shed(self, reason: str, holding: Holding, now: float) -> None:
        self._metrics.count("shed_total", reason=reason)
        self._unlogged[0] += 1
        self._unlogged[1] += holding.reserved
        if now - self._logged_at >= self.LOG_SECONDS:
            requests, size = self._unlogged
            events.REQUEST_SHED.log(
                reason=reason,
                requests=requests,
                bytes=size,
                age_ms=round((now - holding.began_at) * 1000),
                reserved=self.reserved,
            )
            self._unlogged = [0, 0]
            self._logged_at = now

    def _note_level(self) -> None:
        if self._limit is None:
            return
        if not self._is_nearly_used:
            if self.reserved > self._limit * self.NEARLY_USED_SHARE:
                self._is_nearly_used = True
                events.BUDGET_NEARLY_USED.log(reserved=self.reserved, limit=self._limit)
        elif self.reserved < self._limit / 2:
            self._is_nearly_used = False
