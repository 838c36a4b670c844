"""Log events of brittle backend servers, 1800 to 1899."""

from __future__ import annotations

from guavajunction.events import LogEvent

BRITTLE_CHANGED = LogEvent(
    1800,
    "brittle:changed",
    "A backend server named another number of rejections that it bears in a second, or "
    "none; learned from it or from a peer.",
)
BRITTLE_UNREADABLE = LogEvent(
    1801,
    "brittle:unreadable",
    "A backend server named a malformed number of rejections; the number before stays "
    "in force.",
)
SERVICE_CHANGED = LogEvent(
    1802,
    "brittle:service",
    "The backend servers of a service turned brittle, or none of them is any more.",
)
REJECTION_COUNTED = LogEvent(
    1803,
    "brittle:rejection",
    "A brittle backend server rejected a request, so it gets fewer for a while.",
)
