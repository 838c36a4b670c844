"""Bounds what one process holds for callers: bytes, connections and parsing work."""

from __future__ import annotations

from ._budget import Holding, MemoryBudget
from ._connection_slots import CallerConnection, ConnectionSlots
from ._head_allowance import HeadAllowance
from ._kernel_buffers import KernelBuffers
from ._parsing_meter import ParsingMeter, ParsingUse
from ._shedding import Held, Standing, choose_shed
from ._unparsed_bytes import UnparsedBytes, UnparsedHolder

__all__ = [
    "CallerConnection",
    "ConnectionSlots",
    "HeadAllowance",
    "Held",
    "Holding",
    "KernelBuffers",
    "MemoryBudget",
    "ParsingMeter",
    "ParsingUse",
    "Standing",
    "UnparsedBytes",
    "UnparsedHolder",
    "choose_shed",
]
