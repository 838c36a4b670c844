"""Log events of the once aggregate."""

from __future__ import annotations

from guavajunction.events import LogEvent

OUTCOME_DEFERRED = LogEvent(
    801,
    "once:outcome_deferred",
    "The outcome of a claimed request could not be written and is tried again.",
)
OUTCOME_DROPPED = LogEvent(
    802,
    "once:outcome_dropped",
    "The outcome of a claimed request was never written; a repeat is told unknown.",
)
CLAIM_UNSETTLED = LogEvent(
    803,
    "once:claim_unsettled",
    "A claimed request ended without an outcome.",
)
CLAIMS_EXPIRED = LogEvent(
    804, "once:claims_expired", "Claims past their retention were deleted."
)
SWEEP_FAILED = LogEvent(
    805, "once:sweep_failed", "A partition of claims could not be swept."
)
