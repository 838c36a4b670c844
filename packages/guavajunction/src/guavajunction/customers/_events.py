"""Log events of the customers aggregate."""

from __future__ import annotations

from guavajunction.events import LogEvent

SHARE_CREATED = LogEvent(
    401,
    "customers:share_created",
    "A new customer's rate was granted for the first time.",
)
EPOCH_RAISED = LogEvent(
    402,
    "customers:epoch_raised",
    "Units of a customer's rate are missing; their recovery began.",
)
UNITS_GRANTED = LogEvent(
    403,
    "customers:units_granted",
    "Missing units of a customer's rate were granted anew.",
)
RECOVERY_ABANDONED = LogEvent(
    404,
    "customers:recovery_abandoned",
    "A recovery of units gave way to a later epoch.",
)
UNITS_MOVED = LogEvent(
    405, "customers:units_moved", "Units of a customer's rate were sent to a peer."
)
SHARE_STORE_FAILED = LogEvent(
    406, "customers:share_store_failed", "A share row could not be read or written."
)
UNITS_ABANDONED = LogEvent(
    407,
    "customers:units_abandoned",
    "The instance stopped before a peer had acknowledged the units sent to it.",
)
