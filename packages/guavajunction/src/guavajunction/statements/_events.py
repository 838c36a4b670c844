"""Log events of what backend servers say of themselves, 1700 to 1799."""

from __future__ import annotations

from guavajunction.events import LogEvent

LEAVING = LogEvent(
    1700,
    "statements:leaving",
    "A backend server leaves and gets nothing more; learned from it or from a peer.",
)
PAUSED = LogEvent(
    1701, "statements:paused", "A backend server wants no request for some time."
)
UNREADABLE = LogEvent(
    1702, "statements:unreadable", "A backend server named a malformed time."
)
