"""Log events of the backends aggregate."""

from __future__ import annotations

from guavajunction.events import LogEvent

BACKEND_UNHEALTHY = LogEvent(
    500, "backends:unhealthy", "A backend server did not answer its load query."
)
BACKEND_HEALTHY = LogEvent(
    501, "backends:healthy", "A backend server answers its load query again."
)
BACKEND_SUSPECTED = LogEvent(
    502, "backends:suspected", "Requests failed on a backend server; it is left out."
)
BACKEND_LEAVING = LogEvent(
    503, "backends:leaving", "A backend server takes no new work from now on."
)
CACHE_GAP = LogEvent(
    504, "backends:cache_gap", "Cache events were missed; the index was emptied."
)
ORDER_SENT = LogEvent(510, "backends:order_sent", "An order was sent to an engine.")
ORDER_UNANSWERED = LogEvent(
    511, "backends:order_unanswered", "An order may or may not have arrived."
)
ORDER_REFUSED = LogEvent(512, "backends:order_refused", "An engine refused an order.")
ORDER_CLOSED = LogEvent(
    513, "backends:order_closed", "An order has taken effect or no longer can."
)
ORDERS_INHERITED = LogEvent(
    514, "backends:orders_inherited", "A new author found open orders in a ledger."
)
LEDGER_CONFLICT = LogEvent(
    515, "backends:ledger_conflict", "Another author wrote the ledger meanwhile."
)
LEDGER_UNREADABLE = LogEvent(
    516, "backends:ledger_unreadable", "A ledger's row could not be decoded."
)
ARTIFACT_RETIRING = LogEvent(
    520, "backends:artifact_retiring", "An artifact is being drained on one engine."
)
