"""Log events of the gateway, 1000 to 1099."""

from __future__ import annotations

from guavajunction.events import LogEvent

SENT = LogEvent(1000, "gateway:sent", "A request was sent to a backend server.")
ANSWERED = LogEvent(
    1001, "gateway:answered", "A request ended with a backend server's answer."
)
REFUSED = LogEvent(1002, "gateway:refused", "A request was refused and has not run.")
FAILED = LogEvent(
    1003, "gateway:failed", "A request ended without an answer and may have run."
)
REPEATED = LogEvent(
    1004, "gateway:repeated", "A request goes to another backend server."
)
CALLER_LEFT = LogEvent(1005, "gateway:caller_left", "The caller closed its connection.")
BACKEND_SEEN = LogEvent(
    1010, "gateway:backend_seen", "A backend server, or its restart, was seen."
)
BACKEND_DRAINING = LogEvent(
    1011, "gateway:backend_draining", "A backend server is leaving: no new work."
)
BACKEND_GONE = LogEvent(
    1012, "gateway:backend_gone", "The record of a backend server is gone."
)
BACKEND_SUSPECT = LogEvent(
    1013, "gateway:backend_suspect", "A backend server failed several requests."
)
BACKEND_UNREACHABLE = LogEvent(
    1014, "gateway:backend_unreachable", "A backend server refuses connections."
)
RECORD_STALE = LogEvent(
    1015, "gateway:record_stale", "An older heartbeat came after a newer one."
)
CONFIGURED = LogEvent(
    1020, "gateway:configured", "A newer configuration is in force here."
)
CONFIGURATION_REFUSED = LogEvent(
    1021, "gateway:configuration_refused", "A configuration could not be read."
)
