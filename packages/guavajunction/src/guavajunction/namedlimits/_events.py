"""Log events of the limits that backend servers name, 1500 to 1599."""

from __future__ import annotations

from guavajunction.events import LogEvent

LIMIT_CHANGED = LogEvent(
    1500,
    "namedlimits:changed",
    "A backend server named another limit, or none; learned from it or from a peer.",
)
LIMIT_UNREADABLE = LogEvent(
    1501,
    "namedlimits:unreadable",
    "A backend server named a malformed limit; the limit before stays in force.",
)
