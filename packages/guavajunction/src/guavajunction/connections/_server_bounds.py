"""What all HTTP listeners of one process share to stay within its machine."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.memory import (
    ConnectionSlots,
    HeadAllowance,
    MemoryBudget,
    ParsingMeter,
    UnparsedBytes,
)
from guavajunction.metrics import MetricsRegistry

BYTES_PER_MB = 1024 * 1024
HEADS_SHARE = 4
"""Heads with very many fields may hold one part in this many of the budget, and so may
bytes that were not parsed."""


class ServerBounds(NamedTuple):
    """Bounds on what a process holds and parses for its callers."""

    budget: MemoryBudget
    slots: ConnectionSlots
    """Connections at the callers' listener."""
    other_slots: ConnectionSlots
    """Connections at all other listeners."""
    meter: ParsingMeter
    heads: HeadAllowance
    unparsed: UnparsedBytes
    max_head_bytes: Callable[[], int]
    """Returns the largest size of the header lines of a request."""

    @classmethod
    def for_machine(
        cls,
        *,
        memory_mb: float | None,
        max_descriptors: int | None,
        max_head_bytes: Callable[[], int],
        clock: Clock,
        metrics: MetricsRegistry,
    ) -> ServerBounds:
        """Return the bounds for a machine, and add their metrics.

        Args:
            memory_mb: Memory of the machine; None for no limit.
            max_descriptors: Descriptors of the machine; None for no limit.
            max_head_bytes: Returns the largest size of the header lines of a request.
            clock: Source of time.
            metrics: Registry of the process.
        """
        limit = share = None
        if memory_mb is not None:
            limit = int(memory_mb * MemoryBudget.SHARE * BYTES_PER_MB)
            share = limit // HEADS_SHARE
        budget = MemoryBudget(limit, clock, metrics)
        slots, other_slots = (
            ConnectionSlots(max_descriptors, clock, metrics, part)
            for part in (ConnectionSlots.CALLERS_SHARE, ConnectionSlots.OTHERS_SHARE)
        )
        unparsed = UnparsedBytes(share, clock, metrics)
        metrics.gauge("memory_reserved_bytes", lambda: budget.reserved)
        metrics.gauge("memory_unparsed_bytes", lambda: unparsed.held)
        metrics.gauge("connections_open", lambda: slots.open + other_slots.open)
        heads = HeadAllowance(share)
        meter = ParsingMeter()
        return cls(budget, slots, other_slots, meter, heads, unparsed, max_head_bytes)
