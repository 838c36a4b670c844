"""Log events of routing, 700 to 799."""

from __future__ import annotations

from guavajunction.events import LogEvent

ROUTED = LogEvent(700, "routing:routed", "A backend server was chosen for a request.")
QUEUED = LogEvent(
    701,
    "routing:queued",
    "A request was queued because no backend server has free capacity.",
)
REFUSED = LogEvent(702, "routing:refused", "A request was refused without being run.")
RETRIED = LogEvent(
    703, "routing:retried", "A failed attempt is retried on another replica."
)
RESUMED = LogEvent(
    704,
    "routing:resumed",
    "An interrupted stream is resumed after the last relayed event.",
)
FOREIGN_EVENT = LogEvent(
    707,
    "routing:foreign_event",
    "An answer or event that belongs to another request was dropped.",
)
NO_RETRY_LEFT = LogEvent(
    709,
    "routing:no_retry_left",
    "The retry budget is exhausted; the request is not retried.",
)
