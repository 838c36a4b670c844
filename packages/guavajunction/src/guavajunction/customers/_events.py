"""Log events of the customers package."""

from __future__ import annotations

from guavajunction.events import LogEvent

SHARE_CREATED = LogEvent(
    401,
    "customers:share_created",
    "The units of a new customer were granted.",
)
EPOCH_RAISED = LogEvent(
    402,
    "customers:epoch_raised",
    "Units of a customer are missing; the epoch was raised to recover them.",
)
UNITS_GRANTED = LogEvent(
    403,
    "customers:units_granted",
    "Missing units of a customer were granted again in a new epoch.",
)
RECOVERY_ABANDONED = LogEvent(
    404,
    "customers:recovery_abandoned",
    "A recovery of units was cancelled because a later epoch began.",
)
UNITS_MOVED = LogEvent(
    405, "customers:units_moved", "Units of a customer were sent to a peer."
)
SHARE_STORE_FAILED = LogEvent(
    406,
    "customers:share_store_failed",
    "A share row could not be read or written in the table service.",
)
UNITS_ABANDONED = LogEvent(
    407,
    "customers:units_abandoned",
    "The instance stopped with units that no peer had acknowledged.",
)
