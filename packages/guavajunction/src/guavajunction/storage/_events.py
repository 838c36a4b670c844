"""Log events of the clients of the platform's store, 1100 to 1149."""

from __future__ import annotations

from guavajunction.events import LogEvent

FEED_LOST = LogEvent(
    1100, "storage:feed_lost", "Reading changes of a partition began to fail."
)
FEED_REGAINED = LogEvent(
    1101, "storage:feed_regained", "Changes of a partition are read again."
)
FEED_RESTARTED = LogEvent(
    1102,
    "storage:feed_restarted",
    "The store lost its history: a partition is read again.",
)
