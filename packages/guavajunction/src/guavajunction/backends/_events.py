"""Log events of the backends aggregate."""

from __future__ import annotations

from guavajunction.events import LogEvent

BACKEND_UNHEALTHY = LogEvent(
    500, "backends:unhealthy", "A backend server failed several load queries."
)
BACKEND_HEALTHY = LogEvent(
    501, "backends:healthy", "A backend server is healthy again."
)
BACKEND_SUSPECTED = LogEvent(
    502,
    "backends:suspected",
    "A backend server failed several requests and gets none for a short time.",
)
BACKEND_LEAVING = LogEvent(
    503,
    "backends:leaving",
    "A backend server is leaving and accepts no new requests.",
)
CACHE_GAP = LogEvent(
    504, "backends:cache_gap", "Cache events were missed; the prefix index was cleared."
)
ORDER_SENT = LogEvent(510, "backends:order_sent", "An order was sent to an engine.")
ORDER_UNANSWERED = LogEvent(
    511,
    "backends:order_unanswered",
    "An order got no response; it may still take effect.",
)
ORDER_REFUSED = LogEvent(512, "backends:order_refused", "An engine refused an order.")
ORDER_CLOSED = LogEvent(
    513,
    "backends:order_closed",
    "An order has taken effect, or can no longer take effect.",
)
ORDERS_INHERITED = LogEvent(
    514, "backends:orders_inherited", "A new leader found open orders in a ledger."
)
LEDGER_CONFLICT = LogEvent(
    515,
    "backends:ledger_conflict",
    "A ledger row was not written: another leader changed it.",
)
LEDGER_UNREADABLE = LogEvent(
    516, "backends:ledger_unreadable", "A ledger row could not be decoded."
)
ARTIFACT_RETIRING = LogEvent(
    520, "backends:artifact_retiring", "An artifact is being drained on an engine."
)
