"""Decides how many requests a backend server takes from all instances together.

Each backend server has one rate: the lowest of the limit that it names in its answers,
the limit while it is cold, and its pace while it ramps up.
"""

from __future__ import annotations

from ._cold_servers import ColdBounds, ColdEntry, ColdLimit, ColdNews, ColdServers
from ._limit_book import LimitBook
from ._permits import PermitDesk
from ._server_intake import ReturnedServer, ServerIntake
from ._server_paces import AnswerCounts, RampCounts, ServerPaces
from ._statement import NO_LIMIT, LimitStatement

__all__ = [
    "NO_LIMIT",
    "AnswerCounts",
    "ColdBounds",
    "ColdEntry",
    "ColdLimit",
    "ColdNews",
    "ColdServers",
    "LimitBook",
    "LimitStatement",
    "PermitDesk",
    "RampCounts",
    "ReturnedServer",
    "ServerIntake",
    "ServerPaces",
]
