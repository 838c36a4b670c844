"""Log events of the configuration."""

from __future__ import annotations

from guavajunction.events import LogEvent

INSTALLED = LogEvent(
    200, "configuration:installed", "A higher version was put in force here."
)
STORE_READ_FAILED = LogEvent(
    201,
    "configuration:store_read_failed",
    "The accepted version could not be read; logged once until a read succeeds.",
)
STORE_READ_RECOVERED = LogEvent(
    202, "configuration:store_read_again", "The accepted version was read again."
)
LOWER_VERSION_READ = LogEvent(
    203,
    "configuration:went_back",
    "The store named a lower version than it did before; it was not installed.",
)
FETCHED_FROM_PEER = LogEvent(
    204,
    "configuration:fetched_from_peer",
    "A peer gave a version that the store did not.",
)
CALLBACK_FAILED = LogEvent(
    205, "configuration:callback_failed", "A reader of the configuration failed."
)
ACCEPTED = LogEvent(
    206, "configuration:accepted", "This instance got a change accepted."
)
NOT_ACCEPTED = LogEvent(
    207, "configuration:not_accepted", "A change was refused, conflicted or failed."
)
ACCEPTANCE_UNKNOWN = LogEvent(
    208,
    "configuration:acceptance_unknown",
    "A change was sent and the store did not say whether it was accepted.",
)
KEY_ISSUED = LogEvent(209, "configuration:key_issued", "A key was issued.")
KEY_WITHDRAWN = LogEvent(210, "configuration:key_withdrawn", "A key was withdrawn.")
BACKEND_DRAINED = LogEvent(
    211, "configuration:backend_drained", "A backend server was marked as leaving."
)
OPERATOR_REFUSED = LogEvent(
    212, "configuration:operator_refused", "An operator request had no valid token."
)
