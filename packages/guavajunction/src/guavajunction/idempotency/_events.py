"""Log events of the idempotency package."""

from __future__ import annotations

from guavajunction.events import LogEvent

OUTCOME_DEFERRED = LogEvent(
    801,
    "once:outcome_deferred",
    "The outcome of a claimed request could not be written; the write is retried.",
)
OUTCOME_DROPPED = LogEvent(
    802,
    "once:outcome_dropped",
    "An outcome was dropped unwritten; its claim stays in the state `claimed`.",
)
CLAIM_UNSETTLED = LogEvent(
    803,
    "once:claim_unsettled",
    "A claimed request ended without an outcome; one is recorded afterwards.",
)
CLAIMS_EXPIRED = LogEvent(
    804, "once:claims_expired", "Claims were deleted after their retention time."
)
SWEEP_FAILED = LogEvent(
    805, "once:sweep_failed", "Expired claims of a partition could not be deleted."
)
