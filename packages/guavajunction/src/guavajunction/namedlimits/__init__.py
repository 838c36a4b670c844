"""Keeps to the rate limits that backend servers name in their answers."""

from __future__ import annotations

from ._limit_book import LimitBook
from ._permits import PermitDesk
from ._server_limits import ServerLimits
from ._statement import NO_LIMIT, LimitStatement

__all__ = [
    "NO_LIMIT",
    "LimitBook",
    "LimitStatement",
    "PermitDesk",
    "ServerLimits",
]
