"""Log events of model swaps, 1300 to 1349."""

from __future__ import annotations

from guavajunction.events import LogEvent

TERM_BEGAN = LogEvent(
    1300, "swapping:author_began", "This instance became the order leader."
)
TERM_ENDED = LogEvent(
    1301, "swapping:author_ended", "This instance stopped being the order leader."
)
MOVE_PLANNED = LogEvent(
    1302, "swapping:move_planned", "A model load was planned for a backend server."
)
ORDERED = LogEvent(1303, "swapping:ordered", "An order was sent to a backend server.")
ORDER_FAILED = LogEvent(
    1304, "swapping:order_failed", "An order was not sent or not answered."
)
MOVE_ENDED = LogEvent(
    1305, "swapping:move_ended", "A planned model load was completed or cancelled."
)
ADAPTER_REFUSED = LogEvent(
    1306,
    "swapping:adapter_refused",
    "An adapter was not loaded, or the order leader did not answer.",
)
RESYNCED = LogEvent(
    1307, "swapping:resynced", "A ledger was rebuilt from the backend server's report."
)
REPORT_FAILED = LogEvent(
    1308,
    "swapping:report_failed",
    "A backend server's report could not be fetched.",
)
TAKE_OVER_FAILED = LogEvent(
    1309, "swapping:take_over_failed", "A released lease could not be taken over."
)
ADAPTER_IN_USE = LogEvent(
    1310,
    "swapping:adapter_in_use",
    "The unload of an adapter waits for requests that use it, so its slot is not free.",
)
