"""Log events of evacuated data centres, 1900 to 1999."""

from __future__ import annotations

from guavajunction.events import LogEvent

BEGAN = LogEvent(
    1900,
    "evacuation:began",
    "A data centre is evacuated: its backend servers get nothing more.",
)
ENDED = LogEvent(
    1901,
    "evacuation:ended",
    "The evacuation of a data centre has ended; `returned` tells that its row is "
    "missing since the store came back from an older copy.",
)
UNREADABLE = LogEvent(
    1902,
    "evacuation:unreadable",
    "The key of a row names no data centre to evacuate; the row is ignored.",
)
