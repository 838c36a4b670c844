"""Log events of the platform's store, 1100 to 1149."""

from __future__ import annotations

from guavajunction.events import LogEvent

FEED_LOST = LogEvent(1100, "storage:feed_lost", "A partition can't be watched now.")
FEED_REGAINED = LogEvent(1101, "storage:feed_regained", "A partition is watched again.")
FEED_RESTARTED = LogEvent(
    1102, "storage:feed_restarted", "The store's history was lost: all is read again."
)
