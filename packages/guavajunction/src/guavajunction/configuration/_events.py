"""Log events of the configuration."""

from __future__ import annotations

from guavajunction.events import LogEvent

INSTALLED = LogEvent(
    200, "configuration:installed", "A higher version was installed on this instance."
)
STORE_READ_FAILED = LogEvent(
    201,
    "configuration:store_read_failed",
    "Reading the accepted version failed; logged once until a read succeeds.",
)
STORE_READ_RECOVERED = LogEvent(
    202,
    "configuration:store_read_again",
    "Reading the accepted version succeeded after a failure.",
)
LOWER_VERSION_READ = LogEvent(
    203,
    "configuration:went_back",
    "The store returned a lower version than the one in force; ignored.",
)
FETCHED_FROM_PEER = LogEvent(
    204,
    "configuration:fetched_from_peer",
    "A higher version was fetched from a peer because the store could not be read.",
)
CALLBACK_FAILED = LogEvent(
    205, "configuration:callback_failed", "A callback for a new version failed."
)
ACCEPTED = LogEvent(
    206, "configuration:accepted", "A change sent by this instance was accepted."
)
NOT_ACCEPTED = LogEvent(
    207, "configuration:not_accepted", "A change was refused, conflicted or failed."
)
ACCEPTANCE_UNKNOWN = LogEvent(
    208,
    "configuration:acceptance_unknown",
    "A change was sent, and it is not known whether the store accepted it.",
)
KEY_ISSUED = LogEvent(209, "configuration:key_issued", "A key was issued.")
KEY_WITHDRAWN = LogEvent(210, "configuration:key_withdrawn", "A key was withdrawn.")
BACKEND_DRAINED = LogEvent(
    211, "configuration:backend_drained", "A backend server was marked as leaving."
)
OPERATOR_REFUSED = LogEvent(
    212, "configuration:operator_refused", "An operator request had no valid token."
)
