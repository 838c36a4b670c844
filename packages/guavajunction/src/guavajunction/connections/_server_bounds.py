"""What all HTTP listeners of one process share to stay within its machine."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.memory import (
    ConnectionSlots,
    HeadAllowance,
    KernelBuffers,
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
    buffers: KernelBuffers
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
        memory = limit = share = None
        if memory_mb is not None:
            memory = int(memory_mb * BYTES_PER_MB)
            limit = int(memory * MemoryBudget.SHARE)
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
        connections = None
        if slots.limit is not None and other_slots.limit is not None:
            connections = slots.limit + other_slots.limit
        return cls(
            budget=budget,
            slots=slots,
            other_slots=other_slots,
            meter=ParsingMeter(),
            heads=HeadAllowance(share),
            unparsed=unparsed,
            buffers=KernelBuffers(memory, connections),
            max_head_bytes=max_head_bytes,
        )

    @property
    def open_connections(self) -> int:
        """Return the number of open connections at all listeners."""
        return self.slots.open + self.other_slots.open
