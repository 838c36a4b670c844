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
RAMP_BEGAN = LogEvent(
    1505, "intake:ramp-began", "A backend server that starts or recovers gets a pace."
)
PACE_CHANGED = LogEvent(
    1506, "intake:pace", "The pace of a backend server has doubled or halved."
)
RAMP_ENDED = LogEvent(
    1507, "intake:ramp-ended", "A backend server has no pace any more."
)
