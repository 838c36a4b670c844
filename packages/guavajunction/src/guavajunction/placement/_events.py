"""Log events of the placement aggregate."""

from __future__ import annotations

from guavajunction.events import LogEvent

PLANNER_STARTED = LogEvent(
    600, "placement:planner_started", "This instance plans a pool from now on."
)
PLANNER_STOPPED = LogEvent(
    601, "placement:planner_stopped", "This instance no longer plans a pool."
)
LOAD_DECIDED = LogEvent(
    610, "placement:load_decided", "The planner chose an engine for a new replica."
)
UNLOAD_DECIDED = LogEvent(
    611, "placement:unload_decided", "The planner chose a replica to remove."
)
NO_MEMORY = LogEvent(
    612, "placement:no_room", "No engine has, or can be given, room for a replica."
)
WAITING_FOR_MEMORY = LogEvent(
    613, "placement:waiting_for_room", "A replica waits for memory to be freed."
)
UNLOAD_ABANDONED = LogEvent(
    614, "placement:unload_abandoned", "A replica is kept that was to be removed."
)
ORDER_FAILED = LogEvent(
    615, "placement:order_failed", "An order that was decided could not be sent."
)
LOAD_DEFERRED = LogEvent(
    617, "placement:load_deferred", "A replica waits for the bounds on loads."
)
PLANNER_FAILED = LogEvent(
    618, "placement:planner_failed", "A pool's planner ended on a defect; restarted."
)
WAITING_FOR_BASE = LogEvent(
    619, "placement:waiting_for_base", "An adapter waits for its base model."
)
ROUND_FAILED = LogEvent(
    616, "placement:round_failed", "A planning round failed and is tried again."
)
