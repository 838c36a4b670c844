"""Log events of model swaps, 1300 to 1349."""

from __future__ import annotations

from guavajunction.events import LogEvent

AUTHOR_BEGAN = LogEvent(1300, "swapping:author_began", "This instance gives orders.")
AUTHOR_ENDED = LogEvent(
    1301, "swapping:author_ended", "This instance gives no orders any more."
)
MOVE_PLANNED = LogEvent(
    1302, "swapping:move_planned", "A backend server is to hold another model."
)
ORDERED = LogEvent(1303, "swapping:ordered", "An order was sent to a backend server.")
ORDER_FAILED = LogEvent(
    1304, "swapping:order_failed", "An order was refused or not answered."
)
MOVE_ENDED = LogEvent(1305, "swapping:move_ended", "A move was finished or given up.")
ADAPTER_REFUSED = LogEvent(
    1306, "swapping:adapter_refused", "No backend server can take an adapter now."
)
RESYNCED = LogEvent(
    1307, "swapping:resynced", "A backend server's own report replaced the ledger."
)
REPORT_FAILED = LogEvent(
    1308, "swapping:report_failed", "A backend server did not say what it holds."
)
TAKE_OVER_FAILED = LogEvent(
    1309, "swapping:take_over_failed", "A lease that was given up could not be taken."
)
