"""Log events of the placement aggregate."""

from __future__ import annotations

from guavajunction.events import LogEvent

PLANNER_STARTED = LogEvent(
    600, "placement:planner_started", "This instance has started to plan a pool."
)
PLANNER_STOPPED = LogEvent(
    601, "placement:planner_stopped", "This instance has stopped planning a pool."
)
LOAD_DECIDED = LogEvent(
    610, "placement:load_decided", "The planner chose an engine for a new replica."
)
UNLOAD_DECIDED = LogEvent(
    611, "placement:unload_decided", "The planner chose a replica to remove."
)
NO_MEMORY = LogEvent(
    612, "placement:no_room", "No engine has, or can free, enough memory for a replica."
)
WAITING_FOR_MEMORY = LogEvent(
    613, "placement:waiting_for_room", "A replica waits for memory to be freed."
)
UNLOAD_ABANDONED = LogEvent(
    614, "placement:unload_abandoned", "The removal of a replica was cancelled."
)
ORDER_FAILED = LogEvent(615, "placement:order_failed", "A planned order failed.")
LOAD_DEFERRED = LogEvent(
    617, "placement:load_deferred", "A load was deferred by the limits on loads."
)
PLANNER_FAILED = LogEvent(
    618, "placement:planner_failed", "The planner of a pool failed and is restarted."
)
WAITING_FOR_BASE = LogEvent(
    619, "placement:waiting_for_base", "An adapter waits for its base model."
)
ROUND_FAILED = LogEvent(
    616, "placement:round_failed", "A planning round failed and will be retried."
)
