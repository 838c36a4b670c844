"""Log events of the quarantine of requests and prompt parts, 1400 to 1499."""

from __future__ import annotations

from guavajunction.events import LogEvent

CRASH_REPORTED = LogEvent(
    1400,
    "quarantine:crash_reported",
    "A backend server ended; the requests and prompt parts that it had just begun.",
)
CRASH_RETRACTED = LogEvent(
    1401,
    "quarantine:crash_retracted",
    "A backend server that had been reported as crashed answers.",
)
BLAMED = LogEvent(
    1402,
    "quarantine:blamed",
    "A request or parts of a prompt are blamed for several crashes.",
)
CLEARED = LogEvent(
    1403, "quarantine:cleared", "A request or parts of a prompt are no longer blamed."
)
PART_SOUND = LogEvent(
    1404,
    "quarantine:part_sound",
    "A request or part that was present in several crashes was answered.",
)
TRIAL = LogEvent(
    1405,
    "quarantine:trial",
    "The one attempt of what is blamed was claimed by this instance, or by another.",
)
PARTS_LEFT_OUT = LogEvent(
    1406,
    "quarantine:parts_left_out",
    "A report of a crash has no room for all parts of the requests that were lost.",
)
