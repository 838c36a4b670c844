"""Log events of the intake of backend servers, 1500 to 1599."""

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
COLD = LogEvent(
    1502,
    "intake:cold",
    "A backend server is cold and gets requests at its cold rate only.",
)
COLD_ENDED = LogEvent(1503, "intake:cold-ended", "A backend server is no longer cold.")
RETURNED = LogEvent(
    1504,
    "intake:returned",
    "An evacuation has ended; the data centre's backend servers count as cold.",
)
