"""Log events of the fleet, 1200 to 1249."""

from __future__ import annotations

from guavajunction.events import LogEvent

ENTERED = LogEvent(
    1200, "fleet:entered", "This instance's row was written to the store."
)
STORE_REFUSED = LogEvent(
    1201,
    "fleet:store_refused",
    "The list of instances or the fleet's keys could not be read or written.",
)
MEMBER_SILENT = LogEvent(
    1202,
    "fleet:member_silent",
    "No heartbeat of an instance was received in the last second.",
)
MEMBER_LIVE = LogEvent(
    1203,
    "fleet:member_heard",
    "A heartbeat of an instance arrived, the first one or after 1202.",
)
HUB_CHOSEN = LogEvent(
    1205, "fleet:hub_chosen", "This instance follows a different hub, or became a hub."
)
HUB_SILENT = LogEvent(
    1206, "fleet:hub_silent", "The followed hub sent no status in time."
)
FOLLOWER_ADDED = LogEvent(
    1207, "fleet:followed", "An instance started to follow this one."
)
ROWS_REQUEST_FAILED = LogEvent(
    1208, "fleet:rows_not_had", "The hub did not reply to a request for rows."
)
ROWS_FROM_PEER = LogEvent(
    1209,
    "fleet:rows_from_peer",
    "Changed rows were received from a peer because the store does not answer.",
)
ROW_REMOVED = LogEvent(
    1204, "fleet:row_removed", "This instance's row was removed from the store."
)
ROWS_SOURCE_CHOSEN = LogEvent(
    1210,
    "fleet:rows_source_chosen",
    "This instance takes the store's rows from another peer, or reads them itself.",
)
MEMBER_ENDED = LogEvent(
    1211,
    "fleet:member_ended",
    "An instance is not heard and does not renew its row, so it has ended.",
)
ROW_RENEWED = LogEvent(
    1212,
    "fleet:row_renewed",
    "This instance renewed its row, because others do not hear it.",
)
