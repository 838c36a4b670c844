"""Log events of the clients of the platform's store, 1100 to 1149."""

from __future__ import annotations

from guavajunction.events import LogEvent

FEED_LOST = LogEvent(
    1100, "storage:feed_lost", "Reading changes of a partition began to fail."
)
FEED_REGAINED = LogEvent(
    1101,
    "storage:feed_regained",
    "Reading changes of a partition succeeded after a failure.",
)
FEED_RESTARTED = LogEvent(
    1102,
    "storage:feed_restarted",
    "The store no longer has the needed changes; all rows are read again.",
)
ERA_BEGAN = LogEvent(
    1103,
    "storage:era_began",
    "The store came back from an older copy; versions of the earlier era are void.",
)
ERA_REFUSED = LogEvent(
    1104,
    "storage:era_refused",
    "The era in an answer of the store is malformed or has fallen; the last one holds.",
)
