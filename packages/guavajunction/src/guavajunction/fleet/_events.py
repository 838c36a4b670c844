"""Log events of the fleet, 1200 to 1249."""

from __future__ import annotations

from guavajunction.events import LogEvent

ENTERED = LogEvent(1200, "fleet:entered", "This instance's row was written.")
STORE_REFUSED = LogEvent(
    1201, "fleet:store_refused", "A row of the fleet could not be read or written."
)
MEMBER_SILENT = LogEvent(
    1202, "fleet:member_silent", "An instance is not heard any more."
)
MEMBER_LIVE = LogEvent(1203, "fleet:member_heard", "An instance is heard.")
HUB_CHOSEN = LogEvent(
    1205, "fleet:hub_chosen", "This instance follows another hub, or none."
)
HUB_SILENT = LogEvent(1206, "fleet:hub_silent", "The hub that is followed is silent.")
FOLLOWER_ADDED = LogEvent(1207, "fleet:followed", "An instance follows this one.")
ROWS_REQUEST_FAILED = LogEvent(
    1208, "fleet:rows_not_had", "The hub did not answer a question for rows."
)
ROW_REMOVED = LogEvent(
    1204, "fleet:row_removed", "The row of a silent instance was removed."
)
