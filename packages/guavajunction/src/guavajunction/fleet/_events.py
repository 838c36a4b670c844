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
MEMBER_HEARD = LogEvent(1203, "fleet:member_heard", "An instance is heard.")
ROW_REMOVED = LogEvent(
    1204, "fleet:row_removed", "The row of a silent instance was removed."
)
