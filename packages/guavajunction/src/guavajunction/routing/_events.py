"""Log events of routing, 700 to 799."""

from __future__ import annotations

from guavajunction.events import LogEvent

ROUTED = LogEvent(700, "routing:routed", "A request was given to a backend server.")
QUEUED = LogEvent(701, "routing:queued", "A request waits for a backend server.")
REFUSED = LogEvent(702, "routing:refused", "A request was refused and not run.")
RETRIED = LogEvent(703, "routing:retried", "A request goes to another replica.")
RESUMED = LogEvent(704, "routing:resumed", "A cut stream is resumed at its offset.")
FOREIGN_EVENT = LogEvent(
    707, "routing:foreign_event", "An answer to another request was dropped."
)
NO_RETRY_LEFT = LogEvent(
    709, "routing:no_retry_left", "The retry budget allows no further retry."
)
